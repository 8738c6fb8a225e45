// Package balancer makes the decisions of a client-side load balancer: which endpoint gets a
// request, when to retry or hedge it, when to queue it and when to reject it.
//
// The package has no transport, no clock and no goroutine. A host (a sidecar, a proxy, a test) owns
// all of these: it creates a Balancer with New, reports what happens through the methods of Events
// and carries out what the Balancer asks for through Host, in that order. Host methods are called
// from within the event methods and must not call back into the Balancer. A Balancer is not
// safe for concurrent use.
//
// Instants are readings of any clock that never runs backwards, given as a time.Duration since an
// arbitrary zero. The same settings and the same events at the same instants give the same actions.
package balancer

import "time"

// Events is the interface through which a host reports what happens. *Balancer implements it.
// Events must be reported in the order in which they happened.
type Events interface {
	// EndpointList reports a message from service discovery. The first one follows New directly.
	EndpointList(now time.Duration, l EndpointList)
	// Request reports a request that wants exactly one final answer: the success of an attempt, or
	// Host.Reject or Host.Fail.
	Request(now time.Duration, r Request)
	// StreamStarted reports that attempt n of a request has begun to stream its response to the
	// client.
	StreamStarted(now time.Duration, id string, n int)
	// Outcome reports the end of an attempt; every Send gets exactly one.
	Outcome(now time.Duration, o Outcome)
	// ClientDisconnected reports that the client no longer waits for an answer.
	ClientDisconnected(now time.Duration, id string)
	// Timer reports that the instant of a Host.Timer has been reached.
	Timer(now time.Duration)
}

// Host carries out a Balancer's decisions.
type Host interface {
	// Send starts the next attempt of a request; attempts are numbered from 0. The attempt ends as
	// TimedOut after timeout, or at the request's deadline if that comes first.
	Send(id, endpoint string, timeout time.Duration)
	// Cancel stops waiting for attempt n, whose Outcome is still reported.
	Cancel(id string, n int)
	// Reject gives a request its final answer: that a retry by the client is harmless, best after
	// retryAfter (0: no Retry-After).
	Reject(id string, reason Reason, retryAfter time.Duration)
	// Fail gives a request its final answer, which leaves open whether it took effect.
	Fail(id string, reason Reason)
	// Subscribe subscribes to discovery. The host reports the present list and all changes from then
	// on.
	Subscribe()
	// Timer requests a Timer event at the given instant or soon after. Timers are not canceled.
	Timer(at time.Duration)
	// Log records an event for the people on call.
	Log(e LogEvent)
}

// Idempotency says what a duplicate of a request of a class does.
type Idempotency int

// The kinds of classes, from harmless duplicates to harmful ones.
const (
	Idempotent       Idempotency = iota // may run any number of times
	IdempotencyKeyed                    // duplicates are dropped within a group of endpoints, for a while
	NonIdempotent                       // must never run twice
)

// KeyScope says which endpoints together drop duplicates of a request with an idempotency key.
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
	KeyWindow        time.Duration // for IdempotencyKeyed: how long duplicates are dropped, from the first send
	LatencyObjective time.Duration // time within which a response is wanted

	Work           string        // classes of one kind of work share their latency estimate; empty: Name
	AttemptTimeout time.Duration // an attempt ends as TimedOut after this time; 0: with the request
	MaxAttempts    int           // attempts allowed for a request, hedged ones included; 0: Settings.MaxAttempts
	NeverRerun     bool          // no retry once the request may have run, even if it is idempotent
	HedgeAfter     time.Duration // an Idempotent request without a response for this long is hedged; 0: never
	HedgeQuantile  float64       // or after this quantile of latencies, once they are known; 0: HedgeAfter
	QueueLimit     int           // requests that may wait for capacity; 0: any number, below 0: none
}

// Tenant is one of the parties whose requests the endpoints serve.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within its quota, over all balancers of the tier
}

// Settings apply until Configure is called. Zero values are legal everywhere.
type Settings struct {
	Seed       uint64 // spreads choices that would otherwise be the same in every balancer
	Instances  int    // balancers that send to these endpoints, this one included
	Index      int    // of this one among them, from 0; -1: not known
	Tier       int    // number of tiers between the clients and this balancer
	TiersBelow int    // number of tiers that the endpoints themselves depend on
	Classes    []Class
	Tenants    []Tenant

	SubscribeRequired bool          // discovery reports nothing without a subscription
	PollInterval      time.Duration // longest time between two polls of discovery without a subscription

	MaxAttempts   int           // attempts allowed for a request; 0: no limit
	RetryBudget   RetryBudget   // attempts beyond the first, over all requests
	CancelAllowed bool          // Host.Cancel may be called
	MaxRetryAfter time.Duration // the longest Retry-After that clients honor; 0: it does not reach them

	Resolution        time.Duration // how late events and timers may be
	SlowStartCapacity float64       // share of its capacity that an endpoint starts with at least
	SlowStartWindow   time.Duration // an endpoint has warmed up after this time at the latest

	// SlowStartShare is the rate of sends to an endpoint that warms up, as a share of its capacity by
	// then; 0: 1.5. Below 1, all balancers together stay within what the endpoint can take, whatever
	// their number and the rate of requests.
	SlowStartShare float64
}

// State is the state of an endpoint by service discovery.
type State int

// The states of an endpoint.
const (
	Ready    State = iota // takes requests
	Draining              // takes no new requests
	Removed               // is no longer listed
)

// Endpoint is an entry of discovery's list.
type Endpoint struct {
	ID      string
	State   State
	Zone    string
	Kind    string        // endpoints of one kind have the same size and speed, as far as discovery knows
	Cell    int           // endpoints of one cell share their record of idempotency keys
	Started time.Duration // instant of the latest start; 0: long ago
}

// EndpointList is a message from discovery.
type EndpointList struct {
	Failed   bool // a poll failed or a subscription broke: nothing is known of endpoints
	Complete bool // endpoints not listed are removed; otherwise only the listed ones have changed
	Entries  []Endpoint
	Unlisted int // ready endpoints of other balancers that are not listed to this one
}

// Request is a request of a client. It gets one final answer.
type Request struct {
	ID          string
	Class       string
	Tenant      string
	Deadline    time.Duration // instant at which the client stops waiting
	ClientRetry bool          // marked by the client as its own retry
	Streamed    bool          // its body may take long to send: RequestWritten reports its end
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
	Canceled             // ended by Cancel
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
