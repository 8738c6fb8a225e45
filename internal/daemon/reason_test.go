package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"rowancart/internal/testpeer"
)

// vacant gives an address of loopback at which nobody listens.
func vacant(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (s *site) admin(path string) string {
	s.t.Helper()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + s.AdminAddr().String() + path)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(text)
}

// Each answer that no endpoint made says why, in its header, the metrics, the log and the status of
// the endpoint.
func TestWhatIsNotServedSaysWhy(t *testing.T) {
	resets := testpeer.New(t, func(net.Conn, *http.Request, int) bool { return false })
	empty := filepath.Join(t.TempDir(), "roster.json")
	if err := os.WriteFile(empty, []byte(`{"endpoints": []}`), 0o600); err != nil {
		t.Fatal(err)
	}
	s := serve(t, fmt.Sprintf("pool \"none\" {\n roster \"file\" {\n  path = %q\n }\n}\n", empty)+aPool("dead", vacant(t))+aPool("resets", resets.Addr)+
		aRoute("none", "/none", "look", "none", "policy {\n queue = 0\n}")+aRoute("dead", "/dead", "look", "dead", "")+
		aRoute("resets", "/resets", "pay", "resets", "")+aRoute("limited", "/limited", "look", "dead", "policy {\n rate = \"1/h\"\n}"))
	for _, c := range []struct{ method, path, status, reason, route string }{
		{http.MethodGet, "/none", `rowancart; error=destination_unavailable; details="no_endpoint"`, "no_endpoint", "none"},
		{http.MethodGet, "/dead", `rowancart; error=destination_unavailable; details="no_attempt"`, "no_attempt", "dead"},
		{http.MethodPost, "/resets", `rowancart; error=connection_terminated; details="may_have_run"`, "may_have_run", "resets"},
	} {
		if _, _, h := s.ask(c.method, c.path); h.Get("Proxy-Status") != c.status {
			t.Errorf("%s: Proxy-Status is %q, %q is right", c.path, h.Get("Proxy-Status"), c.status)
		}
		if want := `rowancart_unserved_total{reason="` + c.reason + `",route="` + c.route + `"} 1`; !strings.Contains(s.admin("/metrics"), want) {
			t.Errorf("%s: the metrics have no %s", c.path, want)
		}
		if !strings.Contains(s.log.String(), "why="+c.reason) {
			t.Errorf("%s: the log has no %s: %s", c.path, c.reason, s.log)
		}
	}
	s.ask(http.MethodGet, "/limited")
	if _, _, h := s.ask(http.MethodGet, "/limited"); h.Get("Proxy-Status") != `rowancart; error=http_request_denied; details="route_rate"` {
		t.Errorf("over a limit: Proxy-Status is %q", h.Get("Proxy-Status"))
	}
	status := s.admin("/status")
	for _, want := range []string{`"out": "unreached"`, "connection refused", `"trial_in": "`, `"fault": "EOF"`} {
		if !strings.Contains(status, want) {
			t.Errorf("the status has no %s:\n%s", want, status)
		}
	}
}
