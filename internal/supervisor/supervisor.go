// Package supervisor runs the instances of a fleet on one machine. It starts them, kills those that
// do not pass a health check at their admin socket in time, restarts those that exit, stores its
// own state on disk, adopts the instances that the previous supervisor left running, and terminates
// all instances when it is stopped. An instance that has passed a health check is not checked again
// while its process and this supervisor run.
//
// RestartPolicy decides when an instance is started or killed; it performs no I/O and reads no
// clock. Run carries out its decisions, and the goroutine of Run owns all state. Each process has
// two watchers, goroutines that send events to Run: one waits until the process exits, the other
// repeats a health check until it succeeds. Both return at the latest when the process has exited
// or when Run returns.
package supervisor

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"rowancart/internal/logkey"
	"rowancart/internal/snapshot"
)

const (
	queuedEventsPerInstance = 4                // events that may be queued without blocking a watcher
	minTimerDelay           = time.Millisecond // minimum delay of the timer for the next deadline
)

// Options holds the parameters of Run that are not in the configuration file.
type Options struct {
	Program string       // path; it is run as "PROGRAM serve CONFIG" for each instance
	Log     *slog.Logger // nil: slog.Default()
}

// eventKind is the kind of change of a process that a watcher reports.
type eventKind int

const (
	eventExited eventKind = iota
	eventHealthy
)

// event is sent by a watcher of a process to the goroutine of Run.
type event struct {
	kind     eventKind
	instance int
	process  *process
}

// supervisor is a running fleet. Its fields belong to the goroutine of Run, except for events, done
// and watchers.
type supervisor struct {
	config    *Config
	options   Options
	log       *slog.Logger
	policy    *RestartPolicy
	statePath string
	processes []*process // by instance; nil: no process runs

	events   chan event
	done     chan struct{} // closed to make the watchers return
	watchers sync.WaitGroup
}

// Run supervises the fleet until ctx is done, then terminates all instances and returns. It returns
// an error at once if another supervisor uses the same folder.
func Run(ctx context.Context, c *Config, o Options) error {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	statePath := filepath.Join(c.Folder, stateFileName)
	lock, err := snapshot.Lock(statePath)
	if err != nil {
		return fmt.Errorf("fleet: another supervisor runs this fleet: %w", err)
	}
	defer lock.Close()
	policy, err := NewRestartPolicy(0, RestartSettings{
		Instances:      c.Instances,
		Seed:           c.Seed,
		InitialBackoff: c.InitialBackoff,
		MaxBackoff:     c.MaxBackoff,
		ReadyTimeout:   c.ReadyTimeout,
	})
	if err != nil {
		return err
	}
	s := &supervisor{
		config:    c,
		options:   o,
		log:       o.Log,
		policy:    policy,
		statePath: statePath,
		processes: make([]*process, c.Instances),
		events:    make(chan event, queuedEventsPerInstance*c.Instances),
		done:      make(chan struct{}),
	}
	s.run(ctx)
	return nil
}

// run handles events and deadlines until ctx is done. It then terminates the instances.
func (s *supervisor) run(ctx context.Context) {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	s.adoptInstances(now())
	defer s.stopWatchers()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		for _, action := range s.policy.DueActions(now()) {
			s.perform(now(), action)
		}
		if deadline, ok := s.policy.NextDeadline(); ok {
			timer.Reset(max(deadline-now(), minTimerDelay))
		}
		select {
		case <-ctx.Done():
			s.stopInstances()
			return
		case e := <-s.events:
			s.handleEvent(now(), e)
		case <-timer.C:
		}
	}
}

// stopWatchers makes the watchers return and waits until they have.
func (s *supervisor) stopWatchers() {
	close(s.done)
	s.watchers.Wait()
}

// send sends an event to the goroutine of Run. It drops the event once Run has stopped handling
// events.
func (s *supervisor) send(e event) {
	select {
	case s.events <- e:
	case <-s.done:
	}
}

// perform carries out an action of the restart policy.
func (s *supervisor) perform(now time.Duration, a Action) {
	switch a.Kind {
	case ActionStart:
		p, err := s.startInstance(a.Instance)
		s.policy.OnStarted(now, a.Instance)
		if err != nil {
			s.log.Error("instance not started", logkey.Instance, a.Instance, logkey.Err, err)
			s.policy.OnExited(now, a.Instance)
			return
		}
		s.processes[a.Instance] = p
		s.log.Info("instance started", logkey.Instance, a.Instance, logkey.PID, p.pid, logkey.Reason, a.Reason)
		s.saveState()
	case ActionKill:
		if p := s.processes[a.Instance]; p != nil {
			s.kill(a.Instance, p, a.Reason)
		}
	}
}

func (s *supervisor) kill(i int, p *process, reason string) {
	s.log.Warn("instance killed", logkey.Instance, i, logkey.PID, p.pid, logkey.Reason, reason)
	p.signal(syscall.SIGKILL)
}

// handleEvent passes an event to the restart policy. It ignores events of a process that is no
// longer the current process of its instance.
func (s *supervisor) handleEvent(now time.Duration, e event) {
	if s.processes[e.instance] != e.process {
		return
	}
	switch e.kind {
	case eventExited:
		s.processes[e.instance] = nil
		s.policy.OnExited(now, e.instance)
		in := s.policy.Instances()[e.instance]
		s.log.Warn("instance exited", logkey.Instance, e.instance, logkey.PID, e.process.pid, "failures", in.Failures,
			logkey.RetryDelay, (in.StartAt - now).Round(time.Millisecond))
		s.saveState()
	case eventHealthy:
		s.policy.OnHealthy(now, e.instance)
		s.log.Info("instance healthy", logkey.Instance, e.instance, logkey.PID, e.process.pid)
	}
}

// stopInstances sends SIGTERM to all instances, and SIGKILL to those that have not exited within
// StopTimeout. It returns once all have exited.
func (s *supervisor) stopInstances() {
	running := 0
	for _, p := range s.processes {
		if p != nil {
			p.signal(syscall.SIGTERM)
			running++
		}
	}
	s.log.Info("terminating instances", "instances", running)
	timeout := time.NewTimer(s.config.StopTimeout)
	defer timeout.Stop()
	for running > 0 {
		select {
		case e := <-s.events:
			if e.kind == eventExited && s.processes[e.instance] == e.process {
				s.processes[e.instance] = nil
				running--
			}
		case <-timeout.C:
			for i, p := range s.processes {
				if p != nil {
					s.kill(i, p, fmt.Sprintf("not exited within %v", s.config.StopTimeout))
				}
			}
			timeout.Reset(s.config.StopTimeout)
		}
	}
	s.saveState()
}
