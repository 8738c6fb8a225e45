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

// instanceConfig is the configuration of one instance. Its verbs stand for the paths of the socket
// and the snapshot, the number of instances, the instance's index, and the endpoints.
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

// instance is one daemon of a fleet. It listens on its own unix socket and has its own snapshot.
type instance struct {
	config    string // path
	socket    string // path
	snapshot  string // path
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

// fleet is a set of instances that connect to their endpoints through fault proxies.
type fleet struct {
	program   string
	instances []*instance
	proxies   []*faultproxy.Relay // by endpoint
}

// startFleet starts n instances and waits until all of them listen.
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

// outcomes counts the results of requests, and how often the endpoints executed each request.
type outcomes struct {
	mu       sync.Mutex
	runs     map[string]int // executions by the endpoints, for each request id
	served   atomic.Int64   // status 200 with the body that belongs to the request
	failed   atomic.Int64   // status of 500 or above
	refused  atomic.Int64   // the instance did not accept the connection
	aborted  atomic.Int64   // the instance accepted the connection and was killed
	mismatch atomic.Int64   // any other result, such as the body of another request
}

// handle is the handler of an endpoint. It counts the request and responds with its id.
func (o *outcomes) handle(nc net.Conn, r *http.Request, _ int) bool {
	id := r.Header.Get(platform.RequestIDHeader)
	o.mu.Lock()
	o.runs[id]++
	o.mu.Unlock()
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	return true
}

// send sends one request to an instance and counts the result. It reports whether the request was
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
		o.refused.Add(1)
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

// restartAll kills all instances at once and restarts them. In between it calls corrupt, unless
// that is nil, for each instance; corrupt reports whether it has made the instance's snapshot
// invalid. restartAll returns the time from the kill until each instance served again.
func (f *fleet) restartAll(t *testing.T, o *outcomes, corrupt func(i int, in *instance) bool) []time.Duration {
	t.Helper()
	for _, in := range f.instances {
		in.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, in := range f.instances {
		in.cmd.Wait()
	}
	killedAt := time.Now()
	invalid := make([]bool, len(f.instances))
	for i, in := range f.instances {
		invalid[i] = corrupt != nil && corrupt(i, in)
	}
	for _, in := range f.instances {
		in.start(t, f.program)
	}
	var recoveryTimes []time.Duration
	for i, in := range f.instances {
		in.log.wait(t, 1, "listening()")
		testpeer.WaitUntil(t, "the first response from "+in.socket, func() bool {
			return o.send(in, fmt.Sprint("first-", in.socket, "-", time.Now().UnixNano()))
		})
		recoveryTimes = append(recoveryTimes, time.Since(killedAt))
		in.checkRestored(t, i, !invalid[i])
	}
	return recoveryTimes
}

// checkRestored checks that the log has exactly one line on whether the snapshot was restored, and
// that this line agrees with restored.
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
		t.Errorf("instance %d: %d log lines on whether the snapshot was restored, want 1", i, n)
	}
}

// corruptSnapshot makes the snapshot of instance i invalid if i is less than 6, in a different way
// for each i. It reports whether it made the snapshot invalid.
func corruptSnapshot(i int, in *instance) bool {
	text, err := os.ReadFile(in.snapshot)
	if err != nil {
		return false
	}
	first, rest, _ := bytes.Cut(text, []byte("\n"))
	var header map[string]any
	if json.Unmarshal(first, &header) != nil {
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
		header["version"] = 99
	case 3: // written by a clock that is an hour ahead
		header["written_ms"] = time.Now().Add(time.Hour).UnixMilli()
	case 4:
		os.WriteFile(in.snapshot, []byte("not a snapshot\n"), 0o600)
		return true
	case 5: // another instance's state; the size and checksum in the header omit its last byte
		rest = bytes.Replace(rest, []byte(`/index-5"`), []byte(`/index-7"`), 1)
		header["bytes"] = len(rest) - 1
		header["xxhash64"] = strconv.FormatUint(xxhash.Sum64(rest[:len(rest)-1]), 16)
	default:
		return false
	}
	first, _ = json.Marshal(header)
	os.WriteFile(in.snapshot, append(append(first, '\n'), rest...), 0o600)
	return true
}

// startFleetLoad starts one client for each instance. The returned function stops the clients
// and returns how many requests they have sent.
func startFleetLoad(f *fleet, o *outcomes) (stop func() int64) {
	const maxRequests = 100000 // sent by each client; the test stops the clients earlier
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

// Eight instances send to three endpoints. One endpoint is partitioned and the partition is healed.
// Then all instances are killed at once and restarted, twice: first with valid snapshots, then with
// six of the eight invalid. No request may be executed twice, no response may have the body of a
// different request, and all instances must serve again within maxRecoveryTime.
func TestFleetRecoversFromPartitionAndMassKill(t *testing.T) {
	const instances, maxRecoveryTime = 8, 10 * time.Second
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
	// An attempt that the partition delays fails at its timeout. The endpoint may have executed it,
	// so there is no retry and the request fails.
	testpeer.WaitUntil(t, "a request that fails after its attempt timed out", func() bool { return o.failed.Load() > 0 })
	f.proxies[0].Heal()
	o.waitServed(t, "responses after the partition is healed", 200)
	for _, in := range f.instances {
		testpeer.WaitUntil(t, "a snapshot of "+in.socket, func() bool {
			_, err := os.Stat(in.snapshot)
			return err == nil
		})
	}

	recoveryTimes := f.restartAll(t, o, nil)
	o.waitServed(t, "responses after the restart with valid snapshots", 400)
	for _, in := range f.instances { // written by the restarted process
		testpeer.WaitUntil(t, "a new snapshot of "+in.socket, func() bool {
			info, err := os.Stat(in.snapshot)
			return err == nil && info.ModTime().After(in.startedAt)
		})
	}
	recoveryTimes = append(recoveryTimes, f.restartAll(t, o, corruptSnapshot)...)
	o.waitServed(t, "responses after the restart with invalid snapshots", 400)
	sent := stop()

	slices.Sort(recoveryTimes)
	longest := recoveryTimes[len(recoveryTimes)-1]
	t.Logf("%d requests sent: %d served, %d failed, %d refused, %d aborted by a kill; "+
		"instances served again after %v (median) and %v (longest)",
		sent, o.served.Load(), o.failed.Load(), o.refused.Load(), o.aborted.Load(),
		recoveryTimes[len(recoveryTimes)/2], longest)
	if longest > maxRecoveryTime {
		t.Errorf("the slowest recovery took %v, want at most %v", longest, maxRecoveryTime)
	}
	o.check(t)
}

// check checks that no request was executed twice and that no result counts as a mismatch.
func (o *outcomes) check(t *testing.T) {
	t.Helper()
	if n := o.mismatch.Load(); n > 0 {
		t.Errorf("%d requests got neither their own response nor a status of 500 or above", n)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, runs := range o.runs {
		if runs > 1 {
			t.Errorf("request %s was executed %d times, want at most once", id, runs)
		}
	}
}
