// Package baseline implements textbook load-balancing policies, with which experiments compare the
// project's own policy. Each uses the interfaces of the decision module (balancer.Events and
// balancer.Host) and retries failed requests, except requests that may have run and are not
// idempotent. The policies differ only in how they choose an endpoint.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rowancart/balancer"
)

// Names lists the policies that New accepts.
var Names = []string{"random", "round_robin", "least_outstanding", "two_choices", "peak_ewma"}

// endpoint is an endpoint of the endpoint list.
type endpoint struct {
	balancer.Endpoint
	outstanding int     // attempts without an outcome
	cost        float64 // peak-sensitive moving average of latency, in seconds
	costUpdated time.Duration
}

// request is a request that has not been finished.
type request struct {
	balancer.Request
	idempotency balancer.Idempotency
	tried       []*endpoint // endpoints of the attempts so far, in order
	mayHaveRun  bool
}

// Policy is one instance of a policy. It is not safe for concurrent use.
type Policy struct {
	settings    balancer.Settings
	host        balancer.Host
	rng         *rand.Rand
	choose      chooser
	idempotency map[string]balancer.Idempotency // by class
	endpoints   []*endpoint
	ready       []*endpoint
	byName      map[string]*endpoint
	requests    map[string]*request
	next        int // for round_robin: choices so far plus a random start; modulo the candidates it is the index
}

var _ balancer.Events = (*Policy)(nil)

// New returns an instance of the policy called name. If the name is unknown, the error lists all
// names.
func New(name string, s balancer.Settings, h balancer.Host) (*Policy, error) {
	p := &Policy{
		settings:    s,
		host:        h,
		rng:         rand.New(rand.NewPCG(s.Seed, 2)),
		idempotency: map[string]balancer.Idempotency{},
		byName:      map[string]*endpoint{},
		requests:    map[string]*request{},
	}
	for _, c := range s.Classes {
		p.idempotency[c.Name] = c.Idempotency
	}
	switch name {
	case "random":
		p.choose = p.chooseRandom
	case "round_robin":
		p.next = p.rng.IntN(1 << 20) // so that instances do not all start at the same endpoint
		p.choose = p.chooseRoundRobin
	case "least_outstanding":
		p.choose = p.chooseLeastOutstanding
	case "two_choices":
		p.choose = p.powerOfTwo(func(_ time.Duration, e *endpoint) float64 { return float64(e.outstanding) })
	case "peak_ewma":
		p.choose = p.powerOfTwo(peakEWMA)
	default:
		return nil, fmt.Errorf("policy %q is not one of %v", name, Names)
	}
	return p, nil
}

// EndpointList implements balancer.Events.
func (p *Policy) EndpointList(_ time.Duration, l balancer.EndpointList) {
	if l.Failed {
		return
	}
	if l.Complete {
		for _, e := range p.endpoints {
			e.State = balancer.Removed
		}
	}
	for _, entry := range l.Entries {
		e := p.byName[entry.ID]
		if e == nil {
			e = &endpoint{}
			p.byName[entry.ID] = e
			p.endpoints = append(p.endpoints, e)
		}
		if entry.Started > e.Started {
			e.cost = 0
		}
		e.Endpoint = entry
	}
	p.endpoints = slices.DeleteFunc(p.endpoints, func(e *endpoint) bool {
		if e.State == balancer.Removed {
			delete(p.byName, e.ID)
		}
		return e.State == balancer.Removed
	})
	p.ready = p.ready[:0]
	for _, e := range p.endpoints {
		if e.State == balancer.Ready {
			p.ready = append(p.ready, e)
		}
	}
}

// Request implements balancer.Events. A request of an unknown class is treated as non-idempotent.
func (p *Policy) Request(now time.Duration, r balancer.Request) {
	idempotency, ok := p.idempotency[r.Class]
	if !ok {
		idempotency = balancer.NonIdempotent
	}
	req := &request{Request: r, idempotency: idempotency}
	p.requests[r.ID] = req
	p.attempt(now, req)
}

// attempt sends a request, if possible to an endpoint to which it has not been sent before. It
// finishes the request if there is no endpoint, no time left or no attempt allowed.
func (p *Policy) attempt(now time.Duration, r *request) {
	candidates := p.ready
	if len(r.tried) > 0 {
		tried := func(e *endpoint) bool { return slices.Contains(r.tried, e) }
		candidates = slices.DeleteFunc(slices.Clone(candidates), tried)
		if len(candidates) == 0 {
			candidates = p.ready
		}
	}
	if len(candidates) == 0 || !p.maySend(r) || now >= r.Deadline-p.settings.Resolution {
		p.finish(r)
		return
	}
	e := p.choose(now, candidates)
	e.outstanding++
	r.tried = append(r.tried, e)
	p.host.Send(r.ID, e.ID, r.Deadline-now)
}

// maySend reports whether another attempt of a request is allowed. The first one always is.
func (p *Policy) maySend(r *request) bool {
	if len(r.tried) == 0 {
		return true
	}
	attemptsLeft := p.settings.MaxAttempts <= 0 || len(r.tried) < p.settings.MaxAttempts
	return attemptsLeft && (r.idempotency == balancer.Idempotent || !r.mayHaveRun)
}

// finish ends a request that was not served. It fails a request that may have run and is not
// idempotent, and rejects any other.
func (p *Policy) finish(r *request) {
	delete(p.requests, r.ID)
	switch {
	case r.idempotency != balancer.Idempotent && r.mayHaveRun:
		p.host.Fail(r.ID, balancer.MayHaveRun)
	case len(p.ready) == 0:
		p.host.Reject(r.ID, balancer.NoEndpoint, 0)
	default:
		p.host.Reject(r.ID, balancer.AttemptsExhausted, 0)
	}
}

// Outcome implements balancer.Events.
func (p *Policy) Outcome(now time.Duration, o balancer.Outcome) {
	r := p.requests[o.ID]
	if r == nil || o.Attempt >= len(r.tried) {
		return
	}
	e := r.tried[o.Attempt]
	e.outstanding--
	e.updateCost(now, o)
	if o.Final || o.Result == balancer.OK {
		delete(p.requests, o.ID)
		return
	}
	if !provablyNotRun(o.Result) {
		r.mayHaveRun = true
	}
	p.attempt(now, r)
}

// provablyNotRun reports whether the result of an attempt proves that it did not run.
func provablyNotRun(r balancer.Result) bool {
	return r == balancer.Rejected || r == balancer.ConnectFailed || r == balancer.NotSent
}

// ClientDisconnected implements balancer.Events. It does nothing: the attempt in flight counts as
// outstanding until its outcome arrives.
func (p *Policy) ClientDisconnected(time.Duration, string) {}

// StreamStarted implements balancer.Events.
func (p *Policy) StreamStarted(time.Duration, string, int) {}

// Timer implements balancer.Events.
func (p *Policy) Timer(time.Duration) {}
