package experiment

import "time"

// FaultKind is a kind of fault. Its value is the name that experiment files use.
type FaultKind string

// The kinds of faults. Those of the second group can be run on sockets only.
//
// FastErrors, BreakBeforeRequest, BreakAfterRequest, TruncateResponse and CorruptResponse affect
// each request with probability Size. NoisyNeighbour is on and off by turns, each time for Period
// on average, or on throughout if Period is 0. RollingDeploy replaces servers in batches of Size,
// which is a fraction of the tier.
const (
	FastErrors         FaultKind = "fast_errors"   // servers respond 500 at once
	NoisyNeighbour     FaultKind = "neighbour"     // another program takes Size of a machine, on and off
	SharedSlowdown     FaultKind = "shared_slow"   // the affected servers are all Size times slower throughout
	RollingDeploy      FaultKind = "deploy"        // servers are drained for Period and replaced, in batches of Size
	Crash              FaultKind = "crash"         // the process exits, is started again and warms up
	Unresponsive       FaultKind = "vanish"        // the machine sends nothing
	BreakBeforeRequest FaultKind = "break_before"  // connections break before a request's last byte
	BreakAfterRequest  FaultKind = "break_after"   // connections break after a request's last byte, while it runs
	TruncateResponse   FaultKind = "break_answer"  // connections break within a response
	CorruptResponse    FaultKind = "garble_answer" // the response is not HTTP
	SlowResponse       FaultKind = "slow_answer"   // the response takes Period longer
	StallAccept        FaultKind = "stall_accept"  // new connections are not accepted
	DiscoveryDelay     FaultKind = "roster_late"   // changes of the endpoint list arrive later by Period
	DiscoverySilence   FaultKind = "roster_silent" // changes of the endpoint list do not arrive
	KillSidecar        FaultKind = "kill_sidecar"  // an instance is killed and started again

	DiscoveryMove      FaultKind = "roster_move"  // discovery moves to a new address, which SIGHUP announces
	TermSidecar        FaultKind = "term_sidecar" // an instance gets SIGTERM and is started again
	SilentPeer         FaultKind = "silent_peer"  // a peer connects and sends nothing
	PartialRequestPeer FaultKind = "half_peer"    // a peer sends half a request
	OversizedPeer      FaultKind = "huge_peer"    // a peer sends 60 MB
)

// FaultKinds holds all kinds of faults. The value says whether a kind can be run in virtual time.
var FaultKinds = map[FaultKind]bool{
	FastErrors: true, NoisyNeighbour: true, SharedSlowdown: true, RollingDeploy: true, Crash: true, Unresponsive: true,
	BreakBeforeRequest: true, BreakAfterRequest: true, TruncateResponse: true, CorruptResponse: true,
	SlowResponse: true, StallAccept: true, DiscoveryDelay: true, DiscoverySilence: true, KillSidecar: true,

	DiscoveryMove: false, TermSidecar: false, SilentPeer: false, PartialRequestPeer: false, OversizedPeer: false,
}

// Fault describes one fault of an experiment, which is in force from At on, for Duration.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Tier     string        // tier whose servers are affected; empty: all tiers
	Fraction float64       // fraction of the servers that are affected, at least one server
	Size     float64       // meaning: see the kinds
	Period   time.Duration // meaning: see the kinds; for kinds with a Count: time between two of them
	Count    int           // number of peers, of affected sidecars or of moves of discovery
}

// End returns the instant at which the fault ends.
func (f Fault) End() time.Duration { return f.At + f.Duration }

// maxNeighbourFraction is the largest fraction of a machine that a noisy neighbour can use.
const maxNeighbourFraction = 0.99

// Slowdown returns the factor by which a NoisyNeighbour or a SharedSlowdown slows a server down.
func (f Fault) Slowdown() float64 {
	if f.Kind == NoisyNeighbour {
		return 1 / (1 - min(f.Size, maxNeighbourFraction))
	}
	return f.Size
}
