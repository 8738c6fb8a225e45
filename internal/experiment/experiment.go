// Package experiment describes experiments: a service of stand-in boxes in tiers, the load on it, what goes wrong and what is
// to be compared. It holds values only; box has the model of a box, virtual and rig play an experiment, ledger judges
// it and report words it.
package experiment

import (
	"time"

	"rowancart/balancer"
)

// DesignPolicy is the name of the decision module, package balancer, among the policies of experiment files.
const DesignPolicy = "tuliprock"

// Experiment is one question put to the lab.
type Experiment struct {
	Name     string
	Question string
	Duration time.Duration // arrivals come for this long; what has come is played to its end
	Warmup   time.Duration // requests that arrive in it are played and judged, but left out of the figures
	Seeds    []uint64      // one repeat for each
	Virtual  bool          // in virtual time unless asked otherwise
	Site     Site
	Load     Load
	Faults   []Fault
	Variants []Variant
	Expect   []Expectation
	Settings map[string]string // variables as they were set for this play
}

// Site is the service under test.
type Site struct {
	Balancers           int // instances before the first tier
	ConfiguredBalancers int // how many they are told that they are; 0: the truth
	NetworkDelay        time.Duration
	NetworkJitter       float64 // of Delay, either way
	Discovery           Discovery
	Classes             []Class
	Tenants             []Tenant
	Tiers               []Tier // from the clients inwards
	Rules               Rules
	Limits              Limits
	MaxAttempts         int // allowed for one request
}

// Discovery says how late the list of boxes is.
type Discovery struct {
	Delay  time.Duration // from a change to the first instance told
	Spread time.Duration // and to the last
}

// Rules are the figures by which the ledger judges.
type Rules struct {
	ResponseSlack       time.Duration // a final answer counts this long after the deadline
	DrainGrace          time.Duration // sends to a box told to drain or be gone may go on for this long
	WarmupOverload      float64       // a cold box falls over when sent more than this multiple of its present capacity
	OverloadWindow      time.Duration // within this time
	ImproperPeerTimeout time.Duration // an improper peer is owed an end within this time
}

// Limits are what a program under test may use on sockets; 0 stands for no limit.
type Limits struct {
	MemoryMB    int
	Descriptors int
	Cores       float64
}

// Class is a class of requests.
type Class struct {
	Name                 string
	Repeat               balancer.Repeatability
	TrafficShare         float64       // of all requests
	Work                 time.Duration // mean, on a core of speed 1, over all tiers
	OffCPUTime           time.Duration // spent at the last tier without using a core
	Distribution         Distribution
	VariationCoefficient float64       // coefficient of variation, for LogNormal
	CacheHitRatio        float64       // share of the requests that find their answer ready,
	CacheHitWork         time.Duration // and take this work instead
	LatencyObjective     time.Duration
	Deadline             time.Duration
	PriorityWeight       float64
}

// Distribution is the distribution of work.
type Distribution string

// The distributions.
const (
	Exponential Distribution = "exponential"
	LogNormal   Distribution = "lognormal"
	Fixed       Distribution = "fixed"
)

// Tenant is one of the parties that share the service.
type Tenant struct {
	Name         string
	TrafficShare float64 // of all requests
	Quota        float64 // requests a second within its share
}

// Tier is a row of boxes that do the same.
type Tier struct {
	Name         string
	Servers      int
	WorkFraction float64 // share of a request's work done here, for each call
	Calls        int     // calls to the next tier for each request, one after another
	Kinds        []Kind
	Server       ServerSpec // what all kinds have in common
}

// Kind is a sort of machine.
type Kind struct {
	Name       string
	Fraction   float64 // of the tier's boxes
	Cores      int
	Speed      float64 // of a core, 1 being the yardstick
	Slots      int     // requests in work at once
	QueueLimit int     // and waiting, beyond which it turns away
}

