package daemon

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

func TestRoutingAndCompleteResponses(t *testing.T) {
	var id atomic.Value
	one := testpeer.StartEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		id.Store(r.Header.Get(platform.RequestIDHeader))
		io.WriteString(nc,
			"HTTP/1.1 201 Custom Reason\r\nX-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 4\r\n\r\nhere")
		return true
	})
	two := testpeer.StartEndpoint(t, respondWith("404 Not Found", "", "there"))
	s := startDaemon(t, poolBlock("one", one.Addr)+poolBlock("two", two.Addr)+
		routeBlock("a", "/a/*", "read", "one", "")+
		routeBlock("b", "/a/b", "read", "two", `methods = ["GET", "POST"]`)+
		routeBlock("gold", "/a/*", "read", "two", "header \"X-Tier\" {\n  equals = \"gold\"\n}"))
	got := s.request(http.MethodGet, "/a/x?y=1")
	isComplete := got.body == "here" && got.header.Get("X-Own") == "1" && got.header.Get("X-Hop") == ""
	if got.status != http.StatusCreated || !isComplete {
		t.Errorf("response of endpoint one: %+v", got)
	}
	if first := id.Load(); first == "" {
		t.Error("a request that arrived without an id was forwarded without one")
	} else if s.request(http.MethodGet, "/a/x"); id.Load() == first {
		t.Errorf("two requests got the same id %v", first)
	}
	for _, row := range []struct {
		method, path string
		header       []string
		status       int
	}{
		{http.MethodGet, "/a/b", nil, http.StatusNotFound},
		{http.MethodGet, "/a/x", []string{"X-Tier", "gold"}, http.StatusNotFound},
		{http.MethodGet, "/a/x", []string{platform.DeadlineHeader, "soon"}, http.StatusBadRequest},
		{http.MethodGet, "/a/../b", nil, http.StatusBadRequest},
		{http.MethodGet, "/c", nil, http.StatusNotFound},
	} {
		if got := s.request(row.method, row.path, row.header...); got.status != row.status {
			t.Errorf("%s %s: status %d, body %q", row.method, row.path, got.status, got.body)
		}
	}
	s.reload(poolBlock("two", two.Addr) + routeBlock("b", "/b", "read", "two", `methods = ["GET", "POST"]`))
	got = s.request(http.MethodPut, "/b")
	if got.status != http.StatusMethodNotAllowed || got.header.Get("Allow") != "GET, POST" {
		t.Errorf("response to a method that the route does not allow: %+v", got)
	}
}

func TestOnlyIdempotentRequestsAreRetried(t *testing.T) {
	disconnects := testpeer.StartEndpoint(t, testpeer.RespondWith("", testpeer.CloseConn))
	fails := testpeer.StartEndpoint(t, respondWith("500 Custom Reason", "", ""))
	s := startDaemon(t, poolBlock("one", disconnects.Addr)+poolBlock("two", fails.Addr)+
		routeBlock("writes", "/write", "write", "one", "")+
		routeBlock("reads", "/read", "read", "two", "policy {\n attempts = 2\n}"))
	status := s.request(http.MethodPost, "/write").status
	if attempts := disconnects.Requests.Load(); status != http.StatusBadGateway || attempts != 1 {
		t.Errorf("non-idempotent request: status %d after %d attempts, want 502 after 1", status, attempts)
	}
	got := s.request(http.MethodGet, "/read")
	attempts := fails.Requests.Load()
	if got.status != http.StatusServiceUnavailable || attempts != 2 || got.header.Get("Retry-After") == "" {
		t.Errorf("idempotent request: status %d after %d attempts, want 503 after 2, with Retry-After", got.status, attempts)
	}
}

func TestLimitsRejectAtOnce(t *testing.T) {
	e := newGatedEndpoint(t, testpeer.OKResponse)
	s := startDaemon(t, poolBlock("one", e.Addr)+
		routeBlock("all", "/all", "read", "one", "policy {\n concurrency = 2\n tenant_concurrency = 1\n}")+
		routeBlock("some", "/some", "read", "one", "policy {\n rate = \"1/h\"\n}"))
	var requests sync.WaitGroup
	for _, tenant := range []string{"a", "b"} {
		requests.Go(func() {
			if status := s.request(http.MethodGet, "/all", platform.TenantHeader, tenant).status; status != http.StatusOK {
				t.Errorf("tenant %s: status %d, want 200", tenant, status)
			}
		})
		<-e.arrived
		got := s.request(http.MethodGet, "/all", platform.TenantHeader, tenant)
		if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "tenant concurrency") ||
			got.header.Get("Retry-After") == "" {
			t.Errorf("second request of tenant %s: status %d, body %q", tenant, got.status, got.body)
		}
	}
	got := s.request(http.MethodGet, "/all", platform.TenantHeader, "c")
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "route concurrency") {
		t.Errorf("request of a third tenant: status %d, body %q", got.status, got.body)
	}
	requests.Go(func() { s.request(http.MethodGet, "/some") })
	<-e.arrived
	got = s.request(http.MethodGet, "/some")
	if got.status != http.StatusTooManyRequests || got.header.Get("Retry-After") != "3600" {
		t.Errorf("request over the rate limit: status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
	close(e.release)
	requests.Wait()
	if status := s.request(http.MethodGet, "/all").status; status != http.StatusOK {
		t.Errorf("status %d after all other requests have ended, want 200", status)
	}
}

// A request that is in flight when a reload makes its class non-idempotent is still retried. A
// request that arrives after the reload is not.
func TestReloadDoesNotChangePolicyOfRequestInFlight(t *testing.T) {
	e := newGatedEndpoint(t, "HTTP/1.1 500 Custom Reason\r\nContent-Length: 0\r\n\r\n")
	config := func(class string) string {
		return poolBlock("one", e.Addr) + routeBlock("x", "/x", class, "one", "policy {\n attempts = 3\n}")
	}
	s := startDaemon(t, config("read"))
	var requests sync.WaitGroup
	requests.Go(func() {
		if status := s.request(http.MethodGet, "/x").status; status != http.StatusServiceUnavailable {
			t.Errorf("request that arrived as idempotent: status %d, want 503", status)
		}
	})
	<-e.arrived
	s.reload(config("write"))
	e.release <- true
	for range 2 { // retries
		<-e.arrived
		e.release <- true
	}
	requests.Wait()
	requests.Go(func() {
		if status := s.request(http.MethodGet, "/x").status; status != http.StatusBadGateway {
			t.Errorf("request that arrived as non-idempotent: status %d, want 502", status)
		}
	})
	<-e.arrived
	e.release <- true
	requests.Wait()
	if n := e.Requests.Load(); n != 4 {
		t.Errorf("the endpoint received %d attempts, want 4", n)
	}
}
