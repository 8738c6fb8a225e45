// Package baseline has textbook balancing policies to compare the project's own with. Each speaks the module's interface,
// balancer.Events and balancer.Host, keeps the rule against double effects, and repeats what may be repeated. They
// differ only in how they choose.
package baseline

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rowancart/balancer"
)

// Names lists the policies.
var Names = []string{"random", "round_robin", "least_outstanding", "two_choices", "peak_ewma"}

// costDecay is the time over which peak_ewma forgets a peak (Finagle's default).
const costDecay = 10 * time.Second

type endpoint struct {
	balancer.Endpoint
	outstanding int
	cost        float64 // peak-sensitive average of answer times, seconds
	costUpdated time.Duration
}

type request struct {
	balancer.Request
	repeat     balancer.Repeatability
	tried      []*endpoint
	mayHaveRun bool
}

// Policy is one instance. It is not safe for concurrent use.
type Policy struct {
	settings      balancer.Settings
	host          balancer.Host
	rng           *rand.Rand
	choose        func(now time.Duration, among []*endpoint) *endpoint
	repeatability map[string]balancer.Repeatability
	endpoints     []*endpoint
	ready         []*endpoint
	byName        map[string]*endpoint
	requests      map[string]*request
	next          int
}

var _ balancer.Events = (*Policy)(nil)

// New returns an instance of the policy named, or an error that lists the names.
func New(name string, s balancer.Settings, h balancer.Host) (*Policy, error) {
	p := &Policy{settings: s, host: h, rng: rand.New(rand.NewPCG(s.Seed, 2)), repeatability: map[string]balancer.Repeatability{},
		byName: map[string]*endpoint{}, requests: map[string]*request{}}
	for _, c := range s.Classes {
		p.repeatability[c.Name] = c.Repeat
	}
	switch name {
	case "random":
		p.choose = func(_ time.Duration, candidates []*endpoint) *endpoint {
			return candidates[p.rng.IntN(len(candidates))]
		}
	case "round_robin":
		p.next = p.rng.IntN(1 << 20) // instances must not go round in step
		p.choose = func(_ time.Duration, candidates []*endpoint) *endpoint {
			p.next++
			return candidates[p.next%len(candidates)]
		}
	case "least_outstanding":
		p.choose = func(_ time.Duration, candidates []*endpoint) *endpoint {
			start := p.rng.IntN(len(candidates)) // ties go to no one in particular
			best := candidates[start]
			for i := range candidates {
				if e := candidates[(start+i)%len(candidates)]; e.outstanding < best.outstanding {
					best = e
				}
			}
			return best
		}
	case "two_choices":
		p.choose = p.powerOfTwo(func(_ time.Duration, e *endpoint) float64 { return float64(e.outstanding) })
	case "peak_ewma":
		p.choose = p.powerOfTwo(func(now time.Duration, e *endpoint) float64 {
			cost := e.cost * math.Exp(-float64(now-e.costUpdated)/float64(costDecay))
			if cost == 0 && e.outstanding > 0 { // nothing known yet: one at a time
				return math.MaxFloat64 / 2
			}
			return cost * float64(e.outstanding+1)
		})
	default:
		return nil, fmt.Errorf("policy %q is none of %v", name, Names)
	}
	return p, nil
}

// powerOfTwo draws two and takes the one of lower cost.
func (p *Policy) powerOfTwo(cost func(time.Duration, *endpoint) float64) func(time.Duration, []*endpoint) *endpoint {
	return func(now time.Duration, candidates []*endpoint) *endpoint {
		a := candidates[p.rng.IntN(len(candidates))]
		if len(candidates) == 1 {
			return a
		}
		b := candidates[p.rng.IntN(len(candidates))]
		for b == a {
			b = candidates[p.rng.IntN(len(candidates))]
		}
		if cost(now, b) < cost(now, a) {
			return b
		}
		return a
	}
}

