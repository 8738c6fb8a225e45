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

	"rowancart/internal/platform"
)

// methodOf returns the HTTP method for requests of a class of testSettings.
func methodOf(class string) string {
	if class == "look" {
		return http.MethodGet
	}
	return http.MethodPost
}

func TestDisableAndEnableEndpoint(t *testing.T) {
	a := newEndpoint(t, respondWith(okResponse, true))
	b := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, a.Addr, b.Addr)
	sent := 0
	sendTwelve := func(class string) (toA, toB int32) {
		for range 12 {
			sent++
			r := s.newRequest(t, methodOf(class), "/"+class, fmt.Sprint("r", sent), 60000)
			if status := sendRequest(t, r).status; status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
		}
		return a.Requests.Swap(0), b.Requests.Swap(0)
	}
	if toA, toB := sendTwelve("look"); toA == 0 || toB == 0 {
		t.Errorf("with both enabled, a got %d requests and b got %d", toA, toB)
	}
	s.requireSuccess(t, "disable-server a")
	s.requireSuccess(t, "disable-server a") // already disabled
	if toA, toB := sendTwelve("pay"); toA != 0 || toB != 12 {
		t.Errorf("with a disabled, a got %d requests and b got %d, want 0 and 12", toA, toB)
	}
	if n := s.metric(t, "sidecar_targets_disabled"); n != 1 {
		t.Errorf("sidecar_targets_disabled is %d, want 1", n)
	}
	s.updateEndpoints(t, completeList(2, listed("b", b.Addr, platform.StateReady))) // a is removed, and then listed again
	s.updateEndpoints(t, completeList(3,
		listed("a", a.Addr, platform.StateReady), listed("b", b.Addr, platform.StateReady)))
	if toA, toB := sendTwelve("look"); toA != 0 || toB != 12 {
		t.Errorf("with a disabled and listed again, a got %d requests and b got %d, want 0 and 12", toA, toB)
	}
	s.requireSuccess(t, "enable-server a") // undoes both commands to disable a
	if toA, _ := sendTwelve("look"); toA == 0 {
		t.Error("a gets no requests after it was enabled again")
	}
	s.requireSuccess(t, "enable-server a") // already enabled
	for _, line := range []string{"disable-server c", "enable-server c", "drain a", "disable-server a b"} {
		s.requireFailure(t, line)
	}
}

// followQuery responds as the query parameter do of the request says.
func followQuery(conn net.Conn, r *http.Request, _ int) (keepOpen bool) {
	switch r.URL.Query().Get("do") {
	case "serve":
		io.WriteString(conn, okResponse)
	case "fail":
		io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case "reject":
		io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+
			platform.RejectedHeader+": "+platform.RejectedValue+"\r\nContent-Length: 0\r\n\r\n")
	case "stream":
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n%s", strings.Repeat("x", 200_000))
	case "hang":
		conn.Read(make([]byte, 1)) // until the attempt is canceled
		return false
	default:
		return false
	}
	return true
}

// The metrics match what clients and endpoints observed: the responses by outcome, the attempts
// that were written completely, and no request in flight at the end.
func TestMetricsMatchWhatPeersObserved(t *testing.T) {
	e := newEndpoint(t, followQuery)
	s := startSidecar(t, e.Addr)
	observed := map[string]int{} // by metric
	outcomes := map[int]string{
		http.StatusOK:                 "success",
		http.StatusServiceUnavailable: "overload",
		http.StatusBadGateway:         "error",
	}
	for i, do := range []string{"serve", "fail", "reject", "break", "serve", "serve", "reject", "fail"} {
		for _, class := range []string{"look", "pay"} {
			r := s.newRequest(t, methodOf(class), "/"+class+"?do="+do, fmt.Sprint(class, i), 500)
			status := sendRequest(t, r).status
			observed[fmt.Sprintf("sidecar_%s{type=%q}", outcomes[status], class)]++
		}
	}
	stream := s.newRequest(t, http.MethodGet, "/look?do=stream", "long", 60000)
	streamed := sendKeepingConn(t, stream)
	streamed.conn.Close()
	if streamed.resp.StatusCode == http.StatusOK {
		observed[`sidecar_success{type="look"}`]++
	}
	disconnecting := s.dial(t)
	s.newRequest(t, http.MethodPost, "/book?do=hang", "disconnects", 60000).Write(disconnecting)
	waitUntil(t, "the request is in flight", func() bool { return s.metric(t, "sidecar_concurrent") == 1 })
	disconnecting.Close() // counts as an error: its client gets no response
	observed[`sidecar_error{type="book"}`]++
	s.get(t, "/look?do=serve", "look0", 500) // a duplicate of a request that was answered
	sendRequest(t, s.newRequest(t, http.MethodDelete, "/look?do=serve", "no", 500))
	s.get(t, "/nothing?do=serve", "none", 500) // not a class of the settings
	for _, outcome := range outcomes {
		for _, class := range []string{"look", "book", "pay"} {
			name := fmt.Sprintf("sidecar_%s{type=%q}", outcome, class)
			// The client may read a response before it is counted.
			waitUntil(t, name, func() bool { return s.metric(t, name) == observed[name] })
		}
	}
	for name, want := range map[string]int{
		"sidecar_concurrent": 0,
		"sidecar_dispatches": int(e.Requests.Load()),
		"sidecar_targets":    1,
	} {
		if got := s.metric(t, name); got != want {
			t.Errorf("%s is %d, want %d", name, got, want)
		}
	}
}

