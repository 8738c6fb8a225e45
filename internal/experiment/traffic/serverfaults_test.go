package traffic

import (
	"testing"
	"time"

	"rowancart/internal/experiment"
)

// event returns the step that begins or ends a fault of a kind.
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
				t.Errorf("after the fault began: %+v, want %+v", f, want)
			}
			f.Apply(event(kind, false))
			if f != (ServerFaults{}) {
				t.Errorf("after the fault ended: %+v, want no faults", f)
			}
		})
	}
}

func TestSlowdownsMultiply(t *testing.T) {
	var f ServerFaults
	if got := f.Slowdown(); got != 1 {
		t.Errorf("slowdown without faults: %g, want 1", got)
	}
	f.Apply(event(experiment.NoisyNeighbour, true))
	shared := event(experiment.SharedSlowdown, true)
	shared.Fault.Size = 3
	f.Apply(shared)
	if got := f.Slowdown(); got != 6 {
		t.Errorf("slowdown by factors 2 and 3: %g, want 6", got)
	}
	f.Apply(event(experiment.NoisyNeighbour, false))
	if got := f.Slowdown(); got != 3 {
		t.Errorf("slowdown by factor 3 alone: %g, want 3", got)
	}
}
