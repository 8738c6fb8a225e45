package sidecar

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"rowancart/internal/discovery/platform"
	"rowancart/internal/testpeer"
	"strings"
	"sync"
	"testing"
	"time"
)

const testSettings = `{"Lanes":[{"Name":"look","Semantics":"read_like","OnTimeUs":2000000},
	{"Name":"book","Semantics":"idempotency_key","Group":"cell","WindowUs":10000000,"OnTimeUs":2000000},
	{"Name":"pay","Semantics":"non_idempotent","OnTimeUs":2000000}],
	"Permissions":{"MayCancel":true,"TryLimit":4,"RetryAfter":true,"MaxRetryAfterUs":2000000,"DialTimeoutUs":5000000}}`

// testSidecar is a whole sidecar on loopback sockets.
type testSidecar struct {
	*Sidecar
	addr        string
	terminate   context.CancelFunc
	serveResult chan error
}

// startSidecar starts a sidecar before the endpoints given, named a, b, ... Its discovery never says anything.
func startSidecar(t *testing.T, addrs ...string) *testSidecar {
	t.Helper()
	return startSidecarWithLimits(t, "{}", addrs...)
}

func startSidecarWithLimits(t *testing.T, limits string, addrs ...string) *testSidecar {
	t.Helper()
	var list []string
	for i, addr := range addrs {
		list = append(list, endpointJSON(string(rune('a'+i)), addr, "Ready"))
	}
	return testOptions{limits: limits, endpoints: list}.start(t)
}

// testOptions is what a sidecar is started with, where something else is wanted than run gives.
type testOptions struct {
	limits    string
	settings  string // instead of laneSettings
	endpoints []string
	sharedDir string
	killDelay time.Duration // after SIGTERM; 0: when tests have lost patience
}

func (o testOptions) start(t *testing.T) *testSidecar {
	t.Helper()
	silent := httptest.NewServer(&testpeer.Script{Calls: make(chan string, 100)})
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","console":"127.0.0.1:0","discovery":%q,"seed":"7","limits":%s,"known":%s,"settings":%s}`,
		silent.Listener.Addr(), cmp.Or(o.limits, "{}"), endpointListJSON(1, true, o.endpoints...), cmp.Or(o.settings, testSettings))
	c, err := parseConfig([]byte(text), func(name string) string { return map[string]string{"TMPDIR": o.sharedDir}[name] })
	if err != nil {
		t.Fatal(err)
	}
	s, err := Start(c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s.killDelay = cmp.Or(o.killDelay, testTimeout)
	ctx, term := context.WithCancel(context.Background())
	r := &testSidecar{Sidecar: s, addr: s.Addr().String(), terminate: term, serveResult: make(chan error, 1)}
	go func() { r.serveResult <- s.Serve(ctx); close(r.serveResult) }()
	t.Cleanup(func() {
		term()
		<-r.serveResult
		silent.Close()
	})
	return r
}

// newRequest is one as clients send it.
func (s *testSidecar) newRequest(t *testing.T, method, path, id string, ms int) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+s.addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Deadline-Ms", fmt.Sprint(ms))
	if strings.HasPrefix(path, "/book") {
		r.Header.Set("Idempotency-Key", "key-"+id)
	}
	return r
}

// sendRequest sends a request on a connection of its own.
func sendRequest(t *testing.T, r *http.Request) (status int, body string, h http.Header) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		t.Error(err)
		return 0, "", nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, string(text), resp.Header
}

