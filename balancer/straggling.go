package balancer

// Stragglers: when an attempt has been in flight for too long, and what follows for its endpoint.

import "time"

const (
	// An attempt is straggling once it has been in flight for the longest of these times.
	stragglingRatio           = 3.0  // times its expected latency
	stragglingDeviations      = 6.0  // mean deviations of the latency, beyond its expected latency
	minStragglingShare        = 0.05 // at least this share of the latency objective
	initialMinStragglingShare = 0.25 // minStragglingShare for the first minStragglingSamples responses
	minStragglingSamples      = 10.0 // responses to requests of the class's kind of work
	minStragglingResolutions  = 3    // times Settings.Resolution, the longest delay of events and timers
)

// stragglingDelay returns how long an attempt may be in flight before it counts as straggling. An
// endpoint must not look unresponsive because a class mixes fast and slow requests, or because the
// first responses of a class were all fast.
func (b *Balancer) stragglingDelay(req *request, e *endpoint) time.Duration {
	c := req.class
	weight := max(e.weight(), 1)
	expected := b.expectedLatency(req)
	delay := max(
		stragglingRatio*weight*expected,
		weight*expected+stragglingDeviations*c.latency.deviation,
		c.minStragglingDelay(),
	)
	return max(seconds(delay), minStragglingResolutions*b.settings.Resolution)
}

// minStragglingDelay returns the lower limit of the class's straggling delay, in seconds. It
// applies regardless of the latencies of the class.
func (c *class) minStragglingDelay() float64 {
	share := minStragglingShare
	if c.latency.samples < minStragglingSamples {
		share = initialMinStragglingShare
	}
	return share * c.LatencyObjective.Seconds()
}

// handleStraggler schedules the next check of a straggling attempt for twice its age. If the
// endpoint is active, the age is added as a sample, and the endpoint is ejected unless it has sent
// a successful response since the attempt was sent: a hang is then detected after a few latencies
// and not only by a timeout.
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
