// Package balancer makes the decisions of a client-side load balancer: which endpoint a request is
// sent to, and when a request is retried, hedged, queued or rejected.
//
// The package has no transport, no clock and no goroutine. These belong to a host, such as a
// sidecar, a proxy or a test. The host creates a Balancer with New and reports events through the
// methods of Events and RequestWritten. The Balancer calls the methods of Host only from within New
// and its own methods; the host carries out these actions in the order of the calls. Host methods
// must not call back into the Balancer. A Balancer is not safe for concurrent use.
//
// An instant is the reading of a monotonic clock, as a time.Duration since an arbitrary zero. The
// same settings and the same events at the same instants result in the same actions.
package balancer

import "time"

// Events is the interface through which a host reports what happens. *Balancer implements it.
// Events must be reported in the order in which they happened.
type Events interface {
	// EndpointList reports a message from service discovery. The host reports the first one directly
	// after New.
	EndpointList(now time.Duration, l EndpointList)
	// Request reports a new request. Each request gets exactly one final answer: the response of a
	// successful attempt, Host.Reject or Host.Fail.
	Request(now time.Duration, r Request)
	// StreamStarted reports that the host has begun to stream the response of attempt n to the client.
	StreamStarted(now time.Duration, id string, n int)
	// Outcome reports the end of an attempt. The host reports exactly one for each Host.Send.
	Outcome(now time.Duration, o Outcome)
	// ClientDisconnected reports that the client of a request no longer waits for an answer.
	ClientDisconnected(now time.Duration, id string)
	// Timer reports that the instant given to Host.Timer has been reached.
	Timer(now time.Duration)
}

// Host carries out a Balancer's decisions.
type Host interface {
	// Send starts the next attempt of a request. Attempts are numbered from 0. The host ends the
	// attempt as TimedOut after timeout, or at the request's deadline if that comes first.
	Send(id, endpoint string, timeout time.Duration)
	// Cancel cancels attempt n. The host still reports its Outcome.
	Cancel(id string, n int)
	// Reject answers a request with an error that tells the client that a retry is harmless.
	// retryAfter is the recommended wait before it; 0 means no Retry-After.
	Reject(id string, reason Reason, retryAfter time.Duration)
	// Fail answers a request with an error that leaves open whether the request took effect.
	Fail(id string, reason Reason)
	// Subscribe subscribes to service discovery. The host reports the current list and all later
	// changes.
	Subscribe()
	// Timer requests an Events.Timer call at the given instant or soon after. Timers are never
	// canceled.
	Timer(at time.Duration)
	// Log logs an event for the operators.
	Log(e LogEvent)
}

// Idempotency states what effect a duplicate of a request has.
type Idempotency int

// The levels of idempotency, from harmless duplicates to harmful ones.
const (
	Idempotent       Idempotency = iota // a request may run any number of times
	IdempotencyKeyed                    // the endpoints of a KeyScope drop duplicates during KeyWindow
	NonIdempotent                       // a request must not run twice
)

// KeyScope is the group of endpoints that share their record of idempotency keys, so that a
// duplicate sent to any of them is dropped.
type KeyScope int

// The scopes, from wide to narrow.
const (
	KeyScopeAll  KeyScope = iota // all endpoints
	KeyScopeZone                 // the endpoints of one zone
	KeyScopeCell                 // the endpoints of one cell
)

// Class is a class of requests.
type Class struct {
	Name             string
	Idempotency      Idempotency
	KeyScope         KeyScope      // for IdempotencyKeyed
	KeyWindow        time.Duration // for IdempotencyKeyed: how long after the first send duplicates are dropped
	LatencyObjective time.Duration // time within which the client wants a response

	Work           string        // classes with the same Work share one latency estimate; empty: Name
	AttemptTimeout time.Duration // an attempt ends as TimedOut after this time; 0: at the request's deadline
	MaxAttempts    int           // attempts allowed for a request, including hedged ones; 0: Settings.MaxAttempts
	NeverRerun     bool          // no retry of a request that may have run, even if it is idempotent
	HedgeAfter     time.Duration // time without a response until an Idempotent request is hedged; 0: see HedgeQuantile
	HedgeQuantile  float64       // replaces HedgeAfter by this quantile of the class's latencies, once known; 0: not used
	QueueLimit     int           // requests that may wait for capacity; 0: no limit; below 0: no request may wait
}