// sendKeepingConn sends a request on a new connection and leaves that open.
func sendKeepingConn(t *testing.T, r *http.Request) (net.Conn, *bufio.Reader, *http.Response) {
	t.Helper()
	nc, err := net.Dial("tcp", r.URL.Host)
	if err != nil {
		t.Error(err)
		return nil, nil, nil
	}
	t.Cleanup(func() { nc.Close() })
	in := bufio.NewReader(nc)
	err = r.Write(nc)
	if err == nil {
		nc.SetReadDeadline(time.Now().Add(testTimeout))
		var resp *http.Response
		if resp, err = http.ReadResponse(in, r); err == nil {
			io.Copy(io.Discard, resp.Body)
			return nc, in, resp
		}
	}
	t.Error(err)
	return nc, in, &http.Response{}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	body := make(chan string, 1)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		body <- string(text)
		got <- r
		io.WriteString(w, "done")
	}))
	defer e.Close()
	s := startSidecar(t, e.Listener.Addr().String())
	r := s.newRequest(t, http.MethodPost, "/book/a%2Fb?x=1&y=%20", "id-1", 4000)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader("parcel")), 6
	if status, text, _ := sendRequest(t, r); status != http.StatusOK || text != "done" {
		t.Errorf("%d %q", status, text)
	}
	in := <-got
	if b := <-body; in.Method != http.MethodPost || in.RequestURI != "/book/a%2Fb?x=1&y=%20" || b != "parcel" ||
		in.Header.Get("Req-Id") != "id-1" || in.Header.Get("Idempotency-Key") != "key-id-1" {
		t.Errorf("%s %s %v, body %q", in.Method, in.RequestURI, in.Header, b)
	}
	var left int
	if _, err := fmt.Sscan(in.Header.Get("Req-Deadline-Ms"), &left); err != nil || left < 1 || left >= 4000 {
		t.Errorf("the endpoint was told to have %d ms: %v", left, err)
	}
}

// What can't have run may be refused; what may have run is failed, and sent only once.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	e := newEndpoint(t, respondWith("", false))
	s := startSidecar(t, e.Addr, e.Addr, e.Addr)
	if status, _, _ := sendRequest(t, s.newRequest(t, http.MethodPost, "/pay", "r1", 4000)); status != http.StatusBadGateway {
		t.Errorf("may have run: %d", status)
	}
	if n := e.Requests.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
	closed := newEndpoint(t, respondWith("", false))
	closed.Listener.Close()
	s = startSidecar(t, closed.Addr)
	status, _, h := sendRequest(t, s.newRequest(t, http.MethodPost, "/pay", "r2", 4000))
	if status != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
		t.Errorf("never ran: %d %v", status, h)
	}
}

func TestSilentEndpointYieldsBadGatewayAtDeadline(t *testing.T) {
	e := newEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		nc.Read(make([]byte, 1))
		return false
	})
	s := startSidecar(t, e.Addr)
	if status, _, _ := sendRequest(t, s.newRequest(t, http.MethodPost, "/pay", "r1", 300)); status != http.StatusBadGateway {
		t.Errorf("status %d", status)
	}
}

func TestClientDisconnectCancelsAttempt(t *testing.T) {
	came, left := make(chan bool), make(chan bool)
	e := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		came <- true
		<-r.Context().Done()
		left <- true
	}))
	defer e.Close()
	s := startSidecar(t, e.Listener.Addr().String())
	ctx, leave := context.WithCancel(context.Background())
	go func() { <-came; leave() }()
	if _, err := http.DefaultClient.Do(s.newRequest(t, http.MethodGet, "/look", "r1", 60000).WithContext(ctx)); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	select {
	case <-left:
	case <-time.After(testTimeout):
		t.Error("the endpoint was left waiting")
	}
}

func TestDuplicateInFlightIDIsRejected(t *testing.T) {
	came, release := make(chan bool, 2), make(chan bool)
	e := newEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		came <- true
		<-release
		io.WriteString(nc, okResponse)
		return true
	})
	s := startSidecar(t, e.Addr)
	first := make(chan int)
	go func() {
		status, _, _ := sendRequest(t, s.newRequest(t, http.MethodGet, "/look", "same", 60000))
		first <- status
	}()
	<-came
	if status, _, _ := sendRequest(t, s.newRequest(t, http.MethodGet, "/look", "same", 60000)); status != http.StatusConflict {
		t.Errorf("second: %d", status)
	}
	close(release)
	if status := <-first; status != http.StatusOK {
		t.Errorf("first: %d", status)
	}
	if n := e.Requests.Load(); n != 1 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}

