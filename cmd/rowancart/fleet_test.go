//go:build fleet

package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
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
	"rowancart/internal/snapshot"
	"rowancart/internal/testpeer"
)

// instance is one daemon of a fleet, at a unix socket of its own, with its own snapshot.
type instance struct {
	config, front, state string
	cmd                  *exec.Cmd
	log                  *journal
	since                time.Time // of its process
}

func (in *instance) start(t *testing.T, program string) {
	t.Helper()
	errs, stderr, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	in.cmd, in.since = exec.Command(program, "serve", in.config), time.Now()
	in.cmd.Stderr = stderr
	if err := in.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	stderr.Close()
	in.log = follow(errs)
}

// startFleet starts n instances before the endpoints given, each of which it reaches through a relay of faults.
func startFleet(t *testing.T, n int, endpoints ...string) ([]*instance, []*faultproxy.Relay, string) {
	t.Helper()
	dir := t.TempDir()
	program := programIn(t, dir)
	var relays []*faultproxy.Relay
	roster := ""
	for i, e := range endpoints {
		r, err := faultproxy.Listen(e, faultproxy.Options{Seed: uint64(i + 1), Conns: 512})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { r.Close() })
		relays = append(relays, r)
		roster += fmt.Sprintf("    endpoint %q {\n      address = %q\n    }\n", fmt.Sprint("e", i), r.Addr())
	}
	var out []*instance
	for i := range n {
		in := &instance{config: filepath.Join(dir, fmt.Sprint("i", i, ".hcl")), front: filepath.Join(dir, fmt.Sprint("i", i, ".sock")),
			state: filepath.Join(dir, fmt.Sprint("i", i, ".state"))}
		text := fmt.Sprintf("listener \"front\" {\n  address = \"unix:%s\"\n}\nstate {\n  path = %q\n  every = \"1s\"\n}\nfleet {\n  instances = %d\n  index = %d\n}\n"+
			"class \"pay\" {\n  effect = \"unsafe\"\n  policy = \"p\"\n}\npolicy \"p\" {\n  request_timeout = \"3s\"\n  attempt_timeout = \"1s\"\n}\n"+
			"pool \"one\" {\n  roster \"static\" {\n%s  }\n}\nroute \"all\" {\n  path = \"/*\"\n  class = \"pay\"\n  pool = \"one\"\n}\n",
			in.front, in.state, n, i, roster)
		if err := os.WriteFile(in.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		in.start(t, program)
		out = append(out, in)
	}
	t.Cleanup(func() {
		for _, in := range out {
			_ = in.cmd.Process.Kill()
			_ = in.cmd.Wait()
		}
	})
	for _, in := range out {
		in.log.wait(t, 1, "listening()")
	}
	return out, relays, program
}

// ledger counts what clients saw and what endpoints ran.
type ledger struct {
	mu       sync.Mutex
	ran      map[string]int
	answered atomic.Int64 // 200 with the request's own body
	failed   atomic.Int64 // an error status: given up, never a second run
	unsent   atomic.Int64 // no instance took it: its socket was not there
	cut      atomic.Int64 // taken, and the instance was killed under it
	wrong    atomic.Int64 // anything else
}

func (l *ledger) serve(nc net.Conn, r *http.Request, _ int) bool {
	id := r.Header.Get("Req-Id")
	l.mu.Lock()
	l.ran[id]++
	l.mu.Unlock()
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	return true
}

