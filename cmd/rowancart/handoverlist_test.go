package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// listedConfig is the configuration of a daemon whose endpoints discovery lists. It has no
// snapshot. Its verbs stand for the path of the socket and the address of discovery.
const listedConfig = `listener "front" {
  address = "unix:%s"
}
class "read" {
  effect = "safe"
}
pool "one" {
  roster "platform" {
    address = %q
  }
}
route "all" {
  path = "/*"
  class = "read"
  pool = "one"
}
`

// listedDaemon is a daemon with endpoints a and b, which discovery lists.
type listedDaemon struct {
	process *os.Process // that serves now
	socket  string      // path
	log     *logFollower
	agent   *testpeer.FakeDiscovery
	a, b    *testpeer.FakeEndpoint
	held    chan bool // receives a value when an endpoint holds a request for "/held"
	release chan bool // closed to answer held requests
}

func startListedDaemon(t *testing.T) *listedDaemon {
	t.Helper()
	d := &listedDaemon{held: make(chan bool, 10), release: make(chan bool)}
	respond := func(nc net.Conn, r *http.Request, _ int) bool {
		if r.URL.Path == "/held" {
			d.held <- true
			<-d.release
		}
		_, err := io.WriteString(nc, testpeer.OKResponse)
		return err == nil
	}
	d.a, d.b = testpeer.StartEndpoint(t, respond), testpeer.StartEndpoint(t, respond)
	var err error
	if d.agent, err = testpeer.StartDiscovery(testpeer.DiscoveryOptions{EmptyLineFirst: true}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.agent.Close)
	d.agent.Publish(testpeer.ListedEndpoint("a", d.a.Addr, platform.StateReady))
	d.agent.Publish(testpeer.ListedEndpoint("b", d.b.Addr, platform.StateReady))
	dir := t.TempDir()
	d.socket = filepath.Join(dir, "front")
	config := filepath.Join(dir, "rowancart.hcl")
	writeFile(t, config, fmt.Sprintf(listedConfig, d.socket, d.agent.Addr()))
	cmd := exec.Command(linkProgram(t, dir), "serve", config)
	d.log = startProgram(t, cmd)
	d.process = cmd.Process
	t.Cleanup(func() {
		_ = d.process.Kill()
		if t.Failed() {
			t.Logf("%q", d.log.all())
		}
	})
	d.log.wait(t, 1, "listening()")
	testpeer.WaitUntil(t, "requests are served", func() bool { return d.get("/") == http.StatusOK })
	return d
}

// get sends a request on a new connection and returns the status of its response, or 0.
func (d *listedDaemon) get(path string) int {
	transport := unixTransport(d.socket)
	transport.DisableKeepAlives = true
	resp, err := (&http.Client{Timeout: testpeer.WaitTimeout, Transport: transport}).Get("http://h" + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// handOver makes a successor take over.
func (d *listedDaemon) handOver(t *testing.T, n int) {
	t.Helper()
	if err := d.process.Signal(syscall.SIGUSR2); err != nil {
		t.Fatal(err)
	}
	d.process = d.log.waitSuccessor(t, n)
}

// fallSilent makes discovery answer no further call, and say nothing on open watches.
func (d *listedDaemon) fallSilent() {
	d.agent.SilenceWatches()
	d.agent.SetDelay(testpeer.WaitTimeout)
}

// drainA tells that a is draining, and waits until the daemon sends it nothing.
func (d *listedDaemon) drainA(t *testing.T) {
	t.Helper()
	d.agent.Publish(testpeer.ListedEndpoint("a", d.a.Addr, platform.StateDraining))
	testpeer.WaitUntil(t, "the daemon sends a nothing", func() bool { return d.requestsOfA(t) == 0 })
}

// requestsOfA sends requests, all of which must be served, and returns how many a got.
func (d *listedDaemon) requestsOfA(t *testing.T) int32 {
	t.Helper()
	const requests = 10
	before := d.a.Requests.Load()
	for range requests {
		if status := d.get("/"); status != http.StatusOK {
			t.Fatalf("status %d, want 200", status)
		}
	}
	return d.a.Requests.Load() - before
}

// Guards against a successor that knows less of the endpoints than its predecessor while discovery
// is silent: without a snapshot it had no endpoints.
func TestHandoverKeepsTheEndpointList(t *testing.T) {
	t.Parallel()
	d := startListedDaemon(t)
	d.drainA(t)
	d.fallSilent()
	d.handOver(t, 1)
	d.handOver(t, 2)
	if n := d.requestsOfA(t); n > 0 {
		t.Errorf("after two hand-overs a draining endpoint got %d requests", n)
	}
}

// Guards against a successor that never hears what discovery tells its predecessor alone, which
// still has requests to answer.
func TestSuccessorHearsWhatItsPredecessorIsTold(t *testing.T) {
	t.Parallel()
	d := startListedDaemon(t)
	t.Cleanup(func() { close(d.release) })
	go d.get("/held")
	<-d.held
	d.agent.SetDelay(testpeer.WaitTimeout) // the predecessor's watch goes on
	d.handOver(t, 1)
	d.drainA(t)
}
