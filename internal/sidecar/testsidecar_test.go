package sidecar

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rowancart/internal/discovery/watch"
	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// Short names for the helpers that the tests of this package use most.
const (
	testTimeout = testpeer.WaitTimeout
	okResponse  = testpeer.OKResponse
)

var (
	newEndpoint  = testpeer.StartEndpoint
	respondWith  = testpeer.RespondWith
	waitUntil    = testpeer.WaitUntil
	completeList = testpeer.CompleteList
	changes      = testpeer.Changes
	listed       = testpeer.ListedEndpoint
)

// testSettings returns settings with one class of each kind: look is idempotent, book is keyed, and
// pay is non-idempotent.
func testSettings() *platform.SettingsObject {
	const objectiveUs = 2_000_000
	return &platform.SettingsObject{
		Classes: []platform.ClassSettings{
			{Name: "look", Idempotency: platform.Idempotent, LatencyObjectiveUs: objectiveUs},
			{
				Name:               "book",
				Idempotency:        platform.IdempotencyKeyed,
				KeyScope:           platform.KeyScopeCell,
				KeyWindowUs:        10_000_000,
				LatencyObjectiveUs: objectiveUs,
			},
			{Name: "pay", Idempotency: platform.NonIdempotent, LatencyObjectiveUs: objectiveUs},
		},
		Permissions: platform.Permissions{
			CancelAllowed:     true,
			MaxAttempts:       4,
			RetryAfterAllowed: true,
			MaxRetryAfterUs:   2_000_000,
			DialTimeoutUs:     5_000_000,
		},
	}
}

// longWaitSettings returns settings with which requests may wait for the duration of a test.
func longWaitSettings() *platform.SettingsObject {
	const objectiveUs = 60_000_000
	return &platform.SettingsObject{
		Classes: []platform.ClassSettings{
			{Name: "look", Idempotency: platform.Idempotent, LatencyObjectiveUs: objectiveUs},
			{Name: "pay", Idempotency: platform.NonIdempotent, LatencyObjectiveUs: objectiveUs},
		},
		Permissions: platform.Permissions{CancelAllowed: true, MaxAttempts: 4, DialTimeoutUs: 15_000_000},
		EndpointBehavior: platform.EndpointBehavior{
			SlowStartWindowUs: 60_000_000,
			SlowStartCapacity: 0.1,
			SlowStartShare:    0.000001,
		},
	}
}

// noCancelSettings returns longWaitSettings, except that attempts must not be canceled.
func noCancelSettings() *platform.SettingsObject {
	settings := longWaitSettings()
	settings.Permissions.CancelAllowed = false
	return settings
}

// initialCapacity is how many requests in flight a sidecar with longWaitSettings allows an endpoint
// of which it has learned nothing yet.
const initialCapacity = 6

// testSidecar is a complete sidecar that listens on loopback addresses.
type testSidecar struct {
	*Sidecar
	addr        string
	terminate   context.CancelFunc // has the effect of SIGTERM
	serveResult chan error
}

// startSidecar starts a sidecar with endpoints at the given addresses, whose ids are a, b, ... Its
// fake discovery sends nothing.
func startSidecar(t *testing.T, addrs ...string) *testSidecar {
	t.Helper()
	return startSidecarWithLimits(t, platform.ConfigLimits{}, addrs...)
}

// startSidecarWithLimits is like startSidecar, but also sets limits.
func startSidecarWithLimits(t *testing.T, limits platform.ConfigLimits, addrs ...string) *testSidecar {
	t.Helper()
	var endpoints []platform.Endpoint
	for i, addr := range addrs {
		endpoints = append(endpoints, listed(string(rune('a'+i)), addr, platform.StateReady))
	}
	return testOptions{limits: limits, endpoints: endpoints}.start(t)
}

// startLongWaitSidecar starts a sidecar with longWaitSettings.
func startLongWaitSidecar(t *testing.T, endpoints ...*blockingEndpoint) *testSidecar {
	t.Helper()
	return testOptions{settings: longWaitSettings(), endpoints: listedAll(endpoints...)}.start(t)
}

// testOptions are the parts of a configuration that differ between tests. All are optional.
type testOptions struct {
	limits    platform.ConfigLimits
	settings  *platform.SettingsObject // nil: testSettings
	endpoints []platform.Endpoint
	sharedDir string        // empty: none
	killDelay time.Duration // from SIGTERM to the earliest SIGKILL; 0: testTimeout
}