// ask sends one request to an instance and books what came of it.
func (l *ledger) ask(in *instance, id string) bool {
	var taken atomic.Bool
	client := &http.Client{Timeout: testpeer.Patience, Transport: &http.Transport{DisableKeepAlives: true,
		Dial: func(string, string) (net.Conn, error) {
			nc, err := net.Dial("unix", in.front)
			taken.Store(err == nil)
			return nc, err
		}}}
	r, _ := http.NewRequest(http.MethodPost, "http://front/x", http.NoBody)
	r.Header.Set("Req-Id", id)
	resp, err := client.Do(r)
	switch {
	case err != nil && !taken.Load():
		l.unsent.Add(1)
		return false
	case err != nil:
		l.cut.Add(1)
		return false
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	switch {
	case err == nil && resp.StatusCode == http.StatusOK && string(body) == id:
		l.answered.Add(1)
		return true
	case err == nil && resp.StatusCode >= 500 && string(body) != id:
		l.failed.Add(1)
	default:
		l.wrong.Add(1)
	}
	return false
}

// restart kills all instances in one moment, spoils what they kept where spoil is given, and starts them all again. It
// gives the time after the kill at which each served again, and holds each to telling once what it began with.
func restart(t *testing.T, l *ledger, ins []*instance, program string, spoil func(i int, in *instance) bool) []time.Duration {
	t.Helper()
	for _, in := range ins {
		in.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, in := range ins {
		in.cmd.Wait()
	}
	killed := time.Now()
	lost := make([]bool, len(ins))
	for i, in := range ins {
		lost[i] = spoil != nil && spoil(i, in)
	}
	for _, in := range ins {
		in.start(t, program)
	}
	var ready []time.Duration
	for i, in := range ins {
		in.log.wait(t, 1, "listening()")
		testpeer.Until(t, "a first answer of "+in.front, func() bool {
			return l.ask(in, fmt.Sprint("probe-", in.front, "-", time.Now().UnixNano()))
		})
		ready = append(ready, time.Since(killed))
		said := "starting with what was learned()"
		if lost[i] {
			said = "starting without what was learned()"
		}
		in.log.wait(t, 1, said)
		in.log.mu.Lock()
		n := 0
		for _, line := range in.log.lines {
			if strings.Contains(line, `msg="starting with`) {
				n++
				t.Logf("instance %d: %s", i, line[strings.Index(line, "msg="):])
			}
		}
		in.log.mu.Unlock()
		if n != 1 {
			t.Errorf("instance %d told %d times what it began with", i, n)
		}
	}
	return ready
}

// spoil loses the snapshots of six instances of eight in six ways, and leaves two.
func spoil(i int, in *instance) bool {
	text, err := os.ReadFile(in.state)
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
		os.Remove(in.state)
	case 1:
		os.WriteFile(in.state, text[:len(text)/2], 0o600)
	case 2:
		head["version"] = 99
	case 3: // a clock an hour ahead wrote it
		head["written_ms"] = time.Now().Add(time.Hour).UnixMilli()
	case 4:
		os.WriteFile(in.state, []byte("not a snapshot\n"), 0o600)
	case 5:
		rest = bytes.Replace(rest, []byte(`/index-5"`), []byte(`/index-7"`), 1) // another's, and no longer whole
		head["bytes"], head["xxhash64"] = len(rest)-1, strconv.FormatUint(xxhash.Sum64(rest[:len(rest)-1]), 16)
	default:
		return false
	}
	if i == 2 || i == 3 || i == 5 {
		first, _ = json.Marshal(head)
		os.WriteFile(in.state, append(append(first, '\n'), rest...), 0o600)
	}
	return true
}

// Eight instances before three endpoints: one endpoint is cut off and comes back, then all eight are killed in the same
// moment and started again from their snapshots. No request runs twice, none is answered with what is not its own,
// and all eight serve again within the bound.
func TestAFleetComesBackFromAPartitionAndAMassKill(t *testing.T) {
	const instances, back = 8, 10 * time.Second
	l := &ledger{ran: map[string]int{}}
	var endpoints []string
	for range 3 {
		endpoints = append(endpoints, testpeer.New(t, l.serve).Addr)
	}
	ins, relays, program := startFleet(t, instances, endpoints...)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var asked atomic.Int64
	for i, in := range ins {
		clients.Go(func() {
			for k := 0; k < 100000; k++ { // a bound; the test ends them
				select {
				case <-stop:
					return
				default:
				}
				asked.Add(1)
				l.ask(in, fmt.Sprintf("%d-%d", i, k))
			}
		})
	}
	more := func(what string, count int64) {
		testpeer.Until(t, what, func() func() bool {
			from := l.answered.Load()
			return func() bool { return l.answered.Load() >= from+count }
		}())
	}
	more("answers before the partition", 200)
	relays[0].Set(faultproxy.Fault{Hold: true})
	more("answers during the partition", 200)
	// An attempt held by the partition ends at its time-out: it may have run, and is answered as failed.
	testpeer.Until(t, "an attempt held until its time-out", func() bool { return l.failed.Load() > 0 })
	relays[0].Heal()
	more("answers after the heal", 200)
	for _, in := range ins {
		testpeer.Until(t, "a snapshot of "+in.front, func() bool { _, err := os.Stat(in.state); return err == nil })
	}

	ready := restart(t, l, ins, program, nil)
	more("answers after the restart", 400)
	for _, in := range ins { // written anew, by the processes that run now
		testpeer.Until(t, "a new snapshot of "+in.front, func() bool {
			info, err := os.Stat(in.state)
			return err == nil && info.ModTime().After(in.since)
		})
	}
	spoilt := restart(t, l, ins, program, spoil)
	ready = append(ready, spoilt...)
	more("answers after the restart without snapshots", 400)
	close(stop)
	clients.Wait()

	slices.Sort(ready)
	n := len(ready)
	t.Logf("asked %d: %d answered, %d failed, %d not taken, %d cut by the kill; back to service after %v (median) and %v (most)",
		asked.Load(), l.answered.Load(), l.failed.Load(), l.unsent.Load(), l.cut.Load(), ready[n/2], ready[n-1])
	if w := l.wrong.Load(); w > 0 {
		t.Errorf("%d answers were not the request's own", w)
	}
	if ready[n-1] > back {
		t.Errorf("the last instance served again %v after the kill, over %v", ready[n-1], back)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, runs := range l.ran {
		if runs > 1 {
			t.Errorf("request %s ran %d times", id, runs)
		}
	}
}

// supervisorProcess is a rowancart fleet process, its log, and the folder whose state tells its instances.
type supervisorProcess struct {
	cmd    *exec.Cmd
	log    *journal
	folder string
}

func superviseFleet(t *testing.T, program, file, folder string, n int) *supervisorProcess {
	t.Helper()
	errs, stderr, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	s := &supervisorProcess{cmd: exec.Command(program, "fleet", file), folder: folder}
	s.cmd.Stderr = stderr
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	stderr.Close()
	s.log = follow(errs)
	s.log.wait(t, n, `msg="instance (?:taken up|started)"()`) // and it heeds SIGTERM from now on
	return s
}

// pids are the instances' processes as the supervisor's state tells them; 0 for one that does not run.
func (s *supervisorProcess) pids(t *testing.T) []int {
	t.Helper()
	var k struct{ Instances []struct{ Pid int } }
	if _, err := snapshot.Read(filepath.Join(s.folder, "fleet.state"), time.Now(), time.Hour, &k); err != nil {
		return nil
	}
	var out []int
	for _, in := range k.Instances {
		out = append(out, in.Pid)
	}
	return out
}

// healthy tells whether all n instances run and answer for their health.
func (s *supervisorProcess) healthy(t *testing.T, n int) bool {
	pids := s.pids(t)
	if len(pids) != n {
		return false
	}
	for i, pid := range pids {
		if pid == 0 || syscall.Kill(pid, 0) != nil {
			return false
		}
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true,
			Dial: func(string, string) (net.Conn, error) {
				return net.Dial("unix", filepath.Join(s.folder, fmt.Sprintf("admin-%d.sock", i)))
			}}}
		resp, err := client.Get("http://admin/healthz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

var fleetKills = flag.Int("fleet.kills", 60, "kills of instances and of the supervisor in the supervisor's test")

// Seeded kills of instances and of the supervisor itself: after each, all eight serve again, and at the end no
// process of any of them is left.
func TestASupervisorBringsBackWhatIsKilledAndLeavesNothing(t *testing.T) {
	const n = 8
	kills := *fleetKills
	box := testpeer.New(t, testpeer.Says(testpeer.Served, true))
	dir := t.TempDir()
	program := programIn(t, dir)
	instance := fmt.Sprintf("admin {\n  listen = env(\"ROWANCART_ADMIN\")\n}\nlistener \"front\" {\n  address = \"unix:${env(\"ROWANCART_STATE\")}.sock\"\n}\n"+
		"state {\n  path = env(\"ROWANCART_STATE\")\n}\nfleet {\n  instances = env(\"ROWANCART_INSTANCES\")\n  index = env(\"ROWANCART_INDEX\")\n}\n"+
		"class \"look\" {\n  effect = \"safe\"\n}\npool \"one\" {\n  roster \"static\" {\n    endpoint \"a\" {\n      address = %q\n    }\n  }\n}\n"+
		"route \"all\" {\n  path = \"/*\"\n  class = \"look\"\n  pool = \"one\"\n}\n", box.Addr)
	file := filepath.Join(dir, "fleet.hcl")
	for name, text := range map[string]string{"instance.hcl": instance, "fleet.hcl": fmt.Sprintf("fleet {\n  instances = %d\n  config = \"instance.hcl\"\n"+
		"  folder = \"run\"\n  seed = 5\n  ready_within = \"5s\"\n  stop_within = \"5s\"\n  back_off {\n    first = \"50ms\"\n    most = \"400ms\"\n  }\n}\n", n)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	folder := filepath.Join(dir, "run")
	seen := map[int]bool{}
	s := superviseFleet(t, program, file, folder, n)
	t.Cleanup(func() {
		_ = s.cmd.Process.Kill()
		for pid := range seen {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	})
	second, err := exec.Command(program, "fleet", file).CombinedOutput()
	if err == nil || strings.Count(string(second), "\n") != 1 || !strings.Contains(string(second), "another supervisor runs this fleet") {
		t.Errorf("a second supervisor of the fleet: %v, %q", err, second)
	}
	rng, supervisors := rand.New(rand.NewPCG(11, 0)), 0
	for k := range kills {
		testpeer.Until(t, fmt.Sprintf("all %d healthy before kill %d", n, k+1), func() bool { return s.healthy(t, n) })
		pids := s.pids(t)
		for _, pid := range pids {
			seen[pid] = true
		}
		if rng.IntN(6) == 0 { // the supervisor: one that follows takes up what runs
			supervisors++
			s.cmd.Process.Signal(syscall.SIGKILL)
			s.cmd.Wait()
			s = superviseFleet(t, program, file, folder, n)
			continue
		}
		syscall.Kill(pids[rng.IntN(n)], syscall.SIGKILL)
	}
	testpeer.Until(t, "all healthy after the last kill", func() bool { return s.healthy(t, n) })
	for _, pid := range s.pids(t) {
		seen[pid] = true
	}
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("the supervisor ends with %v", err)
	}
	left := 0
	for pid := range seen {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if _, state, _ := strings.Cut(string(stat), ") "); err == nil && !strings.HasPrefix(state, "Z") { // the dead wait for init
			left++
		}
	}
	if left > 0 {
		t.Errorf("%d of %d instances' processes are left", left, len(seen))
	}
	t.Logf("%d kills, %d of them of the supervisor; %d processes of instances in all", kills, supervisors, len(seen))
}
