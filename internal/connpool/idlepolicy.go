package connpool

import "time"

const (
	// maxIdleFraction is the part of the endpoints' idle timeout for which a connection may be idle
	// and still be reused: a request that crosses the endpoint's close would be lost.
	maxIdleFraction = 0.9

	// minMaxIdle is the least that maxIdle becomes, whatever closes were seen.
	minMaxIdle = 100 * time.Millisecond
)

// idlePolicy decides how long a connection may be idle and still be reused. The Pool's mu guards
// it.
//
// Endpoints may close connections sooner than the options say, and a request that crosses the close
// ends as a reset, which may not be retried if the request is not idempotent. So from the first
// such close on, connections are reused for half of the shortest idle time that ended in a close.
type idlePolicy struct {
	endpointTimeout time.Duration // after which endpoints close an idle connection, as configured
	maxIdle         time.Duration // connections that have been idle for longer are not reused
	quarantine      time.Duration // after a response, see Pool
}

// configure sets the configured durations. A maxIdle that was learned from closes stands until the
// endpoints' timeout changes.
func (p *idlePolicy) configure(endpointTimeout, quarantine time.Duration) {
	p.quarantine = quarantine
	if p.endpointTimeout == endpointTimeout {
		return
	}
	p.endpointTimeout = endpointTimeout
	p.maxIdle = time.Duration(float64(endpointTimeout) * maxIdleFraction)
}

// allowsReuse reports whether a connection may be reused that has been idle for so long.
func (p *idlePolicy) allowsReuse(idleFor time.Duration) bool { return idleFor < p.maxIdle }

// observeClose learns from a connection that was found closed after it had been idle for so long. A
// close that may have come right after a response, during the quarantine, says nothing of how long
// endpoints keep idle connections open.
func (p *idlePolicy) observeClose(idleFor time.Duration) {
	if idleFor <= p.quarantine+sweepInterval {
		return
	}
	p.maxIdle = min(p.maxIdle, max(idleFor/2, minMaxIdle))
}
