package connpool

import "time"

const (
	// maxIdleFraction is the fraction of the endpoints' idle timeout up to which an idle connection
	// is reused. After that, the endpoint may close it while a request is on its way, and the request
	// would be lost.
	maxIdleFraction = 0.9

	// minMaxIdle limits how far early closes by endpoints reduce maxIdle.
	minMaxIdle = 100 * time.Millisecond
)

// idlePolicy decides how long a connection may have been idle and still be reused. The Pool's mu
// guards it.
//
// Endpoints may close idle connections sooner than configured. A request that is on its way while
// the endpoint closes the connection ends in a reset, and if it is not idempotent it must not be
// retried. Therefore, once an endpoint has closed a connection early, connections are reused only
// for half of the shortest idle time after which a close was found.
type idlePolicy struct {
	endpointTimeout time.Duration // after which endpoints close an idle connection, as configured
	maxIdle         time.Duration // connections that have been idle for this time or longer are not reused
	quarantine      time.Duration // how long a connection is not reused after a response, see Pool
}

// configure sets the configured durations. A maxIdle that was learned from closes is kept until
// endpointTimeout changes.
func (p *idlePolicy) configure(endpointTimeout, quarantine time.Duration) {
	p.quarantine = quarantine
	if p.endpointTimeout == endpointTimeout {
		return
	}
	p.endpointTimeout = endpointTimeout
	p.maxIdle = time.Duration(float64(endpointTimeout) * maxIdleFraction)
}

// allowsReuse reports whether a connection that has been idle for idleFor may be reused.
func (p *idlePolicy) allowsReuse(idleFor time.Duration) bool { return idleFor < p.maxIdle }

// observeClose learns from a connection that was found closed after it had been idle for idleFor.
// It ignores a close that may have come right after a response, during the quarantine: such a close
// does not show how long endpoints keep idle connections open.
func (p *idlePolicy) observeClose(idleFor time.Duration) {
	if idleFor <= p.quarantine+sweepInterval {
		return
	}
	p.maxIdle = min(p.maxIdle, max(idleFor/2, minMaxIdle))
}
