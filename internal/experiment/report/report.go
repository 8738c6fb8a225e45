// Package report summarises runs and writes the results: as JSON, as text for a terminal and as one
// HTML page without external resources.
//
// The names of JSON fields, and the words of the text and the page, also occur in stored reports
// and must not change: refused (rejected), worth (served priority weight), box (server), fresh
// (added during the run), broken (violated). Outcomes, served weight and latency percentiles
// exclude requests that were due to be sent during the warm-up. The counts by second, attempts,
// reasons, counts of servers and costs include them.
package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
)

// Version is the version of the JSON format, which docs/lab.md describes. It increases when the
// meaning of a field changes.
const Version = 1

// Report is the result of an experiment.
type Report struct {
	Version    int               `json:"version"`
	Experiment string            `json:"experiment"`
	Question   string            `json:"question"`
	Seed       uint64            `json:"seed"` // the first of Seeds
	Seeds      []uint64          `json:"seeds"`
	Virtual    bool              `json:"virtual"`
	Settings   map[string]string `json:"settings,omitempty"`
	DurationS  float64           `json:"duration_s"`
	WarmupS    float64           `json:"warmup_s"`
	Faults     []FaultSpan       `json:"faults,omitempty"`
	Variants   []Variant         `json:"arms"`             // of the only point, or of the first point of a sweep
	Points     []Point           `json:"points,omitempty"` // all points of a sweep
	Missed     []string          `json:"missed,omitempty"` // messages about expectations that were not met
	Stopped    string            `json:"stopped,omitempty"`
}

// Point holds the results for one value of a sweep.
type Point struct {
	Point    string    `json:"point"`
	Variants []Variant `json:"arms"`
}

// FaultSpan is the time during which a fault was active, in seconds from the start of the run.
type FaultSpan struct {
	Kind  string  `json:"kind"`
	Tier  string  `json:"tier,omitempty"` // empty: all tiers
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
}

// Latency holds latency percentiles of served requests in milliseconds. Latency is measured from
// the time at which the request was due to be sent.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Rule is the verdict on one rule, over all runs.
type Rule struct {
	Rule       string  `json:"rule"`
	Violations int     `json:"broken"`
	FirstS     float64 `json:"first_s"`
	Detail     string  `json:"detail"` // of the first violation
}

// RunSummary holds the results of one run of a variant. Outcomes are fractions of Offered.
type RunSummary struct {
	Seed               uint64  `json:"seed"`
	Offered            int64   `json:"offered"`
	ServedInTime       float64 `json:"served_in_time"`
	ServedLate         float64 `json:"late"`
	Rejected           float64 `json:"refused"`
	Failed             float64 `json:"failed"`
	ServedWeight       float64 `json:"worth"` // priority weight served in time, as a fraction of all requests' weight
	P50                float64 `json:"p50_ms"`
	P99                float64 `json:"p99_ms"`
	AttemptsPerRequest float64 `json:"attempts_per_request"`
	Void               string  `json:"void,omitempty"`
}

// Outcomes holds the number of requests with each outcome. Its fields become fields of the JSON
// objects of the types that embed it.
type Outcomes struct {
	ServedInTime int64 `json:"served_in_time"`
	ServedLate   int64 `json:"late"`
	Rejected     int64 `json:"refused"`
	Failed       int64 `json:"failed"`
}

// newOutcomes returns counts as Outcomes.
func newOutcomes(c counters.Counts) Outcomes {
	return Outcomes{
		ServedInTime: c[counters.ServedInTime],
		ServedLate:   c[counters.ServedLate],
		Rejected:     c[counters.Rejected],
		Failed:       c[counters.Failed],
	}
}

// total returns the number of requests with any outcome.
func (o Outcomes) total() int64 { return o.ServedInTime + o.ServedLate + o.Rejected + o.Failed }

// plus returns the sum of o and other for each outcome.
func (o Outcomes) plus(other Outcomes) Outcomes {
	return Outcomes{
		ServedInTime: o.ServedInTime + other.ServedInTime,
		ServedLate:   o.ServedLate + other.ServedLate,
		Rejected:     o.Rejected + other.Rejected,
		Failed:       o.Failed + other.Failed,
	}
}

// Second counts the requests that were due to be sent within one second of the run, over all runs.
type Second struct {
	Outcomes
	P99 float64 `json:"p99_ms"` // mean over the runs
}

// Group counts the requests of a class or a tenant.
type Group struct {
	Name    string `json:"name"`
	Offered int64  `json:"offered"`
	Outcomes
}

