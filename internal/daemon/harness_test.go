package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"rowancart/internal/testpeer"
)

// testDaemon is a running daemon with its configuration file and its log.
type testDaemon struct {
	*Daemon
	t          *testing.T
	configPath string
	stop       context.CancelFunc
	runErr     chan error // receives the error of Run, and is then closed
	log        *testpeer.LogBuffer
}

// configHead is the beginning of most configurations of test daemons, and limitsBlock is a part of
// it.
const (
	limitsBlock = `limits {
  stop_within = "1s"
}
`
	configHead = `listener "front" {
  address = "127.0.0.1:0"
}
admin {
  listen = "127.0.0.1:0"
}
` + limitsBlock + `class "read" {
  effect = "safe"
}
class "write" {
  effect = "unsafe"
}
`
)

// startDaemon runs a daemon until the test ends. Its configuration is configHead followed by
// blocks.
func startDaemon(t *testing.T, blocks string) *testDaemon {
	t.Helper()
	return startDaemonWithConfig(t, configHead+blocks)
}

// startDaemonWithConfig runs a daemon with a complete configuration until the test ends.
func startDaemonWithConfig(t *testing.T, config string) *testDaemon {
	t.Helper()
	s := &testDaemon{
		t:          t,
		configPath: filepath.Join(t.TempDir(), "rowancart.hcl"),
		runErr:     make(chan error, 1),
		log:        &testpeer.LogBuffer{},
	}
	s.writeFile(config)
	var err error
	s.Daemon, err = New(Options{
		ConfigPath: s.configPath,
		LookupEnv:  os.LookupEnv,
		Log:        slog.New(slog.NewTextHandler(s.log, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() {
		defer close(s.runErr)
		s.runErr <- s.Run(ctx, nil)
	}()
	t.Cleanup(func() {
		stop()
		<-s.runErr
	})
	return s
}

// writeConfig replaces what follows configHead in the configuration file.
func (s *testDaemon) writeConfig(blocks string) {
	s.t.Helper()
	s.writeFile(configHead + blocks)
}

func (s *testDaemon) writeFile(config string) {
	s.t.Helper()
	if err := os.WriteFile(s.configPath, []byte(config), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// reload replaces what follows configHead in the configuration file, and reloads the file.
func (s *testDaemon) reload(blocks string) {
	s.t.Helper()
	s.writeConfig(blocks)
	if err := s.Reload(); err != nil {
		s.t.Error(err)
	}
}

// stopAndWait stops the daemon and waits until Run has returned.
func (s *testDaemon) stopAndWait() {
	s.stop()
	if err := <-s.runErr; err != nil {
		s.t.Error(err)
	}
}

// poolBlock returns the block of a pool with static endpoints, whose ids are a, b, and so on.
func poolBlock(name string, addrs ...string) string {
	text := fmt.Sprintf("pool %q {\n  roster \"static\" {\n", name)
	for i, addr := range addrs {
		text += fmt.Sprintf("    endpoint %q {\n      address = %q\n    }\n", string(rune('a'+i)), addr)
	}
	return text + "  }\n}\n"
}

// filePoolBlock returns the block of a pool whose endpoints are listed in a file.
func filePoolBlock(name, path string) string {
	return fmt.Sprintf("pool %q {\n  roster \"file\" {\n    path = %q\n  }\n}\n", name, path)
}

// routeBlock returns the block of a route; more contains further attributes and blocks.
func routeBlock(name, path, class, pool, more string) string {
	return fmt.Sprintf("route %q {\n  path = %q\n  class = %q\n  pool = %q\n%s\n}\n", name, path, class, pool, more)
}

// stateBlock returns the block that sets the path of the snapshot file.
func stateBlock(path string) string { return fmt.Sprintf("state {\n path = %q\n}\n", path) }

// response is a response that was read to its end.
type response struct {
	status int
	body   string
	header http.Header
}

// request sends a request on a new connection and returns the response. The header contains
// alternating names and values.
func (s *testDaemon) request(method, path string, header ...string) response {
	s.t.Helper()
	r, err := http.NewRequest(method, "http://"+s.Addr("front").String()+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return s.do(r)
}

// requestAdmin sends a request to the admin interface and returns the response.
func (s *testDaemon) requestAdmin(method, path string) response {
	s.t.Helper()
	r, err := http.NewRequest(method, "http://"+s.AdminAddr().String()+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return s.do(r)
}

func (s *testDaemon) do(r *http.Request) response {
	s.t.Helper()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		s.t.Error(err)
		return response{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Error(err)
	}
	return response{resp.StatusCode, string(body), resp.Header}
}

// hasBody returns a function that reports whether the response to a GET request has the body want.
func (s *testDaemon) hasBody(path, want string) func() bool {
	return func() bool { return s.request(http.MethodGet, path).body == want }
}

// respondWith returns a handler for an endpoint that sends the same response to each request.
func respondWith(status, header, body string) func(net.Conn, *http.Request, int) bool {
	text := fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return testpeer.RespondWith(text, testpeer.KeepConn)
}

// gatedEndpoint is an endpoint that holds each request until the test releases it.
type gatedEndpoint struct {
	*testpeer.FakeEndpoint
	arrived chan bool // receives a value for each request
	release chan bool // a value releases one request; closing the channel releases all
}

// newGatedEndpoint starts an endpoint that sends the response text for each released request.
func newGatedEndpoint(t *testing.T, text string) *gatedEndpoint {
	e := &gatedEndpoint{arrived: make(chan bool, 100), release: make(chan bool)}
	e.FakeEndpoint = testpeer.StartEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		e.arrived <- true
		<-e.release
		io.WriteString(nc, text)
		return true
	})
	return e
}
