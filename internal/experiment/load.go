package experiment

import "time"

// ArrivalProcess says how arrivals are distributed over time.
type ArrivalProcess string

// The arrival processes.
const (
	Poisson  ArrivalProcess = "poisson"
	Steady   ArrivalProcess = "steady"   // at equal intervals
	Recorded ArrivalProcess = "recorded" // at the instants of Load.Recorded
)

// Load says when clients send requests, and how the clients behave.
type Load struct {
	Rate     float64 // requests a second
	Process  ArrivalProcess
	Recorded []time.Duration // instants of arrival, for the process Recorded
	Steps    []Step
	Clients  Clients
}

// Step changes the rate from the instant At on.
type Step struct {
	At     time.Duration
	Factor float64 // the new rate is Factor times Load.Rate
}

// Clients says how clients behave.
type Clients struct {
	MinPatience     float64       // minimum waiting time, as a fraction of the class's deadline; 0: all of it
	Retries         int           // maximum number of a client's own retries of a request
	RetryWait       time.Duration // wait before the first retry, doubled for each further one; 0: none
	HonorRetryAfter bool          // before a retry, clients wait at least as long as Retry-After says
	DisconnectRate  float64       // fraction of requests whose client disconnects early
}
