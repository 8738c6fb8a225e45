package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

// adminCommand asks the console and gives the whole answer.
func (s *testSidecar) adminCommand(t *testing.T, line string) string {
	t.Helper()
	nc, err := net.Dial("tcp", s.admin.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(nc, line+"\n")
	text, err := io.ReadAll(nc)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func (s *testSidecar) requireSuccess(t *testing.T, line string) {
	t.Helper()
	if answer := s.adminCommand(t, line); !strings.HasPrefix(answer, "SUCCESS ") || strings.Count(answer, "\n") != 1 {
		t.Errorf("%s: %q", line, answer)
	}
}

func (s *testSidecar) requireFailure(t *testing.T, line string) {
	t.Helper()
	if answer := s.adminCommand(t, line); !strings.HasPrefix(answer, "FAILURE ") || strings.Count(answer, "\n") != 1 {
		t.Errorf("%s: %q", line, answer)
	}
}

// metric reads one figure.
func (s *testSidecar) metric(t *testing.T, name string) int {
	t.Helper()
	text := s.adminCommand(t, "show-stat")
	if !strings.HasSuffix(text, "\nEOT\n") {
		t.Fatalf("the figures end with no EOT: %q", text)
	}
	return testpeer.Figure(t, text, name)
}

func TestDisableAndEnableEndpoint(t *testing.T) {
	a, b := newEndpoint(t, respondWith(okResponse, true)), newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, a.Addr, b.Addr)
	n := 0
	calls := func(class string) (int32, int32) {
		for range 12 {
			n++
			method := http.MethodGet
			if class == "pay" {
				method = http.MethodPost
			}
			if status, _, _ := sendRequest(t, s.newRequest(t, method, "/"+class, fmt.Sprint("r", n), 60000)); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		}
		return a.Requests.Swap(0), b.Requests.Swap(0)
	}
	if x, y := calls("look"); x == 0 || y == 0 {
		t.Errorf("at first %d and %d", x, y)
	}
	s.requireSuccess(t, "disable-server a")
	s.requireSuccess(t, "disable-server a") // said twice
	if x, y := calls("pay"); x != 0 || y != 12 {
		t.Errorf("with a out, %d and %d", x, y)
	}
	if n := s.metric(t, "sidecar_targets_disabled"); n != 1 {
		t.Errorf("%d endpoints are told to be avoided", n)
	}
	s.updateEndpoints(t, endpointListJSON(2, true, endpointJSON("b", b.Addr, "Ready"))) // gone, and here again
	s.updateEndpoints(t, endpointListJSON(3, true, endpointJSON("a", a.Addr, "Ready"), endpointJSON("b", b.Addr, "Ready")))
	if x, y := calls("look"); x != 0 || y != 12 {
		t.Errorf("with a out and listed anew, %d and %d", x, y)
	}
	s.requireSuccess(t, "enable-server a") // once is enough
	if x, _ := calls("look"); x == 0 {
		t.Error("put back, a gets nothing")
	}
	s.requireSuccess(t, "enable-server a") // listed and not banned
	s.requireFailure(t, "disable-server c")
	s.requireFailure(t, "enable-server c")
	s.requireFailure(t, "drain a")
	s.requireFailure(t, "disable-server a b")
}

// What the figures tell is what peers saw: each answer by its kind, each attempt written whole, nothing under way at the end.
func TestMetricsMatchWhatPeersObserved(t *testing.T) {
	e := newEndpoint(t, func(nc net.Conn, r *http.Request, n int) bool {
		switch r.URL.Query().Get("do") {
		case "serve":
			io.WriteString(nc, okResponse)
		case "fail":
			io.WriteString(nc, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		case "decline":
			io.WriteString(nc, "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
		case "stream":
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n%s", strings.Repeat("x", 200_000))
		case "hang":
			nc.Read(make([]byte, 1)) // until the attempt is called off
			return false
		default:
			return false
		}
		return true
	})
	s := startSidecar(t, e.Addr)
	var mu sync.Mutex
	saw := map[string]int{}
	kinds := map[int]string{http.StatusOK: "success", http.StatusServiceUnavailable: "overload", http.StatusBadGateway: "error"}
	for i, do := range []string{"serve", "fail", "decline", "break", "serve", "serve", "decline", "fail"} {
		for _, class := range []string{"look", "pay"} {
			method := map[string]string{"look": http.MethodGet, "pay": http.MethodPost}[class]
			status, _, _ := sendRequest(t, s.newRequest(t, method, "/"+class+"?do="+do, fmt.Sprint(class, i), 500))
			mu.Lock()
			saw[fmt.Sprintf("sidecar_%s{type=%q}", kinds[status], class)]++
			mu.Unlock()
		}
	}
	long := s.newRequest(t, http.MethodGet, "/look?do=stream", "long", 60000)
	nc, _, resp := sendKeepingConn(t, long) // reads it to its end
	nc.Close()
	if resp.StatusCode == http.StatusOK {
		saw[`sidecar_success{type="look"}`]++
	}
	leaver, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	s.newRequest(t, http.MethodPost, "/book?do=hang", "leaves", 60000).Write(leaver)
	waitUntil(t, "the one that leaves is under way", func() bool { return s.metric(t, "sidecar_concurrent") == 1 })
	leaver.Close() // counts as failed here: nobody hears its answer
	saw[`sidecar_error{type="book"}`]++
	sendRequest(t, s.newRequest(t, http.MethodGet, "/look?do=serve", "look0", 500))   // a repeat: answered before
	sendRequest(t, s.newRequest(t, http.MethodDelete, "/look?do=serve", "no", 500))   // improper
	sendRequest(t, s.newRequest(t, http.MethodGet, "/nothing?do=serve", "none", 500)) // no class of ours
	for _, kind := range kinds {
		for _, class := range []string{"look", "book", "pay"} {
			name := fmt.Sprintf("sidecar_%s{type=%q}", kind, class)
			waitUntil(t, name, func() bool { return s.metric(t, name) == saw[name] }) // the answer may be read before it is counted
		}
	}
	if n := s.metric(t, "sidecar_concurrent"); n != 0 {
		t.Errorf("%d under way", n)
	}
	if n, sent := s.metric(t, "sidecar_dispatches"), int(e.Requests.Load()); n != sent {
		t.Errorf("%d attempts told, and %d came", n, sent)
	}
	if n := s.metric(t, "sidecar_targets"); n != 1 {
		t.Errorf("%d endpoints told", n)
	}
}

// Whatever callers do on their side, operators are answered: with every place of theirs taken and silent callers at the console.
func TestAdminRespondsUnderLoad(t *testing.T) {
	came, release := make(chan bool, 200), make(chan bool)
	e := newEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		came <- true
		<-release
		io.WriteString(nc, okResponse)
		return true
	})
	s := startSidecarWithLimits(t, `{"sockets":128}`, e.Addr)
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() { sendRequest(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint("r", i), 60000)) })
	}
	<-came
	for range 50 {
		nc, err := net.Dial("tcp", s.admin.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, "disable-ser")
	}
	waitUntil(t, "all that is asked shows", func() bool { return s.metric(t, "sidecar_concurrent") > 5 })
	s.requireSuccess(t, "disable-server a")
	close(release)
	callers.Wait()
}

