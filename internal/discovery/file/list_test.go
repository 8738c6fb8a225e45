package file

import (
	"errors"
	"strings"
	"testing"

	"rowancart/balancer"
	"rowancart/internal/proxy"
)

func TestParseEndpointList(t *testing.T) {
	list, err := ParseEndpointList([]byte(`{"endpoints": [
		{"id": "a", "address": "127.0.0.1:1", "zone": "z", "kind": "k", "cell": 3, "state": "draining", "started_ms": 5},
		{"id": "b", "address": "127.0.0.1:2"},
		{"id": "c", "address": "127.0.0.1:3", "state": "ready"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	want := []proxy.Endpoint{
		{ID: "a", Addr: "127.0.0.1:1", Zone: "z", Kind: "k", Cell: 3, State: balancer.Draining, StartedMs: 5},
		{ID: "b", Addr: "127.0.0.1:2", State: balancer.Ready},
		{ID: "c", Addr: "127.0.0.1:3", State: balancer.Ready},
	}
	if !list.Complete || len(list.Endpoints) != len(want) {
		t.Fatalf("%+v", list)
	}
	for i := range want {
		if list.Endpoints[i] != want[i] {
			t.Errorf("%+v, want %+v", list.Endpoints[i], want[i])
		}
	}
	if empty, err := ParseEndpointList([]byte(`{"endpoints": []}`)); err != nil || !empty.Complete {
		t.Errorf("empty list: %+v, %v", empty, err)
	}
}

func TestParseEndpointListErrors(t *testing.T) {
	const valid = `{"id": "a", "address": "127.0.0.1:1"}`
	for _, test := range []struct{ text, want string }{
		{``, "roster: EOF"},
		{`{"endpoints": [` + valid, "roster: unexpected EOF"},
		{`{"endpoints": []} x`, "roster: data after the list"},
		{`{"servers": []}`, `roster: json: unknown field "servers"`},
		{`{}`, "endpoints: missing"},
		{`{"endpoints": [{"id": true}]}`,
			"roster: json: cannot unmarshal bool into Go struct field .endpoints.id of type string"},
		{`{"endpoints": [{"address": "127.0.0.1:1"}]}`, "endpoints[0].id: missing"},
		{`{"endpoints": [` + valid + `, ` + valid + `]}`, `endpoints[1].id: "a" is listed twice`},
		{`{"endpoints": [{"id": "a", "state": "gone"}]}`,
			`endpoints[0].state: "gone" is neither ready nor draining`},
		{`{"endpoints": [{"id": "a"}]}`, "endpoints[0].address: missing"},
		{`{"endpoints": [` + valid + `, {"id": "b", "address": "127.0.0.1:x"}]}`,
			`endpoints[1].address: port "x" is not a number`},
	} {
		list, err := ParseEndpointList([]byte(test.text))
		if err == nil || !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("%s: %v, want %q", test.text, err, test.want)
		}
		if invalid := (*FieldError)(nil); !errors.As(err, &invalid) {
			t.Errorf("%s: error of type %T, want a FieldError", test.text, err)
		}
		if list.Complete || list.Endpoints != nil {
			t.Errorf("%s: list returned along with an error: %+v", test.text, list)
		}
	}
}
