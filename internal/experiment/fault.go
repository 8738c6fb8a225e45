package experiment

import "time"

// FaultKind is a kind of fault. Its text is that of experiment files.
type FaultKind string

// The faults. Those of the second group need sockets.
const (
	FastErrors         FaultKind = "fast_errors"   // servers answer 500 at once, with probability Size
	NoisyNeighbour     FaultKind = "neighbour"     // another program takes Size of a machine, on and off every Period
	SharedSlowdown     FaultKind = "shared_slow"   // all servers are Size times slower
	RollingDeploy      FaultKind = "deploy"        // servers are drained for Period and replaced, in batches of Size
	Crash              FaultKind = "crash"         // the process exits and is started again, with a warm-up
	Unresponsive       FaultKind = "vanish"        // the machine sends nothing for a while
	BreakBeforeRequest FaultKind = "break_before"  // connections break before a request's last byte, with probability Size
	BreakAfterRequest  FaultKind = "break_after"   // connections break after it, with the request running
	TruncateResponse   FaultKind = "break_answer"  // connections break within the response
	CorruptResponse    FaultKind = "garble_answer" // the response is not HTTP
	SlowResponse       FaultKind = "slow_answer"   // the response takes Period longer
	StallAccept        FaultKind = "stall_accept"  // new connections are not accepted
	DiscoveryDelay     FaultKind = "roster_late"   // changes of the endpoint list arrive Period later
	DiscoverySilence   FaultKind = "roster_silent" // changes of the endpoint list do not arrive
	KillSidecar        FaultKind = "kill_sidecar"  // an instance is killed and started again

	DiscoveryMove      FaultKind = "roster_move"  // a new address of discovery, announced by SIGHUP
	TermSidecar        FaultKind = "term_sidecar" // SIGTERM, then a new start
	SilentPeer         FaultKind = "silent_peer"  // a peer connects and sends nothing
	PartialRequestPeer FaultKind = "half_peer"    // a peer sends half a request
	OversizedPeer      FaultKind = "huge_peer"    // a peer sends 60 MB
)

// FaultKinds holds all kinds, and whether they can be run in virtual time.
var FaultKinds = map[FaultKind]bool{
	FastErrors: true, NoisyNeighbour: true, SharedSlowdown: true, RollingDeploy: true, Crash: true, Unresponsive: true,
	BreakBeforeRequest: true, BreakAfterRequest: true, TruncateResponse: true, CorruptResponse: true,
	SlowResponse: true, StallAccept: true, DiscoveryDelay: true, DiscoverySilence: true, KillSidecar: true,

	DiscoveryMove: false, TermSidecar: false, SilentPeer: false, PartialRequestPeer: false, OversizedPeer: false,
}

// Fault is in force from At on, for Duration.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Tier     string        // whose servers; empty: of all tiers
	Fraction float64       // of the servers, one at least
	Size     float64       // see the kinds
	Period   time.Duration // see the kinds
	Count    int           // of peers, or of disrupted sidecars
}

// End returns when the fault is over.
func (f Fault) End() time.Duration { return f.At + f.Duration }

// maxNeighbourFraction is the largest fraction of a machine that a noisy neighbour takes.
const maxNeighbourFraction = 0.99

// Slowdown returns how many times slower a NoisyNeighbour or a SharedSlowdown makes a server.
func (f Fault) Slowdown() float64 {
	if f.Kind == NoisyNeighbour {
		return 1 / (1 - min(f.Size, maxNeighbourFraction))
	}
	return f.Size
}