// Tenant is a party whose requests count against one quota.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all instances of the tier
}

// Settings are the settings of a Balancer. Configure replaces them, except Seed and
// SubscribeRequired. Each field may be zero.
type Settings struct {
	Seed       uint64 // seed of the random choices; differs between instances so that they choose differently
	Instances  int    // number of balancer instances that send to these endpoints, including this one
	Index      int    // index of this instance among them, from 0; -1: unknown
	Tier       int    // number of tiers between the clients and this instance
	TiersBelow int    // number of tiers that the endpoints themselves depend on
	Classes    []Class
	Tenants    []Tenant

	SubscribeRequired bool          // service discovery reports nothing without a subscription
	PollInterval      time.Duration // without a subscription: longest time between two polls of discovery

	MaxAttempts   int           // attempts allowed for a request; 0: no limit
	RetryBudget   RetryBudget   // limits the attempts beyond the first, over all requests
	CancelAllowed bool          // Host.Cancel may be called
	MaxRetryAfter time.Duration // longest Retry-After that clients honor; 0: Retry-After does not reach them

	Resolution        time.Duration // longest delay of events and timers
	SlowStartCapacity float64       // least share of its full capacity that an endpoint has when it starts
	SlowStartWindow   time.Duration // time after which a started endpoint has warmed up at the latest

	// SlowStartShare scales the request rate of a warming endpoint: 1 is an equal share of the
	// traffic times the share of its capacity that the endpoint has so far. 0 means 1.5. Below 1, all
	// instances together stay within the capacity that the endpoint has so far, regardless of their
	// number and the request rate.
	SlowStartShare float64
}

// State is the state of an endpoint as reported by service discovery.
type State int

// The states of an endpoint.
const (
	Ready    State = iota // accepts requests
	Draining              // accepts no new requests
	Removed               // no longer listed
)

// Endpoint is an entry of an endpoint list.
type Endpoint struct {
	ID      string
	State   State
	Zone    string
	Kind    string        // endpoints of one kind have the same size and speed, as far as discovery knows
	Cell    int           // see KeyScopeCell: the endpoints of one cell share their record of idempotency keys
	Started time.Duration // instant of the latest start; 0: long ago
}

// EndpointList is a message from service discovery.
type EndpointList struct {
	Failed   bool // a poll or a subscription failed; the message says nothing about endpoints
	Complete bool // endpoints that are not in Entries are removed; if false, they are unchanged
	Entries  []Endpoint
	Unlisted int // ready endpoints that only other instances get in their lists
}

// Request is a request from a client.
type Request struct {
	ID          string
	Class       string
	Tenant      string
	Deadline    time.Duration // instant at which the client stops waiting
	ClientRetry bool          // the client has marked the request as a retry of its own
	Streamed    bool          // the body may take long to send; the host reports its end with RequestWritten
	SoleAttempt bool          // only one attempt at a time can send the body, so that hedging is of no use
}

// Result states how an attempt ended.
type Result int

// The results. Only Rejected, ConnectFailed and NotSent prove that the request did not run.
const (
	OK            Result = iota
	Errored              // the endpoint answered with an error
	Rejected             // the endpoint rejected the request without processing it
	TimedOut             // no response within the timeout or before the deadline
	ConnectFailed        // no connection was established
	Reset                // the connection broke
	Canceled             // ended by Host.Cancel
	NotSent              // the host did not carry out the Host.Send
)

// mayHaveRun reports whether the request may have run if an attempt ended with this result.
func (r Result) mayHaveRun() bool { return r != Rejected && r != ConnectFailed && r != NotSent }

// Outcome is the end of an attempt.
type Outcome struct {
	ID       string // of the request
	Attempt  int
	Endpoint string
	Result   Result
	Latency  time.Duration // since Host.Send
	Final    bool          // the client has its final answer, so that the request needs no further attempt
}
