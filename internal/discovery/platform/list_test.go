package platform

import (
	"errors"
	"testing"

	"rowancart/balancer"
)

func TestParseEndpointList(t *testing.T) {
	list, err := ParseEndpointList([]byte(members(3, true, member("a", "127.0.0.1:1", "Ready"), member("b", "", "Gone"))))
	if err != nil {
		t.Fatal(err)
	}
	a := list.Endpoints[0]
	if *list.Version != 3 || !list.Full || a.ID != "a" || a.Addr != "127.0.0.1:1" || a.Zone != "z" || a.Kind != "k" ||
		a.Cell != 3 || a.State != balancer.Ready || list.Endpoints[1].State != balancer.Gone {
		t.Errorf("%+v", list)
	}
}

func TestParseEndpointListNamesTheInvalidField(t *testing.T) {
	for field, text := range map[string]string{
		"version": `{"full":false,"servers":[]}`,
		"servers": `{"version":42,"full":true}`,
		"state":   members(42, false, member("a", "127.0.0.1:1", "Asleep")),
		"id":      members(42, false, member("", "127.0.0.1:1", "Ready")),
	} {
		_, err := ParseEndpointList([]byte(text))
		var invalid *fieldError
		if !errors.As(err, &invalid) || invalid.field != field {
			t.Errorf("%s: %v, want an error of field %q", text, err, field)
		}
	}
}
