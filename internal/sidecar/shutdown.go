package sidecar

import (
	"cmp"
	"time"
)

// The platform sends SIGKILL no sooner after SIGTERM than the longest deadline of the settings,
// which counts as maxCountedDeadline where it is longer, plus minKillDelay.
const (
	minKillDelay       = 700 * time.Millisecond
	maxCountedDeadline = 3 * time.Second
)

const (
	// acceptAfterSIGTERM is for how long connections are accepted after SIGTERM: clients learn of
	// the shutdown with a delay.
	acceptAfterSIGTERM = 600 * time.Millisecond
	// finalResponseMargin is how long before SIGKILL the last responses are due. The process may be
	// suspended for 0.15 s then.
	finalResponseMargin = 250 * time.Millisecond
	// finalCloseMargin is how long before SIGKILL the connections that are still open are closed.
	finalCloseMargin = 50 * time.Millisecond
	// recentUseWindow is the time since its latest request within which a connection is likely to
	// get another one soon.
	recentUseWindow = 300 * time.Millisecond
)

// killDelay returns how long after SIGTERM the platform may send SIGKILL.
func killDelay(c Config) time.Duration {
	return min(cmp.Or(c.Settings.MaxDeadline, maxCountedDeadline), maxCountedDeadline) + minKillDelay
}

// drain shuts the listener and the server down; served gets the server's result. No connection that
// the kernel has accepted may be lost: unless this process is superseded, connections are accepted
// for acceptAfterSIGTERM as before. Then responses carry Connection: close, and idle connections
// are closed. All of it ends before SIGKILL can come: requests with later deadlines are rejected or
// fail, and connections without a request are closed.
func (s *Sidecar) drain(served <-chan error) error {
	killAt := time.Now().Add(s.killDelay)
	s.pool.SetFinalDeadline(s.pool.Now() + s.killDelay - finalResponseMargin)
	recentUse := recentUseWindow
	if !s.handover.beginShutdown().isSuperseded() {
		time.Sleep(acceptAfterSIGTERM)
		recentUse = 0
	}
	s.server.StartDraining()
	err := s.listener.Drain(recentUse, killAt.Add(-finalCloseMargin))
	<-served // the listener is closed
	return err
}
