package supervisor

import (
	"errors"
	"syscall"
	"time"

	"rowancart/internal/logkey"
	"rowancart/internal/snapshot"
)

const (
	stateFileName = "fleet.state"
	maxStateAge   = 24 * time.Hour // an older state is not used: its process ids may be stale
)

// savedState is the stored state of a supervisor, from which its successor adopts the instances.
type savedState struct {
	Instances []savedInstance `json:"Instances"`
}

// savedInstance identifies the process of an instance.
type savedInstance struct {
	Pid       int    `json:"Pid"`   // 0: the instance does not run
	StartTime uint64 `json:"Since"` // in clock ticks after boot
}

// adoptInstances adopts the instances that the previous supervisor left running. It terminates
// those whose index is not below the configured number of instances.
func (s *supervisor) adoptInstances(now time.Duration) {
	var saved savedState
	if _, err := snapshot.Read(s.statePath, time.Now(), maxStateAge, &saved); err != nil {
		if !errors.Is(err, snapshot.ErrNotFound) {
			s.log.Warn("supervisor state not restored", logkey.Err, err)
		}
		return
	}
	for i, in := range saved.Instances {
		p := &process{pid: in.Pid, startTime: in.StartTime}
		switch {
		case p.pid <= 0 || !p.isRunning():
		case i >= s.config.Instances:
			s.log.Info("surplus instance terminated", logkey.Instance, i, logkey.PID, p.pid)
			p.signal(syscall.SIGTERM)
		default:
			s.processes[i] = p
			s.policy.OnStarted(now, i)
			s.log.Info("instance adopted", logkey.Instance, i, logkey.PID, p.pid)
			s.watchers.Go(func() { s.watchAdopted(i, p) })
			s.watchers.Go(func() { s.awaitHealthy(i, p) })
		}
	}
	s.saveState()
}

// saveState stores the processes of the instances for the next supervisor.
func (s *supervisor) saveState() {
	saved := savedState{Instances: make([]savedInstance, len(s.processes))}
	for i, p := range s.processes {
		if p != nil {
			saved.Instances[i] = savedInstance{Pid: p.pid, StartTime: p.startTime}
		}
	}
	if err := snapshot.Write(s.statePath, time.Now(), saved); err != nil {
		s.log.Warn("supervisor state not saved", logkey.Err, err)
	}
}