// config returns the configuration of a sidecar that uses the discovery service at an address.
func (o testOptions) config(t *testing.T, discovery string) Config {
	t.Helper()
	text, err := json.Marshal(platform.ConfigFile{
		Listen:         "127.0.0.1:0",
		Discovery:      discovery,
		AdminAddr:      "127.0.0.1:0",
		Seed:           "7",
		Limits:         o.limits,
		KnownEndpoints: platform.CompleteList(1, o.endpoints...),
		Settings:       *cmp.Or(o.settings, testSettings()),
	})
	if err != nil {
		t.Fatal(err)
	}
	c, err := parseConfig(text, getenvFrom(map[string]string{platform.EnvSharedDir: o.sharedDir}))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// start starts a sidecar, which is shut down when the test ends.
func (o testOptions) start(t *testing.T) *testSidecar {
	t.Helper()
	discovery := httptest.NewServer(&testpeer.ScriptedDiscovery{Calls: make(chan string, 100)}) // sends nothing
	s, err := Start(o.config(t, discovery.Listener.Addr().String()), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s.killDelay = cmp.Or(o.killDelay, testTimeout)
	ctx, terminate := context.WithCancel(context.Background())
	r := &testSidecar{
		Sidecar:     s,
		addr:        s.Addr().String(),
		terminate:   terminate,
		serveResult: make(chan error, 1),
	}
	go func() {
		r.serveResult <- s.Serve(ctx)
		close(r.serveResult)
	}()
	t.Cleanup(func() {
		terminate()
		<-r.serveResult
		discovery.Close()
	})
	return r
}

// getenvFrom returns a getenv that knows the variables given.
func getenvFrom(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

// waitForServeResult waits until Serve returns, and returns its error.
func (s *testSidecar) waitForServeResult(t *testing.T) error {
	t.Helper()
	select {
	case err := <-s.serveResult:
		return err
	case <-time.After(testTimeout):
		t.Error("Serve did not return")
		return nil
	}
}

// updateEndpoints applies an endpoint list. The list is in effect once updateEndpoints returns.
func (s *testSidecar) updateEndpoints(t *testing.T, text string) {
	t.Helper()
	list, err := platform.ParseEndpointList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s.pool.UpdateEndpoints(watch.ProxyEndpointList(list))
}

// waitForInFlight waits until the balancer has exactly the given number of requests in flight. The
// metric sidecar_concurrent includes a request earlier, as soon as it has been read.
func (s *testSidecar) waitForInFlight(t *testing.T, want int) {
	t.Helper()
	waitUntil(t, fmt.Sprint(want, " requests are in flight"), func() bool { return s.pool.Stats().Calls == want })
}

// waitForDraining waits until the server is draining: responses then close their connections.
func (s *testSidecar) waitForDraining(t *testing.T) {
	t.Helper()
	waitUntil(t, "the server is draining", s.server.Draining)
}

// dial opens a connection to the sidecar. It is closed when the test ends.
func (s *testSidecar) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// newRequest returns a request with the headers that clients send. The deadline is in milliseconds.
func (s *testSidecar) newRequest(t *testing.T, method, path, id string, deadlineMs int) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+s.addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(platform.RequestIDHeader, id)
	r.Header.Set(platform.DeadlineHeader, fmt.Sprint(deadlineMs))
	if strings.HasPrefix(path, "/book") {
		r.Header.Set(platform.IdempotencyKeyHeader, "key-"+id)
	}
	return r
}

// get sends a GET request on a new connection and returns the status of the response.
func (s *testSidecar) get(t *testing.T, path, id string, deadlineMs int) (status int) {
	t.Helper()
	return sendRequest(t, s.newRequest(t, http.MethodGet, path, id, deadlineMs)).status
}

// testResponse is a response that a test has read completely.
type testResponse struct {
	status int
	header http.Header
	body   string
}

// sendRequest sends a request on a new connection and reads the complete response.
func sendRequest(t *testing.T, r *http.Request) testResponse {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		t.Error(err)
		return testResponse{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return testResponse{status: resp.StatusCode, header: resp.Header, body: string(text)}
}

// openExchange is a response and the open connection on which it was received.
type openExchange struct {
	conn net.Conn
	in   *bufio.Reader  // reads from conn
	resp *http.Response // its body has been read
}

// sendKeepingConn sends a request on a new connection, reads the response and leaves the connection
// open until the test ends.
func sendKeepingConn(t *testing.T, r *http.Request) openExchange {
	t.Helper()
	conn, err := net.Dial("tcp", r.URL.Host)
	if err != nil {
		t.Error(err)
		return openExchange{resp: &http.Response{}}
	}
	t.Cleanup(func() { conn.Close() })
	x := openExchange{conn: conn, in: bufio.NewReader(conn), resp: &http.Response{}}
	if err := r.Write(conn); err != nil {
		t.Error(err)
		return x
	}
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(x.in, r)
	if err != nil {
		t.Error(err)
		return x
	}
	io.Copy(io.Discard, resp.Body)
	x.resp = resp
	return x
}

// adminCommand sends a command to the admin interface and returns the complete response.
func (s *testSidecar) adminCommand(t *testing.T, line string) string {
	t.Helper()
	conn, err := net.Dial("tcp", s.admin.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, line+"\n")
	text, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// requireSuccess sends a command that must succeed.
func (s *testSidecar) requireSuccess(t *testing.T, line string) {
	t.Helper()
	s.requireResult(t, line, "SUCCESS ")
}

// requireFailure sends a command that must fail.
func (s *testSidecar) requireFailure(t *testing.T, line string) {
	t.Helper()
	s.requireResult(t, line, "FAILURE ")
}

func (s *testSidecar) requireResult(t *testing.T, line, prefix string) {
	t.Helper()
	response := s.adminCommand(t, line)
	if !strings.HasPrefix(response, prefix) || strings.Count(response, "\n") != 1 {
		t.Errorf("%s: %q, want one line that begins with %s", line, response, prefix)
	}
}

// metric returns the value of one metric.
func (s *testSidecar) metric(t *testing.T, name string) int {
	t.Helper()
	text := s.adminCommand(t, "show-stat")
	if !strings.HasSuffix(text, "\nEOT\n") {
		t.Fatalf("the metrics do not end with EOT: %q", text)
	}
	return testpeer.MetricValue(t, text, name)
}
