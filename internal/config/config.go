// Package config parses and validates the daemon's configuration file, which is written in HCL, and
// represents it as an immutable Config. docs/daemon.md describes the file format. The error for an
// invalid file is an hcldecode.ErrorList.
package config

import (
	"time"

	"rowancart/balancer"
	"rowancart/internal/ratelimit"
	"rowancart/internal/route"
)

// Config is a validated configuration.
type Config struct {
	File      string // path of the file
	Text      []byte // contents of the file
	Admin     string // address of the admin interface, host:port or unix:PATH; empty: none
	Fleet     Fleet
	Snapshot  Snapshot
	Limits    Limits
	Listeners []Listener
	Classes   []Class
	Tenants   []balancer.Tenant
	Pools     []Pool
	Routes    []Route
	Warnings  []string // one line for each block that is valid but probably a mistake
}

// Fleet identifies this instance within its fleet.
type Fleet struct {
	Instances int
	Index     int    // from 0 to Instances-1
	Name      string // identifies an instance that has no index; empty: Index identifies it
}

// Snapshot configures the file in which the daemon saves its learned state for its successor.
type Snapshot struct {
	Path     string        // path of the file; empty: learned state is not saved
	Interval time.Duration // time between periodic snapshots; one more is saved at a handover and one at shutdown
	MaxAge   time.Duration // a snapshot older than this is not restored
}

// Limits bound the resources of the process.
type Limits struct {
	Memory          int64         // in bytes
	MaxConns        int           // maximum number of open client connections, over all listeners
	StopTimeout     time.Duration // maximum time for draining at shutdown
	HandoverTimeout time.Duration // time within which a successor must begin to serve; otherwise it is terminated
}

// Listener is an address on which the daemon serves clients.
type Listener struct {
	Name, Address string
}

// Class is a class of requests.
type Class struct {
	Name             string
	Idempotency      balancer.Idempotency
	KeyScope         balancer.KeyScope // endpoints that share their record of idempotency keys
	KeyWindow        time.Duration     // time for which endpoints drop duplicates of an idempotency key
	LatencyObjective time.Duration
	PriorityWeight   float64 // weight of a request in the metric rowancart_worth_total
}

// Pool is a set of equivalent endpoints.
type Pool struct {
	Name              string
	Source            EndpointSource
	Subset            int           // number of endpoints that one instance sends to; 0: all
	MaxConns          int           // maximum number of open connections, over all endpoints of the pool
	ConnIdleTimeout   time.Duration // after which endpoints close an idle connection; 0: the connection pool's default
	DialTimeout       time.Duration // 0: the connection pool's default
	SlowStartCapacity float64       // capacity of a new endpoint, as a fraction of its full one
	SlowStartWindow   time.Duration // time after which a started endpoint has its full capacity
	SlowStartShare    float64       // see balancer.Settings.SlowStartShare
	RetryBudget       balancer.RetryBudget
	TiersBelow        int // see balancer.Settings.TiersBelow
}

// EndpointSource says where a pool's endpoint list comes from. Exactly one field is set.
type EndpointSource struct {
	Static   []Endpoint
	File     string // path of a JSON file
	Platform string // host:port of the platform's service discovery
}

// Endpoint is an endpoint listed in the configuration.
type Endpoint struct {
	ID, Address, Zone, Kind string
	Cell                    int
}

// Route specifies which requests it matches, which pool serves them, and under which policy.
type Route struct {
	Name         string
	Match        route.Match
	Listeners    []string // names of the listeners that serve the route; empty: all
	Class        Class
	Pool         string // name of the pool
	TenantHeader string // name of the header that identifies a request's tenant
	Policy       Policy
	Origins      map[string]string // where the value of each policy attribute was set, by attribute name
}

// Policy limits the requests of a route. balancer.Class documents most of these fields.
type Policy struct {
	ClientTimeout     time.Duration // for requests that carry no timeout of their own
	RequestTimeout    time.Duration // longest time for a request, regardless of the timeout it carries
	AttemptTimeout    time.Duration // 0: an attempt may last as long as its request
	MaxAttempts       int
	Retry             RetryMode
	HedgeAfter        time.Duration // time without a response until a request is hedged; 0: not used
	HedgePercentile   float64       // percentile of the latency after which a request is hedged; 0: not used
	QueueLimit        int           // requests that may wait for capacity; 0: none; below 0: no limit
	Rate              ratelimit.Rate
	Concurrency       int // 0: no limit
	TenantRate        ratelimit.Rate
	TenantConcurrency int // 0: no limit
}

// RetryMode says after which failures a request may be retried.
type RetryMode string

// The retry modes, as they are written in the file.
const (
	RetryIfNotRun RetryMode = "not_run"   // only if the endpoint certainly did not run the failed attempt
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

// BalancerClass converts the route's class and policy to a balancer.Class with this name.
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

// balancerQueueLimit converts Policy.QueueLimit to balancer.Class.QueueLimit, in which 0 means no
// limit and a negative number means that no request may wait.
func balancerQueueLimit(limit int) int {
	switch {
	case limit == 0:
		return -1
	case limit < 0:
		return 0
	}
	return limit
}

// The levels of idempotency, as values of the attribute "effect" of a class.
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

// idempotencyName returns the value of "effect" for a level of idempotency, or "" if there is none.
func idempotencyName(i balancer.Idempotency) string {
	for name, idempotency := range idempotencyByName {
		if idempotency == i {
			return name
		}
	}
	return ""
}
