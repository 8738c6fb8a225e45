package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"rowancart/balancer"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
	"rowancart/internal/testpeer"
)

// platformPoolBlock returns the block of a pool whose endpoints discovery lists.
func platformPoolBlock(name, addr string) string {
	return fmt.Sprintf("pool %q {\n  roster \"platform\" {\n    address = %q\n  }\n}\n", name, addr)
}

// declined is the response of an endpoint that has not run the request.
const declined = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"

// Guards against a request that is retried at a draining endpoint because its pool, which a reload
// has replaced, hears nothing more from a source that has moved.
func TestReplacedPoolHearsOfSharedEndpoints(t *testing.T) {
	for name, startSource := range map[string]func(t *testing.T, endpoints ...platform.Endpoint) (poolBlock string){
		"discovery": func(t *testing.T, endpoints ...platform.Endpoint) string {
			agent, err := testpeer.StartDiscovery(testpeer.DiscoveryOptions{EmptyLineFirst: true})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(agent.Close)
			for _, e := range endpoints {
				agent.Publish(e)
			}
			return platformPoolBlock("one", agent.Addr())
		},
		"file": func(t *testing.T, endpoints ...platform.Endpoint) string {
			text := ""
			for _, e := range endpoints {
				state := "ready"
				if e.State == platform.StateDraining {
					state = "draining"
				}
				text += fmt.Sprintf(",{\"id\": %q, \"address\": %q, \"state\": %q}", e.ID, e.Addr, state)
			}
			path := filepath.Join(t.TempDir(), "endpoints.json")
			if err := os.WriteFile(path, []byte("{\"endpoints\": ["+text[1:]+"]}"), 0o600); err != nil {
				t.Fatal(err)
			}
			return filePoolBlock("one", path)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := testpeer.StartEndpoint(t, testpeer.RespondWith(testpeer.OKResponse, testpeer.KeepConn))
			arrived, release := make(chan bool, 1), make(chan bool)
			b := testpeer.StartEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
				if r.URL.Path != "/held" {
					_, err := io.WriteString(nc, testpeer.OKResponse)
					return err == nil
				}
				arrived <- true
				<-release
				_, err := io.WriteString(nc, declined)
				return err == nil
			})
			readyA := testpeer.ListedEndpoint("a", a.Addr, platform.StateReady)
			readyB := testpeer.ListedEndpoint("b", b.Addr, platform.StateReady)
			drainingA := testpeer.ListedEndpoint("a", a.Addr, platform.StateDraining)
			route := routeBlock("x", "/*", "read", "one", "policy {\n client_waits = \"4s\"\n}")
			s := startDaemon(t, startSource(t, readyA, readyB)+route)
			testpeer.WaitUntil(t, "both endpoints are listed", func() bool { return s.Summary().Pools[0].Ready == 2 })
			statuses := make(chan int, 1)
			held := false
			for !held { // until b has a request
				go func() { statuses <- s.request(http.MethodGet, "/held").status }()
				select {
				case <-arrived:
					held = true
				case status := <-statuses:
					if status != http.StatusOK {
						t.Fatalf("status %d, want 200", status)
					}
				}
			}
			changes := s.snapshots.listChanges.Load()
			s.reload(startSource(t, drainingA, readyB) + route)
			testpeer.WaitUntil(t, "the new pool knows that a is draining", func() bool {
				for _, p := range s.Summary().Pools {
					if !p.Removed && p.Draining == 1 {
						return true
					}
				}
				return false
			})
			testpeer.WaitUntil(t, "the update has been applied to all pools", func() bool {
				return s.snapshots.listChanges.Load() > changes
			})
			before := a.Requests.Load()
			close(release)
			if status := <-statuses; status != http.StatusServiceUnavailable {
				t.Errorf("status %d, want 503: no endpoint is left", status)
			}
			if n := a.Requests.Load() - before; n > 0 {
				t.Errorf("the draining endpoint got %d requests", n)
			}
		})
	}
}

// Guards against changes of endpoints that only the source of another pool knows.
func TestSharedChanges(t *testing.T) {
	endpoint := func(id, addr string, state balancer.State) proxy.Endpoint {
		return proxy.Endpoint{ID: id, Addr: addr, State: state}
	}
	a, b := endpoint("a", "1", balancer.Ready), endpoint("b", "2", balancer.Ready)
	drainingA, removedA := endpoint("a", "1", balancer.Draining), endpoint("a", "", balancer.Removed)
	own := []proxy.Endpoint{a, b}
	for _, test := range []struct {
		name   string
		before []proxy.Endpoint
		update proxy.EndpointList
		want   []proxy.Endpoint
	}{
		{"drains", nil, proxy.EndpointList{Endpoints: []proxy.Endpoint{drainingA}}, []proxy.Endpoint{drainingA}},
		{"removed", []proxy.Endpoint{a}, proxy.EndpointList{
			Endpoints: []proxy.Endpoint{removedA}}, []proxy.Endpoint{removedA}},
		{"missing from a complete list", []proxy.Endpoint{a}, proxy.EndpointList{Complete: true}, []proxy.Endpoint{removedA}},
		{"never known to the other source", nil, proxy.EndpointList{Complete: true}, nil},
		{"another address", nil, proxy.EndpointList{
			Endpoints: []proxy.Endpoint{endpoint("a", "9", balancer.Draining)}}, nil},
		{"another endpoint", nil, proxy.EndpointList{
			Endpoints: []proxy.Endpoint{endpoint("c", "3", balancer.Draining)}}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := sharedChanges(own, test.before, test.update); !reflect.DeepEqual(got, test.want) {
				t.Errorf("changes %+v, want %+v", got, test.want)
			}
		})
	}
}
