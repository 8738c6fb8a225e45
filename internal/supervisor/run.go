package supervisor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"rowancart/internal/snapshot"
)

const (
	poll      = 100 * time.Millisecond // between two asks for health, and two looks at an adopted process
	stateFor  = 24 * time.Hour         // a supervisor's state older than this tells of processes long gone
	stateName = "fleet.state"
)

// Options are what the command gives beside the file.
type Options struct {
	Program string       // that serves; "serve CONFIG" is added
	Log     *slog.Logger // slog.Default() where nil
}

// kept is what the supervisor writes of its instances, for one that follows it.
type kept struct {
	Instances []keptInstance `json:"Instances"`
}

type keptInstance struct {
	Pid   int    `json:"Pid"`
	Since uint64 `json:"Since"` // the process's start, in ticks after boot: a pid used again is another process
}

// process is one running instance, a child or one adopted from a supervisor before.
type process struct {
	pid   int
	since uint64
	cmd   *exec.Cmd // nil where adopted
}

// event is what the goroutines that watch processes tell the loop.
type event struct {
	i       int
	ended   bool
	healthy bool
	p       *process
}

// Run supervises the fleet until ctx ends, then ends every instance and returns. A second supervisor of the same
// folder refuses to start.
func Run(ctx context.Context, f *File, o Options) error {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if err := os.MkdirAll(f.Folder, 0o700); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	state := filepath.Join(f.Folder, stateName)
	lock, err := snapshot.Lock(state)
	if err != nil {
		return fmt.Errorf("fleet: another supervisor runs this fleet: %w", err)
	}
	defer lock.Close()
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	v, err := NewRestartPolicy(0, RestartSettings{Instances: f.Instances, Seed: f.Seed, First: f.First, Most: f.Most,
		ReadyWithin: f.ReadyWithin})
	if err != nil {
		return err
	}
	r := &runner{f: f, o: o, v: v, state: state, procs: make([]*process, f.Instances), events: make(chan event, 4*f.Instances),
		done: make(chan struct{})}
	r.adopt(now())
	defer r.wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for _, a := range v.Due(now()) {
			r.act(now(), a)
		}
		if at, ok := v.Next(); ok {
			timer.Reset(max(at-now(), time.Millisecond))
		}
		select {
		case <-ctx.Done():
			r.stop(now)
			return nil
		case e := <-r.events:
			r.hear(now(), e)
		case <-timer.C:
		}
	}
}

type runner struct {
	f      *File
	o      Options
	v      *RestartPolicy
	state  string
	procs  []*process
	events chan event
	done   chan struct{} // closed when the watchers are to end
	wg     sync.WaitGroup
}

func (r *runner) wait() {
	close(r.done)
	r.wg.Wait()
}

// tell hands an event to the loop, unless the loop is over.
func (r *runner) tell(e event) {
	select {
	case r.events <- e:
	case <-r.done:
	}
}

// act does what the supervisor decided.
func (r *runner) act(now time.Duration, a Action) {
	switch a.Kind {
	case ActionStart:
		p, err := r.start(a.Instance)
		r.v.Started(now, a.Instance)
		if err != nil {
			r.o.Log.Error("instance does not start", "instance", a.Instance, "err", err)
			r.v.Ended(now, a.Instance)
			return
		}
		r.procs[a.Instance] = p
		r.o.Log.Info("instance started", "instance", a.Instance, "pid", p.pid, "why", a.Why)
		r.keep()
	case ActionKill:
		if p := r.procs[a.Instance]; p != nil {
			r.o.Log.Warn("instance killed", "instance", a.Instance, "pid", p.pid, "why", a.Why)
			_ = syscall.Kill(p.pid, syscall.SIGKILL)
		}
	}
}

func (r *runner) hear(now time.Duration, e event) {
	if r.procs[e.i] != e.p {
		return // of a process before
	}
	switch {
	case e.ended:
		r.procs[e.i] = nil
		r.v.Ended(now, e.i)
		in := r.v.Instances()[e.i]
		r.o.Log.Warn("instance ended", "instance", e.i, "pid", e.p.pid, "failures", in.Failures, "again_in", (in.StartAt - now).Round(time.Millisecond))
		r.keep()
	case e.healthy:
		r.v.Healthy(now, e.i)
		r.o.Log.Info("instance healthy", "instance", e.i, "pid", e.p.pid)
	}
}

