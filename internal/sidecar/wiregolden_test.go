package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

var updateGolden = flag.Bool("update", false, "update the golden file with the bytes that this program writes")

// wireTranscript collects the bytes that the sidecar writes, in one section for each message.
type wireTranscript struct{ bytes.Buffer }

// add appends a section. Ports and times, which differ between runs, are replaced by placeholders.
// Header fields are sorted, because the order of fields with different names has no meaning (RFC
// 9110, section 5.3).
func (w *wireTranscript) add(title, text string) {
	fmt.Fprintf(w, "=== %s\n%s\n", title, normalizeWire(text))
}

var (
	portPattern     = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	deadlinePattern = regexp.MustCompile(`Req-Deadline-Ms: \d+`)
	datePattern     = regexp.MustCompile(`Date: \w{3}, \d\d \w{3} \d{4} \d\d:\d\d:\d\d GMT`)
	delayPattern    = regexp.MustCompile(`Retry-After: \d\.\d{3}`)
)

func normalizeWire(text string) string {
	head, body, found := strings.Cut(text, "\r\n\r\n")
	if found {
		lines := strings.Split(head, "\r\n")
		slices.Sort(lines[1:])
		text = strings.Join(lines, "\r\n") + "\r\n\r\n" + body
	}
	text = portPattern.ReplaceAllString(text, "127.0.0.1:PORT")
	text = deadlinePattern.ReplaceAllString(text, "Req-Deadline-Ms: MS")
	text = datePattern.ReplaceAllString(text, "Date: DATE")
	text = delayPattern.ReplaceAllString(text, "Retry-After: S.SSS")
	return strings.ReplaceAll(text, "\r\n", "<CRLF>\n")
}

// rawEndpoint is a fake server that records the bytes of each request and writes a given response.
type rawEndpoint struct {
	addr     string
	requests chan string
}

func startRawEndpoint(t *testing.T, responses func(path string) (text string, keepOpen bool)) *rawEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &rawEndpoint{addr: l.Addr().String(), requests: make(chan string, 100)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, responses)
		}
	}()
	return e
}

func (e *rawEndpoint) serve(conn net.Conn, responses func(path string) (string, bool)) {
	defer conn.Close()
	var raw bytes.Buffer
	in := bufio.NewReaderSize(io.TeeReader(conn, &raw), 1<<16)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		e.requests <- raw.String() // raw holds only this request: a connection carries one at a time
		raw.Reset()
		text, keepOpen := responses(r.URL.Path)
		if _, err := io.WriteString(conn, text); err != nil || !keepOpen {
			return
		}
	}
}

// rawResponses returns the response of the endpoint to a path, depending on its last segment.
func rawResponses(path string) (text string, keepOpen bool) {
	switch path[strings.LastIndexByte(path, '/')+1:] {
	case "error":
		return "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/x-error\r\nContent-Length: 4\r\n\r\nboom", true
	case "declined":
		return "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", true
	case "reset":
		return "", false
	case "chunked":
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Other: b\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", true
	case "load":
		return "HTTP/1.1 200 OK\r\nSrv-Load: inflight=7,queue=2,util=0.61\r\nContent-Type: text/x-a\r\n" +
			"Connection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 2\r\n\r\nhi", true
	}
	return okResponse, true
}

