package platform

import (
	"errors"
	"testing"

	"rowancart/internal/testpeer"
)

func TestParseEndpointList(t *testing.T) {
	text := testpeer.Members(3, true, testpeer.Member("a", "127.0.0.1:1", "Ready"), testpeer.Member("b", "", "Gone"))
	list, err := ParseEndpointList([]byte(text))
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
		"state":   testpeer.Members(42, false, testpeer.Member("a", "127.0.0.1:1", "Asleep")),
		"id":      testpeer.Members(42, false, testpeer.Member("", "127.0.0.1:1", "Ready")),
	} {
		_, err := ParseEndpointList([]byte(text))
		var invalid *FieldError
		if !errors.As(err, &invalid) || invalid.Field != field {
			t.Errorf("%s: %v, want an error of field %q", text, err, field)
		}
	}
}
