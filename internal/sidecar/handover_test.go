package sidecar

import "testing"

func TestHandoverPhases(t *testing.T) {
	for _, c := range []struct {
		from                                       handoverPhase
		successorServes, noSuccessor, afterSIGTERM handoverPhase
		superseded                                 bool
	}{
		{active, superseded, active, endingActive, false},
		{superseded, superseded, active, endingSuperseded, true},
		{endingActive, endingActive, endingActive, endingActive, false},
		{endingSuperseded, endingSuperseded, endingSuperseded, endingSuperseded, true},
	} {
		if got := c.from.afterPeerCheck(true); got != c.successorServes {
			t.Errorf("from %d, with a serving successor: %d, want %d", c.from, got, c.successorServes)
		}
		if got := c.from.afterPeerCheck(false); got != c.noSuccessor {
			t.Errorf("from %d, without one: %d, want %d", c.from, got, c.noSuccessor)
		}
		if got := c.from.afterSIGTERM(); got != c.afterSIGTERM {
			t.Errorf("from %d, at SIGTERM: %d, want %d", c.from, got, c.afterSIGTERM)
		}
		if got := c.from.isSuperseded(); got != c.superseded {
			t.Errorf("%d is superseded: %v", c.from, got)
		}
	}
}