func TestMalformedRequestReachesNoEndpoint(t *testing.T) {
	e := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, e.Addr)
	const host, id, ms = " HTTP/1.1\r\nHost: h\r\n", "Req-Id: r1\r\n", "Req-Deadline-Ms: 1000\r\n"
	for name, text := range map[string]string{
		"noise":                     "\x01\x02 \x03\r\n\r\n",
		"no host":                   "GET /look HTTP/1.1\r\n" + id + ms + "\r\n",
		"no id":                     "GET /look" + host + ms + "\r\n",
		"an empty id":               "GET /look" + host + "Req-Id:\r\n" + ms + "\r\n",
		"two ids":                   "GET /look" + host + id + "Req-Id: r2\r\n" + ms + "\r\n",
		"an endless id":             "GET /look" + host + "Req-Id: " + strings.Repeat("x", 999) + "\r\n" + ms + "\r\n",
		"no deadline":               "GET /look" + host + id + "\r\n",
		"a deadline that's no time": "GET /look" + host + id + "Req-Deadline-Ms: soon\r\n\r\n",
		"a deadline of nothing":     "GET /look" + host + id + "Req-Deadline-Ms: 0\r\n\r\n",
		"a negative deadline":       "GET /look" + host + id + "Req-Deadline-Ms: -5\r\n\r\n",
		"an endless deadline":       "GET /look" + host + id + "Req-Deadline-Ms: 99999999999999999999\r\n\r\n",
		"a negative length":         "POST /look" + host + id + ms + "Content-Length: -1\r\n\r\n",
		"a length that's no number": "POST /look" + host + id + ms + "Content-Length: x\r\n\r\n",
		"an over-long body":         "POST /pay" + host + id + ms + "Content-Length: 60000000\r\n\r\n" + strings.Repeat("x", 70000),
		"a long body of safe work":  "GET /look" + host + id + ms + "Content-Length: 70000\r\n\r\n" + strings.Repeat("x", 70000),
		"a long chunked one":        "GET /look" + host + id + ms + "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70000) + "\r\n0\r\n\r\n",
		"a bad chunk":               "POST /look" + host + id + ms + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"an over-long head":         "GET /look" + host + id + ms + "X: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
		"a keyed class with no key": "POST /book" + host + id + ms + "Content-Length: 0\r\n\r\n",
		"another method":            "DELETE /look" + host + id + ms + "\r\n",
		"safe work by POST":         "POST /look" + host + id + ms + "Content-Length: 0\r\n\r\n",
		"safe work with a body":     "GET /look" + host + id + ms + "Content-Length: 2\r\n\r\nhi",
		"unsafe work by GET":        "GET /pay" + host + id + ms + "\r\n",
		"a class nobody listed":     "GET /looks" + host + id + ms + "\r\n",
		"no class":                  "GET /" + host + id + ms + "\r\n",
		"a way out of the class":    "GET /look/../pay/x" + host + id + ms + "\r\n",
		"an encoded way out":        "GET /look/%2e%2E%2fpay/x" + host + id + ms + "\r\n",
		"a class in other letters":  "GET /l%6fok" + host + id + ms + "\r\n",
	} {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		go io.WriteString(nc, text)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		} else if resp.StatusCode < 400 || resp.StatusCode > 499 || resp.StatusCode == http.StatusTooManyRequests {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
		nc.Close()
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
	if status, _, _ := sendRequest(t, s.newRequest(t, http.MethodGet, "/look", "r1", 4000)); status != http.StatusOK {
		t.Errorf("a good request afterwards: %d", status)
	}
}

// A list is an event of the engine's, as discovery's are: what comes after it finds it in force.
func (s *testSidecar) updateEndpoints(t *testing.T, text string) {
	t.Helper()
	m, err := platform.ParseEndpointList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s.pool.UpdateEndpoints(m.ForPool())
}

