package platform

import (
	"errors"
	"testing"
)

func listed(id, addr string, state State) Endpoint {
	return Endpoint{ID: id, Addr: addr, Zone: "z", Kind: "k", Cell: 3, State: state}
}

func TestParseEndpointList(t *testing.T) {
	text := CompleteList(3, listed("a", "127.0.0.1:1", StateReady), listed("b", "", StateRemoved)).Text()
	list, err := ParseEndpointList(text)
	if err != nil {
		t.Fatal(err)
	}
	a := list.Endpoints[0]
	if *list.Version != 3 || !list.Complete || a.ID != "a" || a.Addr != "127.0.0.1:1" || a.Zone != "z" || a.Kind != "k" ||
		a.Cell != 3 || a.State != StateReady || list.Endpoints[1].State != StateRemoved {
		t.Errorf("%+v", list)
	}
}

func TestParseEndpointListNamesTheInvalidField(t *testing.T) {
	for field, text := range map[string]string{
		"version": `{"full":false,"servers":[]}`,
		"servers": `{"version":42,"full":true}`,
		"state":   string(Changes(42, listed("a", "127.0.0.1:1", "Asleep")).Text()),
		"id":      string(Changes(42, listed("", "127.0.0.1:1", StateReady)).Text()),
	} {
		_, err := ParseEndpointList([]byte(text))
		var invalid *FieldError
		if !errors.As(err, &invalid) || invalid.Field != field {
			t.Errorf("%s: %v, want an error for field %q", text, err, field)
		}
	}
}
