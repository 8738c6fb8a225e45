// Package supervisor runs the instances of a fleet on one machine. It starts them, checks the
// health of each at its admin socket, restarts those that exit, stores its own state on disk,
// adopts the instances that the previous supervisor left running, and terminates them all when it
// is stopped.
//
// RestartPolicy decides when an instance is started or killed; it is pure. Run carries out its
// decisions. The goroutine of Run owns all state. Two goroutines for each process, one that waits
// for its exit and one that checks its health, send events to it; they end with the process or when
// Run returns.
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
	eventsPerInstance = 4 // that may be queued without blocking a watcher
	minTimer          = time.Millisecond
)

// Options are what Run needs in addition to the configuration.
type Options struct {
	Program string       // is run as "PROGRAM serve CONFIG" for each instance
	Log     *slog.Logger // nil: slog.Default()
}

// eventKind is what a watcher saw of a process.
type eventKind int

const (
	eventExited eventKind = iota
	eventHealthy
)

// event is what a watcher of a process sends to the supervisor's goroutine.
type event struct {
	kind     eventKind
	instance int
	process  *process
}

// supervisor is a running fleet. All but done, events and watchers belongs to the goroutine of Run.
type supervisor struct {
	config    *Config
	options   Options
	log       *slog.Logger
	policy    *RestartPolicy
	statePath string
	processes []*process // by instance; nil: none runs

	events   chan event
	done     chan struct{} // closed when the watchers are to return
	watchers sync.WaitGroup
}

// Run supervises the fleet until ctx is done, then terminates every instance and returns. A second
// supervisor of the same folder returns an error at once.
func Run(ctx context.Context, c *Config, o Options) error {
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	statePath := filepath.Join(c.Folder, stateName)
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
		events:    make(chan event, eventsPerInstance*c.Instances),
		done:      make(chan struct{}),
	}
	s.run(ctx)
	return nil
}

// run handles events and deadlines until ctx is done, and then terminates the instances.
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
			timer.Reset(max(deadline-now(), minTimer))
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

// stopWatchers ends the watchers and waits for them.
func (s *supervisor) stopWatchers() {
	close(s.done)
	s.watchers.Wait()
}

// send passes an event to the goroutine of Run. Once that has returned, the event is dropped.
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

// handleEvent updates the policy. Events of a process that is no longer the instance's are ignored.
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

// stopInstances sends SIGTERM to every instance, and SIGKILL to those that have not exited within
// the configured time. It returns once all have exited.
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
