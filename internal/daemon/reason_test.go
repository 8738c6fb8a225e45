package daemon

import (
	"bufio"
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

// unusedAddr returns a loopback address at which nothing listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// If a request is not served, the reason is in the header of the response, the metrics and the log,
// and the failure of the endpoint is in the status.
func TestUnservedRequestsHaveAReason(t *testing.T) {
	disconnects := testpeer.StartEndpoint(t, func(net.Conn, *http.Request, int) bool { return false })
	empty := filepath.Join(t.TempDir(), "endpoints.json")
	if err := os.WriteFile(empty, []byte(`{"endpoints": []}`), 0o600); err != nil {
		t.Fatal(err)
	}
	s := startDaemon(t, filePoolBlock("none", empty)+
		poolBlock("dead", unusedAddr(t))+
		poolBlock("resets", disconnects.Addr)+
		routeBlock("none", "/none", "read", "none", "policy {\n queue = 0\n}")+
		routeBlock("dead", "/dead", "read", "dead", "")+
		routeBlock("resets", "/resets", "write", "resets", "")+
		routeBlock("limited", "/limited", "read", "dead", "policy {\n rate = \"1/h\"\n}"))
	for _, row := range []struct{ method, path, status, reason, route string }{
		{http.MethodGet, "/none", `rowancart; error=destination_unavailable; details="no_endpoint"`, "no_endpoint", "none"},
		{http.MethodGet, "/dead", `rowancart; error=destination_unavailable; details="no_attempt"`, "no_attempt", "dead"},
		{http.MethodPost, "/resets", `rowancart; error=connection_terminated; details="may_have_run"`,
			"may_have_run", "resets"},
	} {
		got := s.request(row.method, row.path).header.Get("Proxy-Status")
		if got != row.status {
			t.Errorf("%s: Proxy-Status is %q, want %q", row.path, got, row.status)
		}
		// A request is counted after its response is written.
		want := `rowancart_unserved_total{reason="` + row.reason + `",route="` + row.route + `"} 1`
		testpeer.WaitUntil(t, row.path+": the metrics contain "+want, func() bool {
			return strings.Contains(s.requestAdmin(http.MethodGet, "/metrics").body, want)
		})
		if !strings.Contains(s.log.String(), " reason="+row.reason+" ") {
			t.Errorf("%s: the log does not contain the reason %s: %s", row.path, row.reason, s.log)
		}
	}
	s.request(http.MethodGet, "/limited")
	h := s.request(http.MethodGet, "/limited").header
	if h.Get("Proxy-Status") != `rowancart; error=http_request_denied; details="route_rate"` {
		t.Errorf("request over the rate limit: Proxy-Status is %q", h.Get("Proxy-Status"))
	}
	status := s.requestAdmin(http.MethodGet, "/status").body
	for _, want := range []string{`"out": "unreached"`, "connection refused", `"trial_in": "`, `"fault": "EOF"`} {
		if !strings.Contains(status, want) {
			t.Errorf("the status does not contain %s:\n%s", want, status)
		}
	}
}

// An upload that its endpoint aborts cannot be sent again. It must be counted by its reason like
// every other request that is not served: the reason was missing in the metrics.
func TestAbortedUploadIsCountedByItsReason(t *testing.T) {
	const readByEndpoint = 4 << 20 // more than is buffered of a body
	const length = 24 << 20        // more than the sockets' buffers hold besides
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		io.CopyN(io.Discard, nc, readByEndpoint)
		nc.Close()
	}()
	s := startDaemon(t, poolBlock("aborts", l.Addr().String())+routeBlock("upload", "/upload", "write", "aborts", ""))
	client, err := net.Dial("tcp", s.Addr("front").String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	go fmt.Fprintf(client, "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s",
		length, strings.Repeat("x", length-1))
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("response %+v, error %v; want status 503", resp, err)
	}
	const want = `rowancart_unserved_total{reason="body_gone",route="upload"} 1`
	testpeer.WaitUntil(t, "the metrics contain "+want, func() bool {
		return strings.Contains(s.requestAdmin(http.MethodGet, "/metrics").body, want)
	})
}
