package experiment

import (
	"time"

	"rowancart/balancer"
)

// Site is the emulated service: its balancers, tiers of servers, classes, tenants and limits.
type Site struct {
	Balancers           int // balancer instances before the first tier
	ConfiguredBalancers int // number of these instances according to their settings; 0: Balancers
	NetworkDelay        time.Duration
	NetworkJitter       float64 // maximum deviation from NetworkDelay, either way, as a fraction of it
	Discovery           Discovery
	Classes             []Class
	Tenants             []Tenant
	Tiers               []Tier // from the clients inwards
	Rules               Rules
	Limits              Limits
	MaxAttempts         int // maximum number of attempts for one request; 0: no limit
}

// Discovery says how long a change of an endpoint list takes to reach the instances.
type Discovery struct {
	Delay  time.Duration // until the first instance is notified
	Spread time.Duration // between the notifications of the first and the last instance
}

// Rules are the parameters of the invariants.
type Rules struct {
	ResponseSlack       time.Duration // a final response may come up to this long after the deadline
	DrainGrace          time.Duration // an instance may send to a server for this long after the notification of its drain
	WarmupOverload      float64       // a server that warms up crashes when sent more than this multiple of its capacity
	OverloadWindow      time.Duration // time over which the work sent to such a server is compared with its capacity
	ImproperPeerTimeout time.Duration // a peer that sends no valid request must be disconnected within this time
}

// Limits are the resources that a program under test may use on sockets; 0: no limit.
type Limits struct {
	MemoryMB    int
	Descriptors int
	Cores       float64
}

// Distribution is the distribution of a class's work.
type Distribution string

// The distributions.
const (
	Exponential Distribution = "exponential"
	LogNormal   Distribution = "lognormal"
	Fixed       Distribution = "fixed"
)

// Class is a class of requests.
type Class struct {
	Name                 string
	Idempotency          balancer.Idempotency
	TrafficShare         float64       // share of the requests, relative to the other classes
	Work                 time.Duration // mean, on a core of speed 1, over all tiers
	OffCPUTime           time.Duration // time at the last tier during which no core is used
	Distribution         Distribution
	VariationCoefficient float64       // for LogNormal: standard deviation of the work divided by its mean
	CacheHitRatio        float64       // fraction of requests whose response comes from a cache
	CacheHitWork         time.Duration // work of such a request
	LatencyObjective     time.Duration
	Deadline             time.Duration
	PriorityWeight       float64 // weight of a request in the weighted sums of counters.Counters
}

// Tenant is one of the customers that share the service.
type Tenant struct {
	Name         string
	TrafficShare float64 // share of the requests, relative to the other tenants
	Quota        float64 // requests a second
}

// Tier is a set of servers with the same function.
type Tier struct {
	Name         string
	Servers      int
	WorkFraction float64 // fraction of a request's work that each call to this tier takes
	Calls        int     // calls to the next tier for each request, one after the other
	Kinds        []Kind
	Server       ServerSpec // properties that do not depend on the kind
}

// Kind is a kind of machine on which servers run.
type Kind struct {
	Name       string
	Fraction   float64 // fraction of the tier's servers, relative to the other kinds
	Cores      int
	Speed      float64 // speed of a core, relative to the core to which Class.Work refers
	Slots      int     // maximum number of requests processed at once
	QueueLimit int     // maximum number of requests that wait for a slot; further ones are rejected
}

// ServerSpec holds the properties of a server that do not depend on its kind. A field that is zero
// turns its property off.
type ServerSpec struct {
	// Warm-up: the capacity grows linearly after a start.

	InitialCapacity float64 // fraction of the full capacity
	WarmupTime      time.Duration

	// Overload collapse: a server with a long queue becomes slower and stays slower until it recovers.

	CollapseQueue    float64       // requests per core that may wait for a slot or a core; more are too many
	CollapseAfter    time.Duration // the queue must be too long for this long before the server collapses
	CollapseSlowdown float64       // factor by which the server becomes slower
	RecoveryLoad     float64       // number of requests per core below which the server recovers
	RecoveryAfter    time.Duration // the load must be below RecoveryLoad for this long
	MaxCollapse      time.Duration // the server recovers after this time in any case

	ConnWork        time.Duration // CPU time to accept a connection
	ConnLimit       int           // maximum number of connections
	ConnIdleTimeout time.Duration // the server closes a connection that has been idle for this long

	// Load reports: responses carry the number of requests in flight.

	ReportInterval time.Duration // between refreshes of the load report
	ReportDelay    time.Duration // age of a refresh when responses begin to carry it
	ReportNoise    float64       // standard deviation of the report's noise, as a fraction of the load

	ErrorRate       float64 // fraction of requests that get status 500 without any fault
	CancelStopsWork bool    // canceling an attempt stops its work
}

// Placement is the position of a balancer instance: the tier to which it sends, its index among the
// instances before that tier and the number of those instances.
type Placement struct {
	Tier  int
	Index int
	Count int
}

// ConfiguredPlacement returns the placement according to an instance's settings. It differs from
// the real one if ConfiguredBalancers is set.
func (s Site) ConfiguredPlacement(p Placement) Placement {
	if p.Tier == 0 && s.ConfiguredBalancers > 0 {
		p.Index %= s.ConfiguredBalancers
		p.Count = s.ConfiguredBalancers
	}
	return p
}

// Settings of the balancer that are the same in all experiments.
const (
	MaxRetryAfter = 2 * time.Second // longest Retry-After that an instance may send
	Resolution    = time.Millisecond
)

// Settings returns the balancer's settings for the instance at a placement.
func (s Site) Settings(p Placement, seed uint64) balancer.Settings {
	p = s.ConfiguredPlacement(p)
	server := s.Tiers[p.Tier].Server
	out := balancer.Settings{
		Seed:              seed,
		Instances:         p.Count,
		Index:             p.Index,
		Tier:              p.Tier,
		TiersBelow:        len(s.Tiers) - 1 - p.Tier,
		MaxAttempts:       s.MaxAttempts,
		CancelAllowed:     true,
		Resolution:        Resolution,
		SlowStartCapacity: server.InitialCapacity,
		SlowStartWindow:   server.WarmupTime,
		MaxRetryAfter:     MaxRetryAfter,
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, balancer.Class{Name: c.Name, Idempotency: c.Idempotency,
			LatencyObjective: c.LatencyObjective})
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return out
}

// TierIndex returns the index of the tier called name, or -1 if there is none.
func (s Site) TierIndex(name string) int {
	for i, t := range s.Tiers {
		if t.Name == name {
			return i
		}
	}
	return -1
}
