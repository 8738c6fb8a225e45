package traffic

import (
	"time"

	"rowancart/internal/experiment"
)

// ServerFaults are the faults in force at one server. A rate is the fraction of its requests that
// are affected. The zero value is a server without faults.
type ServerFaults struct {
	FastErrorRate   float64       // requests that fail with 500 at once
	BreakBeforeRate float64       // requests whose connection breaks before their last byte
	BreakAfterRate  float64       // requests whose connection breaks after their last byte
	TruncateRate    float64       // requests whose response is truncated
	CorruptRate     float64       // requests whose response is not HTTP
	ResponseDelay   time.Duration // added to the time of each response
	Unresponsive    bool          // the machine sends nothing
	AcceptStalled   bool          // new connections are not accepted

	neighbourSlowdown float64 // factor; 0: not in force
	sharedSlowdown    float64 // factor; 0: not in force
}

// Apply begins or ends a fault for which ServerFaults has a field. It ignores all other kinds, such
// as Crash and RollingDeploy, which drivers carry out themselves.
func (f *ServerFaults) Apply(event FaultEvent) {
	size := 0.0
	delay := time.Duration(0)
	slowdown := 0.0
	if event.On {
		size = event.Fault.Size
		delay = event.Fault.Period
		slowdown = event.Fault.Slowdown()
	}
	switch event.Kind {
	case experiment.FastErrors:
		f.FastErrorRate = size
	case experiment.BreakBeforeRequest:
		f.BreakBeforeRate = size
	case experiment.BreakAfterRequest:
		f.BreakAfterRate = size
	case experiment.TruncateResponse:
		f.TruncateRate = size
	case experiment.CorruptResponse:
		f.CorruptRate = size
	case experiment.SlowResponse:
		f.ResponseDelay = delay
	case experiment.Unresponsive:
		f.Unresponsive = event.On
	case experiment.StallAccept:
		f.AcceptStalled = event.On
	case experiment.NoisyNeighbour:
		f.neighbourSlowdown = slowdown
	case experiment.SharedSlowdown:
		f.sharedSlowdown = slowdown
	}
}

// Slowdown returns the factor by which the faults in force together slow the server down.
func (f *ServerFaults) Slowdown() float64 {
	total := 1.0
	for _, factor := range [...]float64{f.neighbourSlowdown, f.sharedSlowdown} {
		if factor > 0 {
			total *= factor
		}
	}
	return total
}
