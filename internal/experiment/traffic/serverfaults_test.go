package traffic

import (
	"testing"
	"time"

	"rowancart/internal/experiment"
)

// event returns the begin or the end of a fault of a kind.
func event(kind experiment.FaultKind, on bool) FaultEvent {
	fault := &experiment.Fault{Kind: kind, Size: 0.5, Period: time.Second}
	return FaultEvent{Kind: kind, On: on, Fault: fault}
}

func TestServerFaultsBeginAndEnd(t *testing.T) {
	for kind, want := range map[experiment.FaultKind]ServerFaults{
		experiment.FastErrors:         {FastErrorRate: 0.5},
		experiment.BreakBeforeRequest: {BreakBeforeRate: 0.5},
		experiment.BreakAfterRequest:  {BreakAfterRate: 0.5},
		experiment.TruncateResponse:   {TruncateRate: 0.5},
		experiment.CorruptResponse:    {CorruptRate: 0.5},
		experiment.SlowResponse:       {ResponseDelay: time.Second},
		experiment.Unresponsive:       {Unresponsive: true},
		experiment.StallAccept:        {AcceptStalled: true},
		experiment.NoisyNeighbour:     {neighbourSlowdown: 2}, // half of the machine is left
		experiment.SharedSlowdown:     {sharedSlowdown: 0.5},
		experiment.Crash:              {}, // the drivers end the process themselves
	} {
		t.Run(string(kind), func(t *testing.T) {
			var f ServerFaults
			f.Apply(event(kind, true))
			if f != want {
				t.Errorf("begun: %+v, want %+v", f, want)
			}
			f.Apply(event(kind, false))
			if f != (ServerFaults{}) {
				t.Errorf("ended: %+v", f)
			}
		})
	}
}

func TestSlowdownsMultiply(t *testing.T) {
	var f ServerFaults
	if got := f.Slowdown(); got != 1 {
		t.Errorf("without faults: %g, want 1", got)
	}
	f.Apply(event(experiment.NoisyNeighbour, true))
	shared := event(experiment.SharedSlowdown, true)
	shared.Fault.Size = 3
	f.Apply(shared)
	if got := f.Slowdown(); got != 6 {
		t.Errorf("twice and three times slower: %g, want 6", got)
	}
	f.Apply(event(experiment.NoisyNeighbour, false))
	if got := f.Slowdown(); got != 3 {
		t.Errorf("three times slower: %g, want 3", got)
	}
}
