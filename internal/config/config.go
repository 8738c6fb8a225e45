// Package config is the daemon's configuration: a language in HCL, its validation, and the
// immutable value that a valid file makes. docs/daemon.md describes the language. The error for an
// invalid file is an hcldecode.ErrorList.
package config

import (
	"time"

	"rowancart/balancer"
	"rowancart/internal/ratelimit"
	"rowancart/internal/route"
)

// Config is a valid configuration.
type Config struct {
	File      string
	Text      []byte // of the file
	Admin     string // host:port, or unix: and a path; empty: no admin interface
	Fleet     Fleet
	Snapshot  Snapshot
	Limits    Limits
	Listeners []Listener
	Classes   []Class
	Tenants   []balancer.Tenant
	Pools     []Pool
	Routes    []Route
	Warnings  []string // one line for each part that is valid but probably unintended
}

// Fleet identifies this instance among those of its fleet.
type Fleet struct {
	Instances int
	Index     int    // from 0
	Name      string // identifies an instance that has no index; empty: Index does
}

// Snapshot configures the file in which a daemon saves its learned state, for its successor.
type Snapshot struct {
	Path     string        // of the file; empty: nothing is saved
	Interval time.Duration // between two snapshots; there is one more at the end
	MaxAge   time.Duration // an older snapshot is not used
}

// Limits bound the resources of the process.
type Limits struct {
	Memory          int64         // bytes
	MaxConns        int           // clients' connections, over all listeners
	StopTimeout     time.Duration // for draining
	HandoverTimeout time.Duration // after which a successor that does not serve is ended
}

// Listener is an address at which clients are served.
type Listener struct {
	Name, Address string
}

// Class is a class of requests.
type Class struct {
	Name             string
	Idempotency      balancer.Idempotency
	KeyScope         balancer.KeyScope // within which an endpoint drops repeats of an idempotency key
	KeyWindow        time.Duration     // for how long it drops them
	LatencyObjective time.Duration
	PriorityWeight   float64
}

// Pool is a set of equivalent endpoints.
type Pool struct {
	Name              string
	Source            EndpointSource
	Subset            int           // endpoints that one instance sends to; 0: all
	MaxConns          int           // open at once, to all endpoints of the pool
	ConnIdleTimeout   time.Duration // after which endpoints close an idle connection
	DialTimeout       time.Duration
	SlowStartCapacity float64 // of a new endpoint, as a fraction of its full one
	SlowStartWindow   time.Duration
	SlowStartShare    float64 // see balancer.Settings.SlowStartShare
	RetryBudget       balancer.RetryBudget
	TiersBelow        int // see balancer.Settings.TiersBelow
}

// EndpointSource is the source of a pool's endpoint list. Exactly one field is set.
type EndpointSource struct {
	Static   []Endpoint
	File     string // path of a JSON file
	Platform string // host:port of the platform's discovery
}

// Endpoint is an endpoint listed in the configuration.
type Endpoint struct {
	ID, Address, Zone, Kind string
	Cell                    int
}

// Route matches requests, and says which pool serves them under which policy.
type Route struct {
	Name         string
	Match        route.Match
	Listeners    []string // empty: all
	Class        Class
	Pool         string
	TenantHeader string // names a request's tenant
	Policy       Policy
	Origins      map[string]string // for each attribute of the policy, where its value was set
}

// Policy bounds the requests of a route. balancer.Class documents most of its fields.
type Policy struct {
	ClientTimeout     time.Duration // of requests that name no deadline
	RequestTimeout    time.Duration
	AttemptTimeout    time.Duration // 0: the request's
	MaxAttempts       int
	Retry             RetryMode
	HedgeAfter        time.Duration // 0: no hedged request after a fixed time
	HedgePercentile   float64       // 0: no hedged request after a percentile of the latency
	QueueLimit        int           // requests that may wait for capacity; below 0: any number
	Rate              ratelimit.Rate
	Concurrency       int // 0: no limit
	TenantRate        ratelimit.Rate
	TenantConcurrency int // 0: no limit
}

// RetryMode limits the failures after which a request is retried.
type RetryMode string

// The retry modes, by their names in the file.
const (
	RetryIfNotRun RetryMode = "not_run"   // only after attempts that provably never ran
	RetryAfterRun RetryMode = "after_run" // after any failure
)

// Limits returns the rate and concurrency limits of a policy.
func (p Policy) Limits() ratelimit.Limits {
	return ratelimit.Limits{
		Rate:              p.Rate,
		Concurrency:       p.Concurrency,
		TenantRate:        p.TenantRate,
		TenantConcurrency: p.TenantConcurrency,
	}
}

// BalancerClass returns the route's class, with its policy, as the balancer takes it.
func (r Route) BalancerClass(name string) balancer.Class {
	p, c := r.Policy, r.Class
	return balancer.Class{
		Name:             name,
		Work:             c.Name,
		Idempotency:      c.Idempotency,
		KeyScope:         c.KeyScope,
		KeyWindow:        c.KeyWindow,
		LatencyObjective: c.LatencyObjective,
		AttemptTimeout:   p.AttemptTimeout,
		MaxAttempts:      p.MaxAttempts,
		NeverRerun:       p.Retry == RetryIfNotRun,
		HedgeAfter:       p.HedgeAfter,
		HedgeQuantile:    p.HedgePercentile / 100,
		QueueLimit:       balancerQueueLimit(p.QueueLimit),
	}
}

// balancerQueueLimit translates a queue limit to the balancer's terms, in which 0 is no limit and a
// negative one no queue.
func balancerQueueLimit(limit int) int {
	switch {
	case limit == 0:
		return -1
	case limit < 0:
		return 0
	}
	return limit
}

// The names of idempotency in the file, as values of a class's "effect".
const (
	nameIdempotent    = "safe"
	nameKeyed         = "keyed"
	nameNonIdempotent = "unsafe"
)

var idempotencyByName = map[string]balancer.Idempotency{
	nameIdempotent:    balancer.Idempotent,
	nameKeyed:         balancer.IdempotencyKeyed,
	nameNonIdempotent: balancer.NonIdempotent,
}

// idempotencyName returns the name in the file.
func idempotencyName(i balancer.Idempotency) string {
	for name, idempotency := range idempotencyByName {
		if idempotency == i {
			return name
		}
	}
	return ""
}
