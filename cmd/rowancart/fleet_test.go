//go:build fleet

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"rowancart/internal/faultproxy"
	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// instanceConfig has the paths of the socket and the snapshot, the number of instances, the index,
// and the endpoints.
const instanceConfig = `listener "front" {
  address = "unix:%s"
}
state {
  path = %q
  every = "1s"
}
fleet {
  instances = %d
  index = %d
}
class "pay" {
  effect = "unsafe"
  policy = "p"
}
policy "p" {
  request_timeout = "3s"
  attempt_timeout = "1s"
}
pool "one" {
  roster "static" {
%s  }
}
route "all" {
  path = "/*"
  class = "pay"
  pool = "one"
}
`

// instance is one daemon of a fleet, at a unix socket of its own, with a snapshot of its own.
type instance struct {
	config    string // paths of its files
	socket    string
	snapshot  string
	cmd       *exec.Cmd
	log       *logFollower
	startedAt time.Time
}

func (in *instance) start(t *testing.T, program string) {
	t.Helper()
	in.cmd = exec.Command(program, "serve", in.config)
	in.startedAt = time.Now()
	in.log = startProgram(t, in.cmd)
}

// fleet is a number of instances that reach their endpoints through fault proxies.
type fleet struct {
	program   string
	instances []*instance
	proxies   []*faultproxy.Relay // by endpoint
}

// startFleet starts n instances.
func startFleet(t *testing.T, n int, endpoints ...string) *fleet {
	t.Helper()
	dir := t.TempDir()
	f := &fleet{program: linkProgram(t, dir)}
	list := ""
	for i, e := range endpoints {
		proxy, err := faultproxy.Listen(e, faultproxy.Options{Seed: uint64(i + 1), Conns: 512})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { proxy.Close() })
		f.proxies = append(f.proxies, proxy)
		list += fmt.Sprintf("    endpoint %q {\n      address = %q\n    }\n", fmt.Sprint("e", i), proxy.Addr())
	}
	t.Cleanup(func() {
		for _, in := range f.instances {
			_ = in.cmd.Process.Kill()
			_ = in.cmd.Wait()
		}
	})
	for i := range n {
		path := filepath.Join(dir, fmt.Sprint("i", i))
		in := &instance{config: path + ".hcl", socket: path + ".sock", snapshot: path + ".state"}
		writeFile(t, in.config, fmt.Sprintf(instanceConfig, in.socket, in.snapshot, n, i, list))
		in.start(t, f.program)
		f.instances = append(f.instances, in)
	}
	for _, in := range f.instances {
		in.log.wait(t, 1, "listening()")
	}
	return f
}

// outcomes counts the results of requests, and the runs of each request by endpoints.
type outcomes struct {
	mu       sync.Mutex
	runs     map[string]int // by request id
	served   atomic.Int64   // 200 with the request's own body
	failed   atomic.Int64   // an error status
	unsent   atomic.Int64   // no instance accepted the connection
	aborted  atomic.Int64   // an instance accepted the connection and was killed
	mismatch atomic.Int64   // anything else
}

// handle is an endpoint's handler that responds to a request with its id.
func (o *outcomes) handle(nc net.Conn, r *http.Request, _ int) bool {
	id := r.Header.Get(platform.RequestIDHeader)
	o.mu.Lock()
	o.runs[id]++
	o.mu.Unlock()
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	return true
}

// send sends one request to an instance and counts its outcome. It reports whether the request was
// served.
func (o *outcomes) send(in *instance, id string) bool {
	var connected atomic.Bool
	dial := func(context.Context, string, string) (net.Conn, error) {
		nc, err := net.Dial("unix", in.socket)
		connected.Store(err == nil)
		return nc, err
	}
	client := &http.Client{
		Timeout:   testpeer.WaitTimeout,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial},
	}
	r, _ := http.NewRequest(http.MethodPost, "http://front/x", http.NoBody)
	r.Header.Set(platform.RequestIDHeader, id)
	resp, err := client.Do(r)
	switch {
	case err != nil && !connected.Load():
		o.unsent.Add(1)
		return false
	case err != nil:
		o.aborted.Add(1)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	switch {
	case err == nil && resp.StatusCode == http.StatusOK && string(body) == id:
		o.served.Add(1)
		return true
	case err == nil && resp.StatusCode >= 500 && string(body) != id:
		o.failed.Add(1)
	default:
		o.mismatch.Add(1)
	}
	return false
}

// waitServed waits until count more requests have been served.
func (o *outcomes) waitServed(t *testing.T, what string, count int64) {
	t.Helper()
	before := o.served.Load()
	testpeer.WaitUntil(t, what, func() bool { return o.served.Load() >= before+count })
}