func TestReadyRequiresListAndAccepting(t *testing.T) {
	w := newReadiness()
	o := &operations{readiness: w}
	if err := o.Ready(); err == nil {
		t.Error("ready before discovery has said anything")
	}
	w.markListReceived()
	w.markListReceived()
	if err := o.Ready(); err == nil {
		t.Error("ready before connections are taken")
	}
	w.accepting.Store(true)
	if err := o.Ready(); err != nil {
		t.Error(err)
	}
	silent := newReadiness()
	silent.listDeadline = time.Now()
	silent.accepting.Store(true)
	if o = (&operations{readiness: silent}); o.Ready() != nil {
		t.Error("not ready though discovery has been waited for")
	}
}

// hookHandler is a log that does something at each line.
type hookHandler struct {
	slog.Handler
	onMessage func(line string)
}

// Handle implements slog.Handler.
func (d hookHandler) Handle(_ context.Context, r slog.Record) error {
	d.onMessage(r.Message)
	return nil
}

// Enabled implements slog.Handler.
func (d hookHandler) Enabled(context.Context, slog.Level) bool { return true }

// At the yes the platform sends SIGTERM to the predecessor, which must be able to know by then that it has a successor. So nothing says
// yes before that is told; here it can't be, and what comes of that is told in between.
func TestPredecessorIsNotifiedBeforeReady(t *testing.T) {
	c, err := parseConfig([]byte(`{"listen":"127.0.0.1:0","console":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"7","known":{"version":1,"full":true,"servers":[]},"settings":{}}`),
		func(name string) string { return map[string]string{"TMPDIR": t.TempDir()}[name] })
	if err != nil {
		t.Fatal(err)
	}
	told := make(chan error, 1)
	var s *Sidecar
	s, err = Start(c, slog.New(hookHandler{slog.DiscardHandler, func(line string) {
		if line == "cannot notify the predecessor that this process serves" {
			told <- (&operations{readiness: s.readiness}).Ready()
		}
	}}))
	if err != nil {
		t.Fatal(err)
	}
	s.readiness.markListReceived()
	s.handover.presence.Unregister() // its file is gone: the predecessor can't be told
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- s.Serve(ctx) }()
	if err := <-told; !errors.Is(err, errNotAccepting) {
		t.Errorf("before it is told: %v", err)
	}
	waitUntil(t, "it says yes", func() bool { return (&operations{readiness: s.readiness}).Ready() == nil })
	end()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestStartFailsWhenAdminAddressIsUnusable(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	text := strings.Replace(goodConfig, "127.0.0.1:9100", taken.Addr().String(), 1)
	c, err := parseConfig([]byte(text), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Start(c, slog.New(slog.DiscardHandler)); err == nil || !strings.HasPrefix(err.Error(), "console: ") {
		t.Errorf("%v", err)
	}
	text = strings.NewReplacer(`"127.0.0.1:0"`, `"127.0.0.1:7000"`, "127.0.0.1:9100", "127.0.0.1:7000").Replace(goodConfig)
	if _, err := parseConfig([]byte(text), noEnv); err == nil || !strings.HasPrefix(err.Error(), "console: ") {
		t.Errorf("the callers' address: %v", err)
	}
	if c, err := parseConfig([]byte(goodConfig), func(k string) string {
		return map[string]string{"ROUTER_CONSOLE": "127.0.0.1:9200"}[k]
	}); err != nil || c.AdminAddr != "127.0.0.1:9200" {
		t.Errorf("by the variable: %q, %v", c.AdminAddr, err)
	}
}