// ServerSpec holds a box's further figures; a zero turns off what it describes.
type ServerSpec struct {
	InitialCapacity  float64       // share of its capacity at the start
	WarmupTime       time.Duration // until all of it
	CollapseQueue    float64       // requests waiting per core
	CollapseAfter    time.Duration // for this long make it
	CollapseSlowdown float64       // this many times slower
	RecoveryLoad     float64       // until it holds fewer than this per core
	RecoveryAfter    time.Duration // for this long,
	MaxCollapse      time.Duration // or this has passed
	ConnWork         time.Duration // a new connection's work
	ConnLimit        int
	ConnIdleTimeout  time.Duration // an idle connection is closed after this
	ReportInterval   time.Duration // load reports are refreshed this often,
	ReportDelay      time.Duration // come this late
	ReportNoise      float64       // and are off by this share
	ErrorRate        float64       // answers 500 in ordinary times
	CancelStopsWork  bool          // an attempt that is called off stops its work
}

// Load is what clients ask.
type Load struct {
	Rate     float64 // requests a second
	Process  string  // poisson, steady or recorded
	Recorded []time.Duration
	Steps    []Step
	Clients  Clients
}

// Step changes the rate from an instant on.
type Step struct {
	At     time.Duration
	Factor float64 // of Load.Rate
}

// Clients says how clients behave.
type Clients struct {
	MinPatience     float64 // share of a class's deadline that a client waits at least
	Retries         int
	RetryWait       time.Duration // before a retry, doubled each time; 0: at once
	HonorRetryAfter bool          // clients heed Retry-After
	DisconnectRate  float64       // share of clients that leave early, without a word
}

// FaultKind names what goes wrong.
type FaultKind string

// The faults. Those in the second group need sockets.
const (
	FastErrors         FaultKind = "fast_errors"   // boxes answer 500 at once, with chance Size
	NoisyNeighbour     FaultKind = "neighbour"     // another program takes Size of a box, on and off every Period
	SharedSlowdown     FaultKind = "shared_slow"   // all boxes are Size times slower
	RollingDeploy      FaultKind = "deploy"        // boxes are replaced in batches of Size of the tier, drained for Period
	Crash              FaultKind = "crash"         // the process dies and comes back cold
	Unresponsive       FaultKind = "vanish"        // the machine says nothing for a while
	BreakBeforeRequest FaultKind = "break_before"  // connections break before a request's last byte, with chance Size
	BreakAfterRequest  FaultKind = "break_after"   // and after it, the request having run
	TruncateResponse   FaultKind = "break_answer"  // and within the answer
	CorruptResponse    FaultKind = "garble_answer" // the answer is not HTTP
	SlowResponse       FaultKind = "slow_answer"   // the answer takes Period longer
	StallAccept        FaultKind = "stall_accept"  // new connections do not come up
	DiscoveryDelay     FaultKind = "roster_late"   // changes come Period later
	DiscoverySilence   FaultKind = "roster_silent" // nothing is told
	KillSidecar        FaultKind = "kill_sidecar"  // an instance is killed outright and started again

	DiscoveryMove      FaultKind = "roster_move"  // a new address, told by SIGHUP
	TermSidecar        FaultKind = "term_sidecar" // SIGTERM, then a new start
	SilentPeer         FaultKind = "silent_peer"  // a peer connects and sends nothing
	PartialRequestPeer FaultKind = "half_peer"    // a peer sends half a request
	OversizedPeer      FaultKind = "huge_peer"    // a peer sends 60 MB
)

// FaultKinds tells all kinds, and whether virtual time has them.
var FaultKinds = map[FaultKind]bool{FastErrors: true, NoisyNeighbour: true, SharedSlowdown: true, RollingDeploy: true, Crash: true,
	Unresponsive: true, BreakBeforeRequest: true, BreakAfterRequest: true, TruncateResponse: true, CorruptResponse: true, SlowResponse: true,
	StallAccept: true, DiscoveryDelay: true, DiscoverySilence: true, KillSidecar: true,
	DiscoveryMove: false, TermSidecar: false, SilentPeer: false, PartialRequestPeer: false, OversizedPeer: false}

// Fault is something that goes wrong from At on, for For.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Tier     string        // whose boxes; empty: of all tiers
	Fraction float64       // share of them, one at least
	Size     float64       // see the kinds
	Period   time.Duration // see the kinds
	Count    int           // peers
}