// wireExchanges are requests of clients, named by what they test. ID is replaced by a request id.
var wireExchanges = []struct{ name, request string }{
	{"an idempotent request", "GET /look/a%20b?q=1&r=%2F HTTP/1.1\r\nHost: api.internal\r\nReq-Id: ID\r\n" +
		"Req-Owner: acme\r\nReq-Deadline-Ms: 5000\r\nReq-Extra: a=1,b=2\r\nAccept: text/plain\r\n\r\n"},
	{"a keyed request", "POST /book HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\n" +
		"Idempotency-Key: k-1\r\nContent-Length: 3\r\n\r\nabc"},
	{"a client's retry", "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\nReq-Retry: 1\r\n\r\n"},
	{"a chunked request", "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"},
	{"a header that Connection names", "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\n" +
		"Connection: X-Hop\r\nX-Hop: 1\r\nX-Other: 2\r\n\r\n"},
	{"a load report", "GET /look/load HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\n\r\n"},
	{"a chunked response", "GET /look/chunked HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\n\r\n"},
	{"a failed response", "POST /pay/error HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\n" +
		"Content-Length: 0\r\n\r\n"},
	{"a reset", "POST /pay/reset HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"},
	{"rejected by the endpoint", "POST /pay/declined HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 3000\r\n" +
		"Content-Length: 0\r\n\r\n"},
	{"the health path", "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"an unknown class", "GET /none HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\n\r\n"},
	{"no id", "GET /look HTTP/1.1\r\nHost: h\r\nReq-Deadline-Ms: 5000\r\n\r\n"},
	{"no deadline", "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\n\r\n"},
	{"a deadline that is no number", "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: soon\r\n\r\n"},
	{"no key", "POST /book HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"},
	{"the wrong method", "GET /pay HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\n\r\n"},
	{"an encoded slash", "GET /look%2fx HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\n\r\n"},
	{"two hosts", "GET /look HTTP/1.1\r\nHost: h\r\nHost: i\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\n\r\n"},
	{"two lengths", "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 5000\r\nContent-Length: 1\r\n" +
		"Content-Length: 1\r\n\r\na"},
	{"no HTTP", "hello\r\n\r\n"},
	{"HTTP/2", "GET /look HTTP/2.0\r\nHost: h\r\n\r\n"},
}

// exchange sends a request on a new connection, and adds what the sidecar writes to the endpoint
// and to the client.
func (w *wireTranscript) exchange(
	t *testing.T, s *testSidecar, endpoint *rawEndpoint, number int, name, request string,
) {
	t.Helper()
	id := fmt.Sprintf("golden-%d", number)
	c := s.connectAndSend(t, id, request)
	var raw bytes.Buffer
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &raw)), nil)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	c.Close()
	for {
		select {
		case text := <-endpoint.requests:
			w.add(name+": request to the endpoint", text)
			continue
		default:
		}
		break
	}
	w.add(name+": response to the client", raw.String())
}

// The bytes that the sidecar writes to clients, endpoints, discovery and operators must be those in
// the golden file.
func TestWireIsAsRecorded(t *testing.T) {
	const path = "testdata/wire.golden"
	endpoint := startRawEndpoint(t, rawResponses)
	s := testOptions{endpoints: []platform.Endpoint{listed("a", endpoint.addr, platform.StateReady)}}.start(t)
	var w wireTranscript
	for i, e := range wireExchanges {
		w.exchange(t, s, endpoint, i, e.name, e.request)
	}
	// A request leaves the metric shortly after its response has been written.
	waitUntil(t, "no request is in flight", func() bool { return s.metric(t, "sidecar_concurrent") == 0 })
	for _, line := range []string{"ready", "show-stat", "disable-server a", "disable-server a", "disable-server b",
		"ready", "enable-server a", "enable-server a", "enable-server b", "show-stat x", "disable-server", "restart", ""} {
		w.add("admin: "+line, s.adminCommand(t, line))
	}
	s.updateEndpoints(t, completeList(2))
	w.exchange(t, s, endpoint, len(wireExchanges), "no endpoint",
		"GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 200\r\n\r\n")
	w.addDiscovery(t)

	if *updateGolden {
		if err := os.WriteFile(path, w.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotSections, wantSections := strings.Split(w.String(), "=== "), strings.Split(string(want), "=== ")
	for i := range min(len(gotSections), len(wantSections)) {
		if gotSections[i] != wantSections[i] {
			t.Errorf("got\n%s\nthe golden file has\n%s", gotSections[i], wantSections[i])
		}
	}
	if len(gotSections) != len(wantSections) {
		t.Errorf("got %d sections, the golden file has %d", len(gotSections), len(wantSections))
	}
}

// addDiscovery adds the calls that a sidecar makes to discovery: first for the changes since the
// list in its configuration and then, after a malformed message, for the complete list.
func (w *wireTranscript) addDiscovery(t *testing.T) {
	t.Helper()
	discovery := startRawEndpoint(t, func(string) (string, bool) {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nno\n\r\n", false
	})
	s, err := Start(testOptions{}.config(t, discovery.addr), discardLog())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := testContext(t)
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx) }()
	for _, name := range []string{"discovery: the first call", "discovery: the call after a malformed message"} {
		select {
		case text := <-discovery.requests:
			w.add(name, text)
		case <-time.After(testpeer.WaitTimeout):
			t.Fatalf("%s did not arrive", name)
		}
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

func testContext(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithCancel(t.Context())
}
