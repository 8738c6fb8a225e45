package daemon

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"rowancart/internal/testpeer"
)

// unusedAddr returns an address of loopback at which nobody listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Each response that no endpoint made says why, in its header, the metrics, the log and the status
// of the endpoint.
func TestUnservedRequestsSayWhy(t *testing.T) {
	disconnects := testpeer.StartEndpoint(t, func(net.Conn, *http.Request, int) bool { return false })
	empty := filepath.Join(t.TempDir(), "endpoints.json")
	if err := os.WriteFile(empty, []byte(`{"endpoints": []}`), 0o600); err != nil {
		t.Fatal(err)
	}
	s := startDaemon(t, filePoolBlock("none", empty)+
		poolBlock("dead", unusedAddr(t))+
		poolBlock("resets", disconnects.Addr)+
		routeBlock("none", "/none", "look", "none", "policy {\n queue = 0\n}")+
		routeBlock("dead", "/dead", "look", "dead", "")+
		routeBlock("resets", "/resets", "pay", "resets", "")+
		routeBlock("limited", "/limited", "look", "dead", "policy {\n rate = \"1/h\"\n}"))
	for _, c := range []struct{ method, path, status, reason, route string }{
		{http.MethodGet, "/none", `rowancart; error=destination_unavailable; details="no_endpoint"`, "no_endpoint", "none"},
		{http.MethodGet, "/dead", `rowancart; error=destination_unavailable; details="no_attempt"`, "no_attempt", "dead"},
		{http.MethodPost, "/resets", `rowancart; error=connection_terminated; details="may_have_run"`,
			"may_have_run", "resets"},
	} {
		if _, _, h := s.request(c.method, c.path); h.Get("Proxy-Status") != c.status {
			t.Errorf("%s: Proxy-Status is %q, %q is right", c.path, h.Get("Proxy-Status"), c.status)
		}
		// A request is counted after its response is written.
		want := `rowancart_unserved_total{reason="` + c.reason + `",route="` + c.route + `"} 1`
		testpeer.WaitUntil(t, c.path+": the metrics have "+want, func() bool {
			_, metrics := s.requestAdmin(http.MethodGet, "/metrics")
			return strings.Contains(metrics, want)
		})
		if !strings.Contains(s.log.String(), " reason="+c.reason+" ") {
			t.Errorf("%s: the log has no %s: %s", c.path, c.reason, s.log)
		}
	}
	s.request(http.MethodGet, "/limited")
	_, _, h := s.request(http.MethodGet, "/limited")
	if h.Get("Proxy-Status") != `rowancart; error=http_request_denied; details="route_rate"` {
		t.Errorf("over a limit: Proxy-Status is %q", h.Get("Proxy-Status"))
	}
	_, status := s.requestAdmin(http.MethodGet, "/status")
	for _, want := range []string{`"out": "unreached"`, "connection refused", `"trial_in": "`, `"fault": "EOF"`} {
		if !strings.Contains(status, want) {
			t.Errorf("the status has no %s:\n%s", want, status)
		}
	}
}