func TestDrainingAndRemovedEndpointsGetNoNewRequests(t *testing.T) {
	a, b := newEndpoint(t, respondWith(okResponse, true)), newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, a.Addr, b.Addr)
	n := 0
	calls := func() (int32, int32) {
		for range 8 {
			n++
			if status, _, _ := sendRequest(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint("r", n), 60000)); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		}
		return a.Requests.Swap(0), b.Requests.Swap(0)
	}
	if x, y := calls(); x == 0 || y == 0 {
		t.Errorf("at first %d and %d", x, y)
	}
	s.updateEndpoints(t, endpointListJSON(2, false, endpointJSON("a", a.Addr, "Terminating")))
	if x, y := calls(); x != 0 || y != 8 {
		t.Errorf("with a draining, %d and %d", x, y)
	}
	s.updateEndpoints(t, endpointListJSON(3, true, endpointJSON("b", a.Addr, "Ready"))) // a gone, b moved
	if x, y := calls(); x != 8 || y != 0 {
		t.Errorf("with b moved, %d to its new address and %d to the old", x, y)
	}
}

// After SIGTERM callers go on coming for a while; all that was taken is answered before the end.
func TestGracefulShutdownLosesNoRequest(t *testing.T) {
	came, release := make(chan bool, 100), make(chan bool)
	e := newEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.Header.Get("Req-Id"), "slow") {
			came <- true
			<-release
		}
		io.WriteString(nc, okResponse)
		return true
	})
	s := startSidecar(t, e.Addr)
	var slow sync.WaitGroup
	for i := range 3 {
		slow.Go(func() {
			_, _, resp := sendKeepingConn(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint("slow", i), 60000))
			if resp.StatusCode != http.StatusOK || !resp.Close {
				t.Errorf("in flight: %d, close %v", resp.StatusCode, resp.Close)
			}
		})
		<-came
	}
	_, in, resp := sendKeepingConn(t, s.newRequest(t, http.MethodGet, "/look", "kept", 60000))
	if resp.StatusCode != http.StatusOK || resp.Close {
		t.Errorf("before the signal: %d, close %v", resp.StatusCode, resp.Close)
	}

	s.terminate()
	if status, _, _ := sendRequest(t, s.newRequest(t, http.MethodGet, "/look", "late", 60000)); status != http.StatusOK {
		t.Errorf("right after the signal: %d", status)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
	waitUntil(t, "the listener closes", func() bool {
		nc, err := net.Dial("tcp", s.addr)
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
	select {
	case err := <-s.serveResult:
		t.Fatalf("ended with requests in flight: %v", err)
	default:
	}
	close(release)
	slow.Wait()
	select {
	case err := <-s.serveResult:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("never ended")
	}
}

// Idle callers must give way when connections run short, and none may be lost.
func TestIdleClientConnectionsAreClosedAtTheLimit(t *testing.T) {
	e := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecarWithLimits(t, `{"sockets":64}`, e.Addr)
	for i := range 100 { // far over the limit
		_, _, resp := sendKeepingConn(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint("r", i), 60000))
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("caller %d: status %d", i, resp.StatusCode)
		}
	}
}

// A body that never ends must not hold its connection, whatever else is wrong with the request.
func TestUnfinishedBodyTimesOut(t *testing.T) {
	e := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, e.Addr)
	s.server.SetBodyTimeout(100 * time.Millisecond)
	for name, fields := range map[string]string{"good": "Req-Id: r1\r\nReq-Deadline-Ms: 60000\r\n", "no id": ""} {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, "POST /look HTTP/1.1\r\nHost: h\r\n"+fields+"Content-Length: 9\r\n\r\nhalf")
		nc.SetReadDeadline(time.Now().Add(testTimeout))
		text, err := io.ReadAll(nc) // to the end of the connection
		if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 400 ") {
			t.Errorf("%s: %q, %v", name, text, err)
		}
		nc.Close()
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}