// Server holds the counts of one server in the first run that is not void.
type Server struct {
	Name     string  `json:"name"`
	Kind     string  `json:"kind"`
	Arrivals int64   `json:"arrivals"`
	Rejected int64   `json:"declined"`
	Load     float64 `json:"load"` // busy fraction of its cores during its lifetime
}

// Cost holds the resources that the programs under test used. It is measured on sockets only.
type Cost struct {
	CPUSeconds  float64 `json:"cpu_s"`
	CPUPerReqUs float64 `json:"cpu_us_per_request"`
	MemoryMB    float64 `json:"memory_mb"`   // largest of any one program in any run
	Descriptors int     `json:"descriptors"` // likewise
}

// Variant holds the results of one variant over all runs.
type Variant struct {
	Name    string `json:"name"`
	Policy  string `json:"policy"`
	Offered int64  `json:"offered"`
	Outcomes
	ServedWeight       float64       `json:"worth"` // as in RunSummary
	LatencyMs          Latency       `json:"latency_ms"`
	AttemptsPerRequest float64       `json:"attempts_per_request"`
	RetriesPerRequest  float64       `json:"resends_per_request,omitempty"` // attempts beyond the first, in virtual time
	Rules              []Rule        `json:"rules"`
	Runs               []RunSummary  `json:"repeats"` // one for each seed
	Classes            []Group       `json:"classes"`
	Tenants            []Group       `json:"tenants,omitempty"`
	Seconds            []Second      `json:"seconds"`
	Servers            []Server      `json:"boxes"`
	AddedServers       *AddedServers `json:"fresh,omitempty"`
	Reasons            Reasons       `json:"why,omitempty"` // of instances of all tiers, in virtual time only
	Cost               *Cost         `json:"cost,omitempty"`
	LatenessMs         float64       `json:"lateness_ms,omitempty"` // how late requests were sent: p99 of the worst run
	Log                []string      `json:"log,omitempty"`         // of the first run that is not void

	totals totals
}

// AddedServers describes the servers that were added during a run, over all runs.
type AddedServers struct {
	Servers int `json:"boxes"`
	// WarmupPeak is the highest load that any added server was sent within Rules.OverloadWindow, as a
	// multiple of its capacity at that time.
	WarmupPeak float64 `json:"peak"`
	Overloaded int     `json:"over"` // number of added servers whose own peak exceeded 1
	// TimeToFullLoadS is the median time until an added server received as many requests as the
	// others. It is known in virtual time only.
	TimeToFullLoadS float64 `json:"full_s,omitempty"`
}

// Reasons counts the requests that were not served, by reason.
type Reasons map[balancer.Reason]int64

// String returns the reasons with their counts, the most frequent reason first.
func (r Reasons) String() string {
	names := slices.SortedFunc(maps.Keys(r), func(x, y balancer.Reason) int {
		return cmp.Or(cmp.Compare(r[y], r[x]), cmp.Compare(x, y))
	})
	var out []string
	for _, name := range names {
		out = append(out, fmt.Sprintf("%s %d", name, r[name]))
	}
	return strings.Join(out, ", ")
}

// Run is the result of one run, as a driver returns it.
type Run struct {
	Variant  experiment.Variant
	Seed     uint64
	Counters *counters.Counters
	Verdicts []invariant.Verdict
	Cost     *Cost
	Lateness time.Duration // p99 of how late the driver sent requests
	Void     string        // reason for which the run does not count; empty if it does
	Log      []string
}

// minFaultSpan is the minimum length of a FaultSpan. It keeps faults without a duration visible in
// charts.
const minFaultSpan = 100 * time.Millisecond

// New returns a report without results for an experiment. The caller sets Virtual.
func New(e *experiment.Experiment) *Report {
	r := &Report{
		Version:    Version,
		Experiment: e.Name,
		Question:   e.Question,
		Seeds:      e.Seeds,
		Settings:   e.Settings,
		DurationS:  e.Duration.Seconds(),
		WarmupS:    e.Warmup.Seconds(),
	}
	if len(e.Seeds) > 0 {
		r.Seed = e.Seeds[0]
	}
	for _, f := range e.Faults {
		end := max(f.End(), f.At+minFaultSpan)
		r.Faults = append(r.Faults, FaultSpan{
			Kind:  string(f.Kind),
			Tier:  f.Tier,
			FromS: f.At.Seconds(),
			ToS:   end.Seconds(),
		})
	}
	return r
}

// Violations returns the number of violations of all rules.
func (v *Variant) Violations() int {
	n := 0
	for _, r := range v.Rules {
		n += r.Violations
	}
	return n
}

// Fraction returns n as a fraction of the number of offered requests.
func (v *Variant) Fraction(n int64) float64 { return ratio(float64(n), float64(v.Offered)) }

// milliseconds returns a duration as a number of milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