// EndpointList implements balancer.Events.
func (p *Policy) EndpointList(now time.Duration, l balancer.EndpointList) {
	if l.Failed {
		return
	}
	if l.Complete {
		for _, e := range p.endpoints {
			e.State = balancer.Gone
		}
	}
	for _, in := range l.Entries {
		e := p.byName[in.ID]
		if e == nil {
			e = &endpoint{}
			p.byName[in.ID] = e
			p.endpoints = append(p.endpoints, e)
		}
		if in.Started > e.Started {
			e.cost = 0
		}
		e.Endpoint = in
	}
	p.endpoints = slices.DeleteFunc(p.endpoints, func(e *endpoint) bool {
		if e.State == balancer.Gone {
			delete(p.byName, e.ID)
		}
		return e.State == balancer.Gone
	})
	p.ready = p.ready[:0]
	for _, e := range p.endpoints {
		if e.State == balancer.Ready {
			p.ready = append(p.ready, e)
		}
	}
}

// Request implements balancer.Events.
func (p *Policy) Request(now time.Duration, r balancer.Request) {
	effect, ok := p.repeatability[r.Class]
	if !ok {
		effect = balancer.NonIdempotent
	}
	q := &request{Request: r, repeat: effect}
	p.requests[r.ID] = q
	p.attempt(now, q)
}

// attempt sends a request to one that it has not met, if there is any, or else returns the final answer.
func (p *Policy) attempt(now time.Duration, q *request) {
	candidates := p.ready
	if len(q.tried) > 0 {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(e *endpoint) bool { return slices.Contains(q.tried, e) })
		if len(candidates) == 0 {
			candidates = p.ready
		}
	}
	may := len(q.tried) == 0 || (p.settings.MaxAttempts <= 0 || len(q.tried) < p.settings.MaxAttempts) && (q.repeat == balancer.Idempotent || !q.mayHaveRun)
	if len(candidates) == 0 || !may || now >= q.Deadline-p.settings.Resolution {
		p.finish(q)
		return
	}
	e := p.choose(now, candidates)
	e.outstanding++
	q.tried = append(q.tried, e)
	p.host.Send(q.ID, e.ID, q.Deadline-now)
}

func (p *Policy) finish(q *request) {
	delete(p.requests, q.ID)
	switch {
	case q.repeat != balancer.Idempotent && q.mayHaveRun:
		p.host.Fail(q.ID, balancer.MayHaveRun)
	case len(p.ready) == 0:
		p.host.Reject(q.ID, balancer.NoEndpoint, 0)
	default:
		p.host.Reject(q.ID, balancer.AttemptsExhausted, 0)
	}
}

// Outcome implements balancer.Events.
func (p *Policy) Outcome(now time.Duration, o balancer.Outcome) {
	q := p.requests[o.ID]
	if q == nil || o.Attempt >= len(q.tried) {
		return
	}
	e := q.tried[o.Attempt]
	e.outstanding--
	if took := o.Latency.Seconds(); o.Result != balancer.Canceled && o.Result != balancer.NotSent {
		if o.Result != balancer.OK {
			took = max(took, 1)
		}
		old := math.Exp(-float64(now-e.costUpdated) / float64(costDecay))
		e.cost = max(took, e.cost*old+took*(1-old))
		e.costUpdated = now
	}
	switch {
	case o.Final || o.Result == balancer.OK:
		delete(p.requests, o.ID)
	default:
		switch o.Result {
		case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent:
		default:
			q.mayHaveRun = true
		}
		p.attempt(now, q)
	}
}

// ClientLeft implements balancer.Events. The attempt that is out keeps its place until its outcome comes.
func (p *Policy) ClientLeft(time.Duration, string) {}

// StreamStarted implements balancer.Events.
func (p *Policy) StreamStarted(time.Duration, string, int) {}

// Timer implements balancer.Events.
func (p *Policy) Timer(time.Duration) {}
