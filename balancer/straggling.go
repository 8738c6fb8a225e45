package balancer

// Stragglers: when an attempt has been in flight for too long, and what that shows of its endpoint.

import "time"

const (
	// An attempt straggles once it has been in flight for stragglingRatio times its expected latency,
	// for that and stragglingDeviations times the usual deviation, and for minStragglingShare of the
	// latency objective: initialMinStragglingShare until the class has minStragglingSamples responses.
	// No attempt straggles within stragglingResolutions times the resolution of the clock.
	stragglingRatio           = 3.0
	stragglingDeviations      = 6.0
	minStragglingShare        = 0.05
	initialMinStragglingShare = 0.25
	minStragglingSamples      = 10.0
	stragglingResolutions     = 3
)

// stragglingDelay returns how long an attempt may be in flight before it counts as straggling. A
// class may be a mixture of quick and slow requests, and its first responses may all be quick:
// neither must make an endpoint look unresponsive.
func (b *Balancer) stragglingDelay(req *request, e *endpoint) time.Duration {
	c := req.class
	weight := max(e.weight(), 1)
	expected := b.expectedLatency(req)
	delay := max(
		stragglingRatio*weight*expected,
		weight*expected+stragglingDeviations*c.latency.deviation,
		c.minStragglingDelay(),
	)
	return max(seconds(delay), stragglingResolutions*b.settings.Resolution)
}

// minStragglingDelay returns for how many seconds no attempt of the class is straggling, whatever
// its latencies have been.
func (c *class) minStragglingDelay() float64 {
	share := minStragglingShare
	if c.latency.samples < minStragglingSamples {
		share = initialMinStragglingShare
	}
	return share * c.LatencyObjective.Seconds()
}

// handleStraggler takes the age of a straggling attempt as a sample. It ejects an endpoint that has
// not responded since the attempt was sent: a hang shows after a few latencies, not after a
// timeout.
func (b *Balancer) handleStraggler(now time.Duration, req *request, a *attempt) {
	e := a.endpoint
	isUnresponsive := e.connection.respondedAt < a.sentAt
	age := now - a.sentAt
	a.straggling = true
	a.stragglingAt = now + age
	if !e.active {
		return
	}
	b.addSample(now, e, min(age.Seconds()/b.expectedLatency(req), maxLatencyRatio))
	if e.active && isUnresponsive {
		b.log(now, LogEvent{Kind: EndpointUnresponsive, Endpoint: e.ID})
		b.eject(now, e, InactiveUnresponsive)
	}
}
