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
	Arms     []Arm
	Expect   []Expectation
	Settings map[string]string // variables as they were set for this play
}

// Site is the service under test.
type Site struct {
	Balancers int // instances before the first tier
	Told      int // how many they are told that they are; 0: the truth
	Delay     time.Duration
	Jitter    float64 // of Delay, either way
	Roster    Roster
	Classes   []Class
	Tenants   []Tenant
	Tiers     []Tier // from the clients inwards
	Rules     Rules
	Limits    Limits
	Attempts  int // allowed for one request
}

// Roster says how late the list of boxes is.
type Roster struct {
	Delay  time.Duration // from a change to the first instance told
	Spread time.Duration // and to the last
}

// Rules are the figures by which the ledger judges.
type Rules struct {
	AnswerSlack time.Duration // a final answer counts this long after the deadline
	DrainGrace  time.Duration // sends to a box told to drain or be gone may go on for this long
	FallOver    float64       // a cold box falls over when sent more than this multiple of its present capacity
	FallWindow  time.Duration // within this time
	ImproperFor time.Duration // an improper peer is owed an end within this time
}

// Limits are what a program under test may use on sockets; 0 stands for no limit.
type Limits struct {
	MemoryMB    int
	Descriptors int
	Cores       float64
}

// Class is a class of requests.
type Class struct {
	Name     string
	Effect   balancer.Repeatability
	Share    float64       // of all requests
	Work     time.Duration // mean, on a core of speed 1, over all tiers
	Wait     time.Duration // spent at the last tier without using a core
	Spread   Spread
	Cv       float64       // coefficient of variation, for LogNormal
	Hits     float64       // share of the requests that find their answer ready,
	HitWork  time.Duration // and take this work instead
	Aim      time.Duration
	Deadline time.Duration
	Worth    float64
}

// Spread is the distribution of work.
type Spread string

// The distributions.
const (
	Exponential Spread = "exponential"
	LogNormal   Spread = "lognormal"
	Fixed       Spread = "fixed"
)

// Tenant is one of the parties that share the service.
type Tenant struct {
	Name  string
	Share float64 // of all requests
	Quota float64 // requests a second within its share
}

// Tier is a row of boxes that do the same.
type Tier struct {
	Name  string
	Boxes int
	Work  float64 // share of a request's work done here, for each call
	Calls int     // calls to the next tier for each request, one after another
	Kinds []Kind
	Box   BoxSpec // what all kinds have in common
}

// Kind is a sort of machine.
type Kind struct {
	Name  string
	Share float64 // of the tier's boxes
	Cores int
	Speed float64 // of a core, 1 being the yardstick
	Slots int     // requests in work at once
	Queue int     // and waiting, beyond which it turns away
}

// BoxSpec holds a box's further figures; a zero turns off what it describes.
type BoxSpec struct {
	ColdFrom     float64       // share of its capacity at the start
	ColdFor      time.Duration // until all of it
	ChokeAt      float64       // requests waiting per core
	ChokeOver    time.Duration // for this long make it
	ChokeSlower  float64       // this many times slower
	ChokeBelow   float64       // until it holds fewer than this per core
	ChokeRest    time.Duration // for this long,
	ChokeMost    time.Duration // or this has passed
	ConnWork     time.Duration // a new connection's work
	ConnLimit    int
	ConnIdle     time.Duration // an idle connection is closed after this
	ReportEvery  time.Duration // load reports are refreshed this often,
	ReportDelay  time.Duration // come this late
	ReportNoise  float64       // and are off by this share
	ErrorShare   float64       // answers 500 in ordinary times
	CancelsStops bool          // an attempt that is called off stops its work
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
	PatienceLeast float64 // share of a class's deadline that a client waits at least
	Retries       int
	RetryWait     time.Duration // before a retry, doubled each time; 0: at once
	Heed          bool          // clients heed Retry-After
	Leave         float64       // share of clients that leave early, without a word
}

// FaultKind names what goes wrong.
type FaultKind string

// The faults. Those in the second group need sockets.
const (
	FastErrors   FaultKind = "fast_errors"   // boxes answer 500 at once, with chance Size
	Neighbour    FaultKind = "neighbour"     // another program takes Size of a box, on and off every Period
	SharedSlow   FaultKind = "shared_slow"   // all boxes are Size times slower
	Deploy       FaultKind = "deploy"        // boxes are replaced in batches of Size of the tier, drained for Period
	Crash        FaultKind = "crash"         // the process dies and comes back cold
	Vanish       FaultKind = "vanish"        // the machine says nothing for a while
	BreakBefore  FaultKind = "break_before"  // connections break before a request's last byte, with chance Size
	BreakAfter   FaultKind = "break_after"   // and after it, the request having run
	BreakAnswer  FaultKind = "break_answer"  // and within the answer
	GarbleAnswer FaultKind = "garble_answer" // the answer is not HTTP
	SlowAnswer   FaultKind = "slow_answer"   // the answer takes Period longer
	StallAccept  FaultKind = "stall_accept"  // new connections do not come up
	RosterLate   FaultKind = "roster_late"   // changes come Period later
	RosterSilent FaultKind = "roster_silent" // nothing is told
	KillSidecar  FaultKind = "kill_sidecar"  // an instance is killed outright and started again

	RosterMove  FaultKind = "roster_move"  // a new address, told by SIGHUP
	TermSidecar FaultKind = "term_sidecar" // SIGTERM, then a new start
	SilentPeer  FaultKind = "silent_peer"  // a peer connects and sends nothing
	HalfPeer    FaultKind = "half_peer"    // a peer sends half a request
	HugePeer    FaultKind = "huge_peer"    // a peer sends 60 MB
)

