package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// testPlatform starts processes of one sidecar as the platform does: they inherit the listening
// socket that it holds open, and share one directory.
type testPlatform struct {
	program   string // path of the built program
	sharedDir string
	discovery string                // address of the fake discovery
	known     platform.EndpointList // in the configuration
	listener  *os.File
	addr      string // address of listener
}

// newTestPlatform builds the program and starts a fake discovery that lists endpoints at the given
// addresses, whose ids are a, b, ...
func newTestPlatform(t *testing.T, endpoints ...string) *testPlatform {
	t.Helper()
	p := &testPlatform{program: filepath.Join(t.TempDir(), "sidecar"), sharedDir: t.TempDir()}
	if out, err := exec.Command("go", "build", "-o", p.program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	p.discovery = startListingDiscovery(t, endpoints)

	shared, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer shared.Close()
	p.addr = shared.Addr().String()
	if p.listener, err = shared.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.listener.Close() })
	return p
}

// startListingDiscovery starts a fake discovery that lists endpoints at the given addresses and
// never sends a change. It returns the address of the discovery.
func startListingDiscovery(t *testing.T, endpoints []string) string {
	t.Helper()
	discovery, err := testpeer.StartDiscovery(testpeer.DiscoveryOptions{EmptyLineFirst: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	for i, addr := range endpoints {
		discovery.Publish(testpeer.ListedEndpoint(string(rune('a'+i)), addr, platform.StateReady))
	}
	return discovery.Addr()
}

// sidecarProcess is a running process of the sidecar.
type sidecarProcess struct {
	*exec.Cmd
	adminAddr string
	log       testpeer.LogBuffer
	exited    chan error
}

// config returns the configuration of the sidecar.
func (p *testPlatform) config() platform.ConfigFile {
	const latencyObjective = 2 * time.Second
	return platform.ConfigFile{
		Name:      "t",
		Listen:    p.addr,
		Discovery: p.discovery,
		Seed:      "1",
		Limits:    platform.ConfigLimits{Cores: 1, MemoryMB: 64, Sockets: 256},

		KnownEndpoints: p.known,

		Settings: platform.SettingsObject{
			Classes: []platform.ClassSettings{
				{Name: "look", Idempotency: platform.Idempotent,
					LatencyObjectiveUs: latencyObjective.Microseconds()},
				{Name: "pay", Idempotency: platform.NonIdempotent,
					LatencyObjectiveUs: latencyObjective.Microseconds()},
			},
			Permissions: platform.Permissions{CancelAllowed: true, MaxAttempts: 4},
		},
	}
}

// start starts a process and waits until its admin interface listens. The process may not be ready
// yet.
func (p *testPlatform) start(t *testing.T) *sidecarProcess {
	t.Helper()
	config := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, config, p.config())
	s := &sidecarProcess{Cmd: exec.Command(p.program), exited: make(chan error, 1)}
	s.Env = []string{
		platform.EnvConfig + "=" + config,
		platform.EnvAdminAddr + "=127.0.0.1:0",
		platform.EnvAcceptFD + "=3",
		platform.EnvSharedDir + "=" + p.sharedDir,
	}
	s.ExtraFiles = []*os.File{p.listener}
	stderr, err := s.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	adminAddr := make(chan string, 1)
	go s.readLog(stderr, adminAddr)
	t.Cleanup(func() {
		s.Process.Kill()
		<-s.exited
	})
	select {
	case s.adminAddr = <-adminAddr:
	case <-time.After(testTimeout):
		t.Fatal("the admin interface did not start")
	}
	return s
}

// readLog records the log until the process exits, and sends the address of the admin interface to
// adminAddr.
func (s *sidecarProcess) readLog(stderr io.Reader, adminAddr chan<- string) {
	for lines := bufio.NewScanner(stderr); lines.Scan(); {
		fmt.Fprintln(&s.log, lines.Text())
		if _, addr, ok := strings.Cut(lines.Text(), `msg="admin interface listening" name=t addr=`); ok {
			adminAddr <- addr
		}
	}
	s.exited <- s.Wait()
}

// startReady starts a process and waits until it is ready.
func (p *testPlatform) startReady(t *testing.T) *sidecarProcess {
	t.Helper()
	s := p.start(t)
	s.waitUntilReady(t)
	return s
}

// adminCommand sends a command to the admin interface and returns the response.
func (s *sidecarProcess) adminCommand(t *testing.T, line string) string {
	t.Helper()
	conn, err := net.Dial("tcp", s.adminAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, line+"\n")
	text, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// requireSuccess sends a command that must succeed.
func (s *sidecarProcess) requireSuccess(t *testing.T, line string) {
	t.Helper()
	if response := s.adminCommand(t, line); !strings.HasPrefix(response, "SUCCESS") {
		t.Fatal(response)
	}
}

func (s *sidecarProcess) waitUntilReady(t *testing.T) {
	t.Helper()
	testpeer.WaitUntil(t, "the process is ready", func() bool {
		return strings.HasPrefix(s.adminCommand(t, "ready"), "SUCCESS")
	})
}

// waitForMetric waits until the metric has the value.
func (s *sidecarProcess) waitForMetric(t *testing.T, name string, value int) {
	t.Helper()
	line := fmt.Sprintf("%s %d\n", name, value)
	testpeer.WaitUntil(t, line, func() bool { return strings.Contains(s.adminCommand(t, "show-stat"), line) })
}

// waitUntilSuperseded waits until the process has logged that a successor serves.
func (s *sidecarProcess) waitUntilSuperseded(t *testing.T) {
	t.Helper()
	testpeer.WaitUntil(t, "the process is superseded", func() bool {
		return strings.Contains(s.log.String(), "msg=superseded ")
	})
}

// kill ends the process with SIGKILL and waits until it has exited.
func (s *sidecarProcess) kill() {
	s.Process.Kill()
	<-s.exited
	s.exited <- nil
}

// waitForExit waits until a process exits after SIGTERM, and checks that it exits without an error.
func (s *sidecarProcess) waitForExit(t *testing.T) {
	t.Helper()
	select {
	case err := <-s.exited:
		s.exited <- err
		if err != nil {
			t.Errorf("exited with %v:\n%s", err, s.log.String())
		}
	case <-time.After(testTimeout):
		t.Error("the process did not exit")
	}
}

// testClients send requests until they are stopped. Each client has a keep-alive connection of its
// own, on which it sends one request after the other.
type testClients struct {
	platform *testPlatform
	stopOnce sync.Once
	stopped  chan struct{}
	running  sync.WaitGroup
	served   atomic.Int32 // number of requests served
}

// startClients starts n clients, which are stopped when the test ends at the latest.
func (p *testPlatform) startClients(t *testing.T, n int) *testClients {
	c := &testClients{platform: p, stopped: make(chan struct{})}
	for i := range n {
		c.running.Go(func() { c.run(t, fmt.Sprint("c", i)) })
	}
	t.Cleanup(c.stop)
	return c
}

// stop stops the clients and waits until they have ended.
func (c *testClients) stop() {
	c.stopOnce.Do(func() { close(c.stopped) })
	c.running.Wait()
}

// waitForMore waits until more than n further requests have been served.
func (c *testClients) waitForMore(t *testing.T, n int32) {
	t.Helper()
	before := c.served.Load()
	testpeer.WaitUntil(t, "more requests are served", func() bool { return c.served.Load() > before+n })
}

// run sends the requests of one client. If a reused connection is closed without a response, the
// request is retried on a new connection. Any other request without a response is lost, and the
// test fails.
func (c *testClients) run(t *testing.T, name string) {
	client := keepAliveClient{addr: c.platform.addr}
	defer client.close()
	for n := 0; ; n++ {
		select {
		case <-c.stopped:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d", name, n)
		resp, err := client.get(id)
		if err != nil {
			t.Errorf("%s: %v", id, err)
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d, %v", id, resp.StatusCode, err)
		}
		c.served.Add(1)
		if resp.Close {
			client.close()
		}
	}
}

// keepAliveClient sends its requests on one connection for as long as that stays open.
type keepAliveClient struct {
	addr string
	conn *testpeer.ClientConn // nil: no connection is open
}

// get sends a request and returns its response, whose body must be read before the next request.
func (c *keepAliveClient) get(id string) (*http.Response, error) {
	request := testpeer.Request{Method: http.MethodGet, Path: "/look", ID: id, Deadline: 10 * time.Second}
	for {
		isReused := c.conn != nil
		if !isReused {
			conn, err := testpeer.Dial(c.addr)
			if err != nil {
				return nil, err
			}
			c.conn = conn
		}
		c.conn.SetWriteDeadline(time.Now().Add(testTimeout))
		io.WriteString(c.conn, request.Text())
		resp, err := c.conn.ReadResponse(testTimeout) // a request that is not answered in time is lost, too
		if err == nil {
			return resp, nil
		}
		c.close()
		if !isReused || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
	}
}

// close closes the connection, if there is one.
func (c *keepAliveClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
