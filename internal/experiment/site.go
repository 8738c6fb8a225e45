package experiment

import (
	"time"

	"rowancart/balancer"
)

// Site is the service under test.
type Site struct {
	Balancers           int // instances before the first tier
	ConfiguredBalancers int // how many their settings say there are; 0: Balancers
	NetworkDelay        time.Duration
	NetworkJitter       float64 // fraction of NetworkDelay by which a delay differs at most, either way
	Discovery           Discovery
	Classes             []Class
	Tenants             []Tenant
	Tiers               []Tier // from the clients inwards
	Rules               Rules
	Limits              Limits
	MaxAttempts         int // for one request
}

// Discovery says how long a change of an endpoint list takes to reach the instances.
type Discovery struct {
	Delay  time.Duration // to the first instance
	Spread time.Duration // from the first to the last
}

// Rules are the parameters of the invariants.
type Rules struct {
	ResponseSlack       time.Duration // a final response is in time up to this long after the deadline
	DrainGrace          time.Duration // for which an instance may send to a server after it was notified of its drain
	WarmupOverload      float64       // a warming server crashes when sent more than this multiple of its capacity
	OverloadWindow      time.Duration // within this time
	ImproperPeerTimeout time.Duration // a peer that sends no proper request must be disconnected within this time
}

// Limits are what a program under test may use on sockets; 0 stands for no limit.
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
	TrafficShare         float64       // relative to the other classes
	Work                 time.Duration // mean, on a core of speed 1, over all tiers
	OffCPUTime           time.Duration // spent at the last tier without using a core
	Distribution         Distribution
	VariationCoefficient float64 // standard deviation of the work over its mean, for LogNormal
	CacheHitRatio        float64 // fraction of requests that a cache answers
	CacheHitWork         time.Duration
	LatencyObjective     time.Duration
	Deadline             time.Duration
	PriorityWeight       float64
}

// Tenant is one of the parties that share the service.
type Tenant struct {
	Name         string
	TrafficShare float64 // relative to the other tenants
	Quota        float64 // requests a second
}

// Tier is a set of servers with the same function.
type Tier struct {
	Name         string
	Servers      int
	WorkFraction float64 // of a request's work, for each call
	Calls        int     // calls to the next tier for each request, one after another
	Kinds        []Kind
	Server       ServerSpec // what all kinds have in common
}

// Kind is a kind of machine.
type Kind struct {
	Name       string
	Fraction   float64 // of the tier's servers, relative to the other kinds
	Cores      int
	Speed      float64 // of a core, relative to the core that Class.Work is given for
	Slots      int     // requests processed at once
	QueueLimit int     // requests that may wait for a slot; more are rejected
}

// ServerSpec holds the properties of a server that do not depend on its kind. A zero value turns
// the property off.
type ServerSpec struct {
	// Warm-up: capacity grows linearly after a start.

	InitialCapacity float64 // fraction of the full capacity
	WarmupTime      time.Duration

	// Overload collapse: a server with long queues becomes slower, and stays so until it recovers.

	CollapseQueue    float64       // waiting requests per core
	CollapseAfter    time.Duration // that many must wait for this long
	CollapseSlowdown float64       // how many times slower the server becomes
	RecoveryLoad     float64       // requests per core, below which it recovers
	RecoveryAfter    time.Duration // load must be below RecoveryLoad for this long
	MaxCollapse      time.Duration // it recovers after this in any case

	ConnWork        time.Duration // CPU time to accept a connection
	ConnLimit       int
	ConnIdleTimeout time.Duration // the server closes a connection that has been idle for this long

	ReportInterval time.Duration // between refreshes of the load report
	ReportDelay    time.Duration // age of a refresh when responses begin to carry it
	ReportNoise    float64       // standard deviation, as a fraction of the load

	ErrorRate       float64 // fraction of requests answered 500 without any fault
	CancelStopsWork bool    // canceling an attempt stops its work
}

// Placement says to which tier an instance sends, and which of how many instances before it this
// is.
type Placement struct {
	Tier  int
	Index int
	Count int
}

// ConfiguredPlacement returns the placement that an instance's settings name.
func (s Site) ConfiguredPlacement(p Placement) Placement {
	if p.Tier == 0 && s.ConfiguredBalancers > 0 {
		p.Index %= s.ConfiguredBalancers
		p.Count = s.ConfiguredBalancers
	}
	return p
}

// Settings of the design that are the same in all experiments.
const (
	MaxRetryAfter = 2 * time.Second // longest Retry-After that an instance may send
	Resolution    = time.Millisecond
)

// Settings returns the balancer's settings for an instance.
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

// TierIndex returns the index of a tier by name, or -1.
func (s Site) TierIndex(name string) int {
	for i, t := range s.Tiers {
		if t.Name == name {
			return i
		}
	}
	return -1
}