// The admin interface responds even if all client connections are in use and many connections to
// the admin interface itself send no complete command.
func TestAdminRespondsUnderLoad(t *testing.T) {
	received, release := make(chan bool, 200), make(chan bool)
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		received <- true
		<-release
		io.WriteString(conn, okResponse)
		return true
	})
	s := startSidecarWithLimits(t, platform.ConfigLimits{Sockets: 128}, e.Addr)
	var clients sync.WaitGroup
	for i := range 40 {
		clients.Go(func() { s.get(t, "/look", fmt.Sprint("r", i), 60000) })
	}
	<-received
	for range 50 {
		conn, err := net.Dial("tcp", s.admin.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "disable-ser")
	}
	waitUntil(t, "the requests are counted", func() bool { return s.metric(t, "sidecar_concurrent") > 5 })
	s.requireSuccess(t, "disable-server a")
	close(release)
	clients.Wait()
}

func TestReadyRequiresListAndAccepting(t *testing.T) {
	r := newReadiness()
	o := &operations{readiness: r}
	if err := o.Ready(); !errors.Is(err, errNoList) {
		t.Errorf("before the first endpoint list: %v, want errNoList", err)
	}
	r.markListReceived()
	r.markListReceived()
	if err := o.Ready(); !errors.Is(err, errNotAccepting) {
		t.Errorf("before connections are accepted: %v, want errNotAccepting", err)
	}
	r.accepting.Store(true)
	if err := o.Ready(); err != nil {
		t.Error(err)
	}
	silent := newReadiness()
	silent.listDeadline = time.Now()
	silent.accepting.Store(true)
	if err := (&operations{readiness: silent}).Ready(); err != nil {
		t.Errorf("after the deadline for the first endpoint list: %v, want ready", err)
	}
}

// hookHandler is a log handler that calls onMessage with each message.
type hookHandler struct {
	slog.Handler
	onMessage func(message string)
}

// Handle implements slog.Handler.
func (h hookHandler) Handle(_ context.Context, r slog.Record) error {
	h.onMessage(r.Message)
	return nil
}

// Enabled implements slog.Handler.
func (h hookHandler) Enabled(context.Context, slog.Level) bool { return true }

// Once a process is ready, the platform sends SIGTERM to its predecessor, which must know by then
// that it has a successor. So the predecessor must be notified before the process is ready. In this
// test the notification fails, and the process must not be ready yet when the failure is logged.
func TestPredecessorIsNotifiedBeforeReady(t *testing.T) {
	c := testOptions{settings: &platform.SettingsObject{}, sharedDir: t.TempDir()}.config(t, "127.0.0.1:9")
	readyAtNotification := make(chan error, 1)
	var s *Sidecar
	s, err := Start(c, slog.New(hookHandler{slog.DiscardHandler, func(message string) {
		if message == "predecessor not notified" {
			readyAtNotification <- s.readiness.check()
		}
	}}))
	if err != nil {
		t.Fatal(err)
	}
	s.readiness.markListReceived()
	s.handover.registration.presence.Unregister() // removes its file, so that the predecessor can't be notified
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- s.Serve(ctx) }()
	if err := <-readyAtNotification; !errors.Is(err, errNotAccepting) {
		t.Errorf("readiness at the time of the notification: %v, want errNotAccepting", err)
	}
	waitUntil(t, "the process is ready", func() bool { return s.readiness.check() == nil })
	end()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestStartFailsWhenAdminAddressIsUnusable(t *testing.T) {
	inUse, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inUse.Close()
	c, err := parseConfig([]byte(strings.Replace(goodConfig, "127.0.0.1:9100", inUse.Addr().String(), 1)), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Start(c, slog.New(slog.DiscardHandler)); !isFieldError(err, "console") {
		t.Errorf("error %v, want one for the field console", err)
	}
}

// A command that arrives before the first endpoint list waits for the list, since the list may
// contain the endpoint.
func TestDisableWaitsForTheFirstList(t *testing.T) {
	e := newEndpoint(t, respondWith(okResponse, true))
	s := testOptions{}.start(t) // with an empty endpoint list
	response := make(chan string, 1)
	go func() { response <- s.adminCommand(t, "disable-server a") }()
	time.Sleep(100 * time.Millisecond) // the command most likely arrives first; the test is valid either way
	s.updateEndpoints(t, completeList(2, listed("a", e.Addr, platform.StateReady)))
	s.readiness.markListReceived()
	if got := <-response; !strings.HasPrefix(got, "SUCCESS") {
		t.Errorf("response %q, want SUCCESS", got)
	}
}