// restartAll kills all instances at once, calls corrupt for each if it is not nil, and restarts
// them all. Corrupt reports whether the instance has no valid snapshot any more. RestartAll returns
// how long after the kill each instance served again.
func (f *fleet) restartAll(t *testing.T, o *outcomes, corrupt func(i int, in *instance) bool) []time.Duration {
	t.Helper()
	for _, in := range f.instances {
		in.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, in := range f.instances {
		in.cmd.Wait()
	}
	killedAt := time.Now()
	lost := make([]bool, len(f.instances))
	for i, in := range f.instances {
		lost[i] = corrupt != nil && corrupt(i, in)
	}
	for _, in := range f.instances {
		in.start(t, f.program)
	}
	var recovery []time.Duration
	for i, in := range f.instances {
		in.log.wait(t, 1, "listening()")
		testpeer.WaitUntil(t, "a first response of "+in.socket, func() bool {
			return o.send(in, fmt.Sprint("first-", in.socket, "-", time.Now().UnixNano()))
		})
		recovery = append(recovery, time.Since(killedAt))
		in.checkRestored(t, i, !lost[i])
	}
	return recovery
}

// checkRestored checks that the log says exactly once whether the instance has restored its
// snapshot.
func (in *instance) checkRestored(t *testing.T, i int, restored bool) {
	t.Helper()
	message := `msg="snapshot restored"()`
	if !restored {
		message = `msg="snapshot not restored"()`
	}
	in.log.wait(t, 1, message)
	n := 0
	for _, line := range in.log.all() {
		if strings.Contains(line, `msg="snapshot restored"`) || strings.Contains(line, `msg="snapshot not restored"`) {
			n++
			t.Logf("instance %d: %s", i, line[strings.Index(line, "msg="):])
		}
	}
	if n != 1 {
		t.Errorf("instance %d logged %d times whether it restored its snapshot", i, n)
	}
}

// corruptSnapshot makes the snapshots of six instances of eight invalid, in six ways. It reports
// whether it did.
func corruptSnapshot(i int, in *instance) bool {
	text, err := os.ReadFile(in.snapshot)
	if err != nil {
		return false
	}
	first, rest, _ := bytes.Cut(text, []byte("\n"))
	var head map[string]any
	if json.Unmarshal(first, &head) != nil {
		return false
	}
	switch i {
	case 0:
		os.Remove(in.snapshot)
		return true
	case 1:
		os.WriteFile(in.snapshot, text[:len(text)/2], 0o600)
		return true
	case 2:
		head["version"] = 99
	case 3: // a clock an hour ahead wrote it
		head["written_ms"] = time.Now().Add(time.Hour).UnixMilli()
	case 4:
		os.WriteFile(in.snapshot, []byte("not a snapshot\n"), 0o600)
		return true
	case 5: // another instance's, and incomplete
		rest = bytes.Replace(rest, []byte(`/index-5"`), []byte(`/index-7"`), 1)
		head["bytes"] = len(rest) - 1
		head["xxhash64"] = strconv.FormatUint(xxhash.Sum64(rest[:len(rest)-1]), 16)
	default:
		return false
	}
	first, _ = json.Marshal(head)
	os.WriteFile(in.snapshot, append(append(first, '\n'), rest...), 0o600)
	return true
}

// startFleetLoad starts a client of each instance. The function that it returns stops them and
// returns how many requests they have sent.
func startFleetLoad(f *fleet, o *outcomes) (stop func() int64) {
	const maxRequests = 100000 // of each client; the test stops them before
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	var sent atomic.Int64
	for i, in := range f.instances {
		clients.Go(func() {
			for k := 0; k < maxRequests; k++ {
				select {
				case <-stopped:
					return
				default:
				}
				sent.Add(1)
				o.send(in, fmt.Sprintf("%d-%d", i, k))
			}
		})
	}
	return func() int64 {
		close(stopped)
		clients.Wait()
		return sent.Load()
	}
}

// Eight instances send to three endpoints: one endpoint is partitioned and healed, then all eight
// instances are killed at once and restarted from their snapshots. No request runs twice, no
// response has the body of a different request, and all eight instances serve again within the
// bound.
func TestFleetRecoversFromPartitionAndMassKill(t *testing.T) {
	const instances, maxRecovery = 8, 10 * time.Second
	o := &outcomes{runs: map[string]int{}}
	var endpoints []string
	for range 3 {
		endpoints = append(endpoints, testpeer.StartEndpoint(t, o.handle).Addr)
	}
	f := startFleet(t, instances, endpoints...)
	stop := startFleetLoad(f, o)

	o.waitServed(t, "responses before the partition", 200)
	f.proxies[0].Set(faultproxy.Fault{Partition: true})
	o.waitServed(t, "responses during the partition", 200)
	// An attempt that the partition delays ends at its timeout. It may have run, so the request fails.
	testpeer.WaitUntil(t, "an attempt that times out", func() bool { return o.failed.Load() > 0 })
	f.proxies[0].Heal()
	o.waitServed(t, "responses after the heal", 200)
	for _, in := range f.instances {
		testpeer.WaitUntil(t, "a snapshot of "+in.socket, func() bool {
			_, err := os.Stat(in.snapshot)
			return err == nil
		})
	}

	recovery := f.restartAll(t, o, nil)
	o.waitServed(t, "responses after the restart", 400)
	for _, in := range f.instances { // written by the restarted process
		testpeer.WaitUntil(t, "a new snapshot of "+in.socket, func() bool {
			info, err := os.Stat(in.snapshot)
			return err == nil && info.ModTime().After(in.startedAt)
		})
	}
	recovery = append(recovery, f.restartAll(t, o, corruptSnapshot)...)
	o.waitServed(t, "responses after the restart without snapshots", 400)
	sent := stop()

	slices.Sort(recovery)
	longest := recovery[len(recovery)-1]
	t.Logf("sent %d: %d served, %d failed, %d not accepted, %d aborted by the kill; "+
		"serving again after %v (median) and %v (longest)",
		sent, o.served.Load(), o.failed.Load(), o.unsent.Load(), o.aborted.Load(), recovery[len(recovery)/2], longest)
	if longest > maxRecovery {
		t.Errorf("the last instance served again %v after the kill, more than %v", longest, maxRecovery)
	}
	o.check(t)
}

// check checks that no request ran twice, and that no response had the body of a different request.
func (o *outcomes) check(t *testing.T) {
	t.Helper()
	if w := o.mismatch.Load(); w > 0 {
		t.Errorf("%d responses were not the request's own", w)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, runs := range o.runs {
		if runs > 1 {
			t.Errorf("request %s ran %d times", id, runs)
		}
	}
}