// End is when the fault is over.
func (f Fault) End() time.Duration { return f.At + f.Duration }

// Variant is one of the programs or policies compared.
type Variant struct {
	Name    string
	Policy  string // in virtual time: DesignPolicy or one of baseline.Names
	Command string // on sockets: a command that serves as DEPLOY says; empty: the policy's own

	SlowStartShare float64 // balancer.Settings.ColdShare; the design alone goes by it

	RestoreLearnedState bool // an instance that starts again begins with what it had learned; in virtual time, the design alone

	RetryBudget balancer.RetryBudget // the design alone goes by it, in virtual time

	Classes []ClassPolicy // what classes may do beyond the site's rules; in virtual time, and the design alone goes by it
}

// ClassPolicy is what the requests of a class may do. Its zero values leave the class as the site has it.
type ClassPolicy struct {
	Class           string
	AttemptTimeout  time.Duration
	MaxAttempts     int
	NeverRerun      bool
	HedgeAfter      time.Duration
	HedgePercentile float64
	QueueLimit      int // below 0: nothing waits
}

// ClassPolicy gives the policy of a class.
func (v Variant) ClassPolicy(class string) ClassPolicy {
	for _, p := range v.Classes {
		if p.Class == class {
			return p
		}
	}
	return ClassPolicy{Class: class}
}

// ApplyTo gives settings with an arm's policies.
func (v Variant) ApplyTo(s balancer.Settings) balancer.Settings {
	s.SlowStartShare, s.RetryBudget = v.SlowStartShare, v.RetryBudget
	for i := range s.Classes {
		c, p := &s.Classes[i], v.ClassPolicy(s.Classes[i].Name)
		c.AttemptTimeout, c.MaxAttempts, c.NeverRerun, c.HedgeAfter = p.AttemptTimeout, p.MaxAttempts, p.NeverRerun, p.HedgeAfter
		c.HedgeQuantile, c.QueueLimit = p.HedgePercentile/100, p.QueueLimit
	}
	return s
}

// Expectation is what an experiment says must come out; a play that misses one fails.
type Expectation struct {
	Variant           string  // empty: every arm
	NoViolations      bool    // no rule is broken
	ServedInTimeAbove float64 // share served in time, over all repeats
	FailedBelow       float64 // share refused or failed; 0: not asked
	AttemptsBelow     float64 // attempts for each request; 0: not asked
	P99Below          time.Duration
	RetriesBelow      float64 // attempts beyond the first for each request, in virtual time; 0: not asked
	WarmupPeakBelow   float64 // peak of fresh boxes (tally.Box), in any play; 0: not asked
	Position          string  // in the file, for messages
}

// AssignedIndex gives which of how many instances before a tier one is told to be, and how many that is.
func (s Site) AssignedIndex(tier, index, count int) (told, of int) {
	if tier == 0 && s.ConfiguredBalancers > 0 {
		return index % s.ConfiguredBalancers, s.ConfiguredBalancers
	}
	return index, count
}

// Settings gives the module's settings for instance index of count before tier.
func (s Site) Settings(tier, index, count int, seed uint64) balancer.Settings {
	index, count = s.AssignedIndex(tier, index, count)
	out := balancer.Settings{Seed: seed, Instances: count, Index: index, Tier: tier, TiersBelow: len(s.Tiers) - 1 - tier,
		MaxAttempts: s.MaxAttempts, CancelAllowed: true, Resolution: time.Millisecond,
		SlowStartCapacity: s.Tiers[tier].Server.InitialCapacity, SlowStartWindow: s.Tiers[tier].Server.WarmupTime, MaxRetryAfter: 2 * time.Second}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, balancer.Class{Name: c.Name, Repeat: c.Repeat, LatencyObjective: c.LatencyObjective})
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return out
}

// TierIndex gives the place of a tier by name, or -1.
func (s Site) TierIndex(name string) int {
	for i, t := range s.Tiers {
		if t.Name == name {
			return i
		}
	}
	return -1
}