// FaultKinds tells all kinds, and whether virtual time has them.
var FaultKinds = map[FaultKind]bool{FastErrors: true, Neighbour: true, SharedSlow: true, Deploy: true, Crash: true,
	Vanish: true, BreakBefore: true, BreakAfter: true, BreakAnswer: true, GarbleAnswer: true, SlowAnswer: true,
	StallAccept: true, RosterLate: true, RosterSilent: true, KillSidecar: true,
	RosterMove: false, TermSidecar: false, SilentPeer: false, HalfPeer: false, HugePeer: false}

// Fault is something that goes wrong from At on, for For.
type Fault struct {
	Kind   FaultKind
	At     time.Duration
	For    time.Duration
	Tier   string        // whose boxes; empty: of all tiers
	Part   float64       // share of them, one at least
	Size   float64       // see the kinds
	Period time.Duration // see the kinds
	Count  int           // peers
}

// End is when the fault is over.
func (f Fault) End() time.Duration { return f.At + f.For }

// Arm is one of the programs or policies compared.
type Arm struct {
	Name   string
	Policy string // in virtual time: DesignPolicy or one of baseline.Names
	Run    string // on sockets: a command that serves as DEPLOY says; empty: the policy's own

	ColdShare float64 // balancer.Settings.ColdShare; the design alone goes by it

	Snapshot bool // an instance that starts again begins with what it had learned; in virtual time, the design alone

	Resends balancer.RetryBudget // the design alone goes by it, in virtual time

	Classes []ClassPolicy // what classes may do beyond the site's rules; in virtual time, and the design alone goes by it
}

// ClassPolicy is what the requests of a class may do. Its zero values leave the class as the site has it.
type ClassPolicy struct {
	Class          string
	AttemptTimeout time.Duration
	Attempts       int
	NoRerun        bool
	CopyAfter      time.Duration
	CopyPercentile float64
	Queue          int // below 0: nothing waits
}

// Of gives the policy of a class.
func (a Arm) Of(class string) ClassPolicy {
	for _, p := range a.Classes {
		if p.Class == class {
			return p
		}
	}
	return ClassPolicy{Class: class}
}

// Apply gives settings with an arm's policies.
func (a Arm) Apply(s balancer.Settings) balancer.Settings {
	s.SlowStartShare, s.RetryBudget = a.ColdShare, a.Resends
	for i := range s.Classes {
		c, p := &s.Classes[i], a.Of(s.Classes[i].Name)
		c.AttemptTimeout, c.MaxAttempts, c.NeverRerun, c.HedgeAfter = p.AttemptTimeout, p.Attempts, p.NoRerun, p.CopyAfter
		c.HedgeQuantile, c.QueueLimit = p.CopyPercentile/100, p.Queue
	}
	return s
}

// Expectation is what an experiment says must come out; a play that misses one fails.
type Expectation struct {
	Arm           string  // empty: every arm
	RulesKept     bool    // no rule is broken
	ServedOver    float64 // share served in time, over all repeats
	FailedUnder   float64 // share refused or failed; 0: not asked
	AttemptsUnder float64 // attempts for each request; 0: not asked
	P99Under      time.Duration
	ResendsUnder  float64 // attempts beyond the first for each request, in virtual time; 0: not asked
	FreshUnder    float64 // peak of fresh boxes (tally.Box), in any play; 0: not asked
	Place         string  // in the file, for messages
}

// Place gives which of how many instances before a tier one is told to be, and how many that is.
func (s Site) Place(tier, index, count int) (told, of int) {
	if tier == 0 && s.Told > 0 {
		return index % s.Told, s.Told
	}
	return index, count
}

// Settings gives the module's settings for instance index of count before tier.
func (s Site) Settings(tier, index, count int, seed uint64) balancer.Settings {
	index, count = s.Place(tier, index, count)
	out := balancer.Settings{Seed: seed, Instances: count, Index: index, Tier: tier, TiersBelow: len(s.Tiers) - 1 - tier,
		MaxAttempts: s.Attempts, CancelAllowed: true, Resolution: time.Millisecond,
		SlowStartCapacity: s.Tiers[tier].Box.ColdFrom, SlowStartWindow: s.Tiers[tier].Box.ColdFor, MaxRetryAfter: 2 * time.Second}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, balancer.Class{Name: c.Name, Repeat: c.Effect, LatencyObjective: c.Aim})
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return out
}

// Tier gives the place of a tier by name, or -1.
func (s Site) Tier(name string) int {
	for i, t := range s.Tiers {
		if t.Name == name {
			return i
		}
	}
	return -1
}
