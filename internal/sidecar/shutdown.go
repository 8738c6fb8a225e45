package sidecar

import (
	"cmp"
	"time"

	"rowancart/internal/shutdown"
)

// The shortest time from SIGTERM to the platform's SIGKILL is minKillDelay plus the longest request
// deadline in the settings, capped at maxCountedDeadline.
const (
	minKillDelay       = 700 * time.Millisecond
	maxCountedDeadline = 3 * time.Second
)

const (
	// acceptAfterSIGTERM is how long connections are still accepted after SIGTERM, because clients
	// learn of the shutdown with a delay.
	acceptAfterSIGTERM = 600 * time.Millisecond
	// recentUseWindow is how recently a connection must have had a request for another one to be
	// likely soon.
	recentUseWindow = 300 * time.Millisecond
)

// killDelay returns the shortest time after SIGTERM at which the platform may send SIGKILL.
func killDelay(c Config) time.Duration {
	return min(cmp.Or(c.Settings.MaxDeadline, maxCountedDeadline), maxCountedDeadline) + minKillDelay
}

// drain shuts down the listener and the server, whose result arrives on served. No connection that
// the kernel has accepted may be lost: unless this process is superseded, it goes on accepting
// connections for acceptAfterSIGTERM. After that, responses carry Connection: close, and idle
// connections are closed. All of this ends before SIGKILL can arrive: requests with later deadlines
// are rejected or fail, and connections without a request are closed.
func (s *Sidecar) drain(served <-chan error) error {
	schedule := shutdown.NewSchedule(time.Now(), s.killDelay)
	s.pool.SetFinalDeadline(schedule.FinalResponses)
	recentUse := recentUseWindow
	if !s.handover.beginShutdown().isSuperseded() {
		time.Sleep(acceptAfterSIGTERM)
		recentUse = 0
	}
	s.server.StartDraining()
	err := s.listener.Drain(recentUse, schedule.FinalClose)
	<-served // the server returns because the listener is closed
	return err
}
