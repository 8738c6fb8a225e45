package experiment

import "time"

// ArrivalProcess says how arrivals are spread over time.
type ArrivalProcess string

// The arrival processes.
const (
	Poisson  ArrivalProcess = "poisson"
	Steady   ArrivalProcess = "steady"
	Recorded ArrivalProcess = "recorded" // at the instants of Load.Recorded
)

// Load is the clients' requests.
type Load struct {
	Rate     float64 // requests a second
	Process  ArrivalProcess
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
	MinPatience     float64 // fraction of a class's deadline that a client waits at least
	Retries         int
	RetryWait       time.Duration // before a retry, doubled each time; 0: at once
	HonorRetryAfter bool
	DisconnectRate  float64 // fraction of clients that disconnect early
}
