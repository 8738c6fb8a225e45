package sidecar

import (
	"testing"

	"rowancart/internal/hotrestart"
)

func TestHandoverPhases(t *testing.T) {
	successorServes := hotrestart.PeerProcesses{Running: true, SuccessorServes: true}
	predecessorRuns := hotrestart.PeerProcesses{Running: true}
	for _, c := range []struct {
		from            handoverPhase
		successorServes handoverPhase
		noSuccessor     handoverPhase
		afterSIGTERM    handoverPhase
		superseded      bool
	}{
		{phaseActive, phaseSuperseded, phaseActive, phaseActiveShutdown, false},
		{phaseSuperseded, phaseSuperseded, phaseActive, phaseSupersededShutdown, true},
		{phaseActiveShutdown, phaseActiveShutdown, phaseActiveShutdown, phaseActiveShutdown, false},
		{phaseSupersededShutdown, phaseSupersededShutdown, phaseSupersededShutdown, phaseSupersededShutdown, true},
	} {
		if got := c.from.afterCheck(successorServes); got != c.successorServes {
			t.Errorf("from %d, with a serving successor: %d, want %d", c.from, got, c.successorServes)
		}
		if got := c.from.afterCheck(hotrestart.PeerProcesses{}); got != c.noSuccessor {
			t.Errorf("from %d, without a peer process: %d, want %d", c.from, got, c.noSuccessor)
		}
		if got := c.from.afterCheck(predecessorRuns); got != c.noSuccessor {
			t.Errorf("from %d, with a peer process that is not a serving successor: %d, want %d", c.from, got, c.noSuccessor)
		}
		if got := c.from.afterSIGTERM(); got != c.afterSIGTERM {
			t.Errorf("from %d, at SIGTERM: %d, want %d", c.from, got, c.afterSIGTERM)
		}
		if got := c.from.isSuperseded(); got != c.superseded {
			t.Errorf("phase %d: isSuperseded returns %v", c.from, got)
		}
	}
}
