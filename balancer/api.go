// Package balancer makes a load balancer's decisions for a service that calls other services: which
// endpoint gets a request, when to retry or hedge it, when to hold it back and when to reject it.
//
// The package has no transport, no clock and no goroutine. A host (a sidecar, a proxy, a test) owns
// all of these: it creates a Balancer with New, reports what happens through the methods of Events
// and carries out what the Balancer asks for through Host, in the order asked. Host methods are
// called from within the event methods and must not call back into the Balancer. A Balancer is not
// safe for concurrent use.
//
// Instants are readings of any clock that never runs backwards, given as a time.Duration since an
// arbitrary zero. The same settings and the same events at the same instants give the same actions.
package balancer

import "time"

// Events is what a host reports. *Balancer implements it. Events must be reported in the order in
// which they happened.
type Events interface {
	// EndpointList reports what service discovery says. The first one follows New directly.
	EndpointList(now time.Duration, l EndpointList)
	// Request reports a request that wants exactly one final answer: the success of an attempt, or
	// Host.Reject or Host.Fail.
	Request(now time.Duration, r Request)
	// StreamStarted reports that attempt n of a request has begun to stream its response to the
	// client.
	StreamStarted(now time.Duration, id string, n int)
	// Outcome reports the end of an attempt; every Send gets exactly one.
	Outcome(now time.Duration, o Outcome)
	// ClientDisconnected reports that the client no longer waits: it is owed no answer any more.
	ClientDisconnected(now time.Duration, id string)
	// Timer reports that an instant asked for with Host.Timer has come.
	Timer(now time.Duration)
}

// Host carries out a Balancer's decisions.
type Host interface {
	// Send starts the next attempt of a request; attempts are numbered from 0. The attempt ends as
	// TimedOut after timeout, or at the request's deadline if that comes first.
	Send(id, endpoint string, timeout time.Duration)
	// Cancel stops waiting for attempt n. It still gets its Outcome.
	Cancel(id string, n int)
	// Reject answers a request for good and tells the client that a retry is harmless, best not before
	// retryAfter has passed (0: no advice).
	Reject(id string, reason Reason, retryAfter time.Duration)
	// Fail answers a request for good and promises nothing about its effect.
	Fail(id string, reason Reason)
	// Subscribe asks discovery for all changes from now on; an EndpointList answers.
	Subscribe()
	// Timer asks for a Timer event at the given instant or soon after. Timers are not withdrawn.
	Timer(at time.Duration)
	// Log records an event for the people on call.
	Log(e LogEvent)
}

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// Idempotency, from harmless to harmful.
const (
	Idempotent       Idempotency = iota // may run any number of times
	IdempotencyKeyed                    // repeats are dropped inside a group of endpoints, for a while
	NonIdempotent                       // must never run twice
)

// KeyScope says which endpoints together drop repeats of a request with an idempotency key.
type KeyScope int

// The groups of endpoints, from wide to narrow.
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
	KeyWindow        time.Duration // for IdempotencyKeyed: how long a repeat is recognised, from the first send
	LatencyObjective time.Duration // a response is wanted within this time

	Work           string        // classes of one kind of work have one latency, under whatever policy; empty: Name
	AttemptTimeout time.Duration // an attempt ends as TimedOut after this time; 0: with the request
	MaxAttempts    int           // attempts allowed for a request, hedged ones included; 0: Settings.MaxAttempts
	NeverRerun     bool          // what may have run is not sent again, even if it is idempotent
	HedgeAfter     time.Duration // an Idempotent request without a response for this long is hedged; 0: never
	HedgeQuantile  float64       // or one for longer than this share of the recent responses took; 0: never
	QueueLimit     int           // requests that may wait for capacity; 0: any number, below 0: none
}

// Tenant is one of the parties that share the endpoints.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within its quota, over all balancers of the tier
}

// Settings hold until Configure is called. Zero values are legal everywhere.
type Settings struct {
	Seed       uint64 // for spreading choices that would otherwise be alike in every balancer
	Instances  int    // balancers that send to these endpoints, this one included
	Index      int    // of this one among them, from 0; -1: not known
	Tier       int    // how many tiers of clients stand before this balancer
	TiersBelow int    // how many tiers the endpoints themselves depend on
	Classes    []Class
	Tenants    []Tenant

	SubscribeRequired bool          // discovery reports nothing without a subscription
	PollInterval      time.Duration // without a subscription: poll at least this often

	MaxAttempts   int           // attempts allowed for a request; 0: no limit
	RetryBudget   RetryBudget   // attempts beyond the first, over all requests
	CancelAllowed bool          // Host.Cancel may be called
	MaxRetryAfter time.Duration // the longest Retry-After that clients honor; 0: it does not reach them

	Resolution        time.Duration // how late events and timers may come
	SlowStartCapacity float64       // share of its capacity that an endpoint starts with at least
	SlowStartWindow   time.Duration // an endpoint has warmed up after this time at the latest

	// SlowStartShare is the rate of sends to an endpoint that warms up, in shares of its capacity; 0:
	// 1.5. Under 1, all balancers together stay within what it can take, however many they are and
	// however much the others send.
	SlowStartShare float64
}

// State is what discovery says of an endpoint.
type State int

// The states of an endpoint.
const (
	Ready State = iota
	Draining
	Removed
)

// Endpoint is an entry of discovery's list.
type Endpoint struct {
	ID      string
	State   State
	Zone    string
	Kind    string        // endpoints of one kind are alike in size and speed, as far as discovery knows
	Cell    int           // endpoints of one cell share which idempotency keys they have seen
	Started time.Duration // instant of the latest start; 0: long ago
}

// EndpointList is a message from discovery.
type EndpointList struct {
	Failed   bool // a poll failed or a subscription broke: it says nothing of endpoints
	Complete bool // endpoints not listed are removed; otherwise only the listed ones have changed
	Entries  []Endpoint
	Unlisted int // ready endpoints that other balancers send to, and that this one is not notified of
}

// Request is something a client wants done.
type Request struct {
	ID          string
	Class       string
	Tenant      string
	Deadline    time.Duration // instant at which the client stops waiting
	ClientRetry bool          // the client says that this is a retry of its own
	Streamed    bool          // its body may take long to send; RequestWritten reports when it has been
}

// Result is how an attempt ended.
type Result int

// The results. Only Rejected, ConnectFailed and NotSent prove that the request did not run.
const (
	OK            Result = iota
	Errored              // the endpoint answered with an error
	Rejected             // the endpoint rejected the request without looking at it
	TimedOut             // no response in time
	ConnectFailed        // no connection was established
	Reset                // the connection broke
	Canceled             // withdrawn by Cancel
	NotSent              // the Send was not carried out
)

// mayHaveRun reports whether an attempt with this result leaves it open that the request has run.
func (r Result) mayHaveRun() bool { return r != Rejected && r != ConnectFailed && r != NotSent }

// Outcome is the end of an attempt.
type Outcome struct {
	ID       string // of the request
	Attempt  int
	Endpoint string
	Result   Result
	Latency  time.Duration // since the Send
	Final    bool          // the request has its final answer
}
