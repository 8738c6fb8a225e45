// Package config is the daemon's configuration: a language in HCL, its checks and the immutable value that a good file comes
// to. docs/daemon.md describes the language. A bad file gives one line for each fault, with file, line, column and reason.
package config

import (
	"time"

	"rowancart/balancer"
	"rowancart/internal/ratelimit"
	"rowancart/internal/route"
)

// Config is what a good file says.
type Config struct {
	File      string
	Text      []byte // of the file
	Admin     string // host:port, or unix: and a path; empty: none
	Fleet     Fleet
	State     State
	Limits    Limits
	Listeners []Listener
	Classes   []Class
	Tenants   []balancer.Tenant
	Pools     []Pool
	Routes    []Route
	Warnings  []string // of what is legal and hardly meant, a line each
}

// Fleet says which of how many instances this one is.
type Fleet struct {
	Instances int
	Index     int    // from 0
	Name      string // stands for the index where that is not told; empty: it is
}

// State says where a daemon keeps what it has learned, for its successor.
type State struct {
	Path     string        // of the file; empty: nothing is kept
	Every    time.Duration // it is written this often, and at the end
	FreshFor time.Duration // an older one is not used
}

// Limits are what the process is held to.
type Limits struct {
	Memory      int64 // bytes
	Connections int   // callers' connections, over all listeners
	StopWithin  time.Duration

	HandOverWithin time.Duration // a successor that does not serve by then is ended
}

// Listener is an address at which callers are served.
type Listener struct {
	Name, Address string
}

// Class is a class of requests.
type Class struct {
	Name   string
	Effect balancer.Repeatability
	Group  balancer.KeyScope
	Window time.Duration
	Aim    time.Duration
	Worth  float64
}

// Pool is a set of endpoints that serve alike.
type Pool struct {
	Name        string
	Roster      Roster
	Subset      int           // endpoints that one instance sends to; 0: all
	Connections int           // open at once, to all endpoints of the pool
	ConnIdle    time.Duration // endpoints close a connection that has been idle for this long
	DialTimeout time.Duration
	ColdFrom    float64
	ColdFor     time.Duration
	ColdShare   float64 // balancer.Settings.ColdShare
	Resends     balancer.RetryBudget
	TiersBelow  int
}

// Roster says where a pool's endpoints are listed: here, in a file, or with the platform's discovery. One is given.
type Roster struct {
	Static   []Endpoint
	File     string
	Platform string // host:port
}

// Endpoint is a server listed in the file itself.
type Endpoint struct {
	ID, Address, Zone, Kind string
	Cell                    int
}

// Route is where some requests go, and what they may do there.
type Route struct {
	Name      string
	Match     route.Match
	Listeners []string // empty: all
	Class     Class
	Pool      string
	Tenant    string // header that names a request's tenant
	Policy    Policy
	From      map[string]string // for each attribute of the policy, where its value was said
}

// Policy is what requests of a route may do. In the module's terms, see balancer.Class.
type Policy struct {
	ClientWaits       time.Duration // how long callers wait who do not say so
	RequestTimeout    time.Duration
	AttemptTimeout    time.Duration // 0: with the request
	Attempts          int
	Retry             Retry
	CopyAfter         time.Duration // 0: no second copy after a time
	CopyPercentile    float64       // 0: none after a percentile
	Queue             int           // that may wait for room; below 0: any number
	Rate              ratelimit.Rate
	Concurrency       int // 0: no limit
	TenantRate        ratelimit.Rate
	TenantConcurrency int // 0: no limit
}

// Retry says after what another attempt may follow.
type Retry string

// The ways to retry.
const (
	NotRun   Retry = "not_run"   // only after attempts that provably never ran
	AfterRun Retry = "after_run" // after any failure
)

// Rules gives the limits of a policy.
func (p Policy) Rules() ratelimit.Limits {
	return ratelimit.Limits{Rate: p.Rate, Concurrency: p.Concurrency, TenantRate: p.TenantRate, TenantConcurrency: p.TenantConcurrency}
}

// Module gives a route's class as the decision module is to treat it.
func (r Route) Module(name string) balancer.Class {
	p, c := r.Policy, r.Class
	queue := p.Queue
	switch {
	case queue == 0:
		queue = -1
	case queue < 0:
		queue = 0
	}
	return balancer.Class{Name: name, Work: c.Name, Repeat: c.Effect, KeyScope: c.Group, KeyWindow: c.Window, LatencyObjective: c.Aim,
		AttemptTimeout: p.AttemptTimeout, MaxAttempts: p.Attempts, NeverRerun: p.Retry == NotRun, HedgeAfter: p.CopyAfter,
		HedgeQuantile: p.CopyPercentile / 100, QueueLimit: queue}
}

// Effects are the words for effects.
var Effects = map[string]balancer.Repeatability{"safe": balancer.Idempotent, "keyed": balancer.IdempotencyKeyed, "unsafe": balancer.NonIdempotent}

// Word gives the word for an effect.
func Word(e balancer.Repeatability) string {
	for word, effect := range Effects {
		if effect == e {
			return word
		}
	}
	return ""
}