// start runs one instance with its number, the fleet's size and its own admin socket in its environment.
func (r *runner) start(i int) (*process, error) {
	cmd := exec.Command(r.o.Program, "serve", r.f.Config)
	cmd.Env = append(os.Environ(), "ROWANCART_INDEX="+strconv.Itoa(i), "ROWANCART_INSTANCES="+strconv.Itoa(r.f.Instances),
		"ROWANCART_ADMIN=unix:"+r.admin(i), "ROWANCART_STATE="+filepath.Join(r.f.Folder, fmt.Sprintf("instance-%d.state", i)))
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // signals of a terminal are the supervisor's to pass on
	// Its log goes to a file of its own, not through this process: an instance taken up by a supervisor after this one
	// would die of a broken pipe at its next line.
	out, err := os.OpenFile(filepath.Join(r.f.Folder, fmt.Sprintf("instance-%d.log", i)), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close() // the child has its own
	cmd.Stderr = out
	_ = os.Remove(r.admin(i)) // of a process before
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{pid: cmd.Process.Pid, since: started(cmd.Process.Pid), cmd: cmd}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		_ = cmd.Wait()
		r.tell(event{i: i, ended: true, p: p})
	}()
	r.health(i, p)
	return p, nil
}

func (r *runner) admin(i int) string {
	return filepath.Join(r.f.Folder, fmt.Sprintf("admin-%d.sock", i))
}

// health asks an instance for its health until it answers well, it ends, or the supervisor does.
func (r *runner) health(i int, p *process) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", r.admin(i))
		}}}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		tick := time.NewTicker(poll)
		defer tick.Stop()
		for {
			if resp, err := client.Get("http://admin/healthz"); err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					r.tell(event{i: i, healthy: true, p: p})
					return
				}
			}
			select {
			case <-r.done:
				return
			case <-tick.C:
			}
			if !alive(p.pid, p.since) {
				return
			}
		}
	}()
}

// adopt takes up the instances that a supervisor before this one left running, and ends those beyond the fleet's size.
func (r *runner) adopt(now time.Duration) {
	var k kept
	if _, err := snapshot.Read(r.state, time.Now(), stateFor, &k); err != nil {
		if !errors.Is(err, snapshot.ErrNotFound) {
			r.o.Log.Warn("the state of a supervisor before is not used", "err", err)
		}
		return
	}
	for i, in := range k.Instances {
		switch {
		case in.Pid <= 0 || !alive(in.Pid, in.Since):
		case i >= r.f.Instances:
			r.o.Log.Info("instance beyond the fleet's size ended", "instance", i, "pid", in.Pid)
			_ = syscall.Kill(in.Pid, syscall.SIGTERM)
		default:
			p := &process{pid: in.Pid, since: in.Since}
			r.procs[i] = p
			r.v.Started(now, i)
			r.o.Log.Info("instance taken up", "instance", i, "pid", p.pid)
			r.wg.Add(1)
			go func() {
				defer r.wg.Done()
				tick := time.NewTicker(poll)
				defer tick.Stop()
				for alive(p.pid, p.since) {
					select {
					case <-r.done:
						return
					case <-tick.C:
					}
				}
				r.tell(event{i: i, ended: true, p: p})
			}()
			r.health(i, p)
		}
	}
	r.keep()
}

// keep writes which processes are the instances, for a supervisor after this one.
func (r *runner) keep() {
	k := kept{Instances: make([]keptInstance, len(r.procs))}
	for i, p := range r.procs {
		if p != nil {
			k.Instances[i] = keptInstance{Pid: p.pid, Since: p.since}
		}
	}
	if err := snapshot.Write(r.state, time.Now(), k); err != nil {
		r.o.Log.Warn("the supervisor's state is not kept", "err", err)
	}
}

// stop ends every instance with SIGTERM, and with SIGKILL those that have not ended within the time given.
func (r *runner) stop(now func() time.Duration) {
	left := 0
	for _, p := range r.procs {
		if p != nil {
			_ = syscall.Kill(p.pid, syscall.SIGTERM)
			left++
		}
	}
	r.o.Log.Info("ending the fleet", "instances", left)
	limit := time.NewTimer(r.f.StopWithin)
	defer limit.Stop()
	for left > 0 {
		select {
		case e := <-r.events:
			if e.ended && r.procs[e.i] == e.p {
				r.procs[e.i] = nil
				left--
			}
		case <-limit.C:
			for i, p := range r.procs {
				if p != nil {
					r.o.Log.Warn("instance killed", "instance", i, "pid", p.pid, "why", "not ended within stop_within")
					_ = syscall.Kill(p.pid, syscall.SIGKILL)
				}
			}
			limit.Reset(r.f.StopWithin)
		}
	}
	r.keep()
}

// started is when a process began, in ticks after boot; 0 where that cannot be read.
func started(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 20 {
		return 0
	}
	n, _ := strconv.ParseUint(fields[19], 10, 64)
	return n
}

// alive tells whether the process with this pid is the one that began then, and has not ended.
func alive(pid int, since uint64) bool {
	if syscall.Kill(pid, 0) != nil {
		return false
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return !strings.HasPrefix(rest, "Z") && started(pid) == since
}
