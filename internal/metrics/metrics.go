// Package metrics counts the outcomes of requests, for the operators of the sidecar. Counters only
// grow, and are written and read without a lock.
package metrics

import (
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
)

// Outcome is how a request ended.
type Outcome int

// The outcomes.
const (
	Success  Outcome = iota // served
	Overload                // rejected: a retry is harmless
	Error                   // failed
	outcomeCount
)

// outcomeNames are the names of the outcomes' metrics, without the prefix.
var outcomeNames = [outcomeCount]string{"success", "overload", "error"}

// namePrefix begins the name of each metric.
const namePrefix = "sidecar_"

// labelEscaper escapes label values for the text format of metrics.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Counters are the counters of one process. All begin at 0.
type Counters struct {
	classes []*classCounters // sorted by name
	started atomic.Int64     // requests
	dropped atomic.Int64     // requests that were started and have no outcome

	Reloads       atomic.Int64 // of the configuration
	FailedReloads atomic.Int64
}

// classCounters counts the requests of one class by their outcomes.
type classCounters struct {
	name     string
	outcomes [outcomeCount]atomic.Int64
}

// New returns the counters of the classes with the names given, which may be repeated.
func New(classNames []string) *Counters {
	names := slices.Compact(slices.Sorted(slices.Values(classNames)))
	c := &Counters{classes: make([]*classCounters, len(names))}
	for i, name := range names {
		c.classes[i] = &classCounters{name: name}
	}
	return c
}

// RequestStarted counts a request. RequestFinished or RequestDropped must follow.
func (c *Counters) RequestStarted() { c.started.Add(1) }

// RequestFinished counts the outcome of a request. The class must be one that New was given; the
// outcome of another is not counted.
func (c *Counters) RequestFinished(class string, outcome Outcome) {
	i, found := slices.BinarySearchFunc(c.classes, class, func(counters *classCounters, name string) int {
		return strings.Compare(counters.name, name)
	})
	if found {
		c.classes[i].outcomes[outcome].Add(1)
	}
}

// RequestDropped ends a request that is not counted with an outcome.
func (c *Counters) RequestDropped() { c.dropped.Add(1) }

// Gauges are the metrics that the counters do not contain.
type Gauges struct {
	Dispatches       int64 // attempts whose request was written completely
	ListedEndpoints  int   // endpoints in the list
	AvoidedEndpoints int   // listed endpoints that are not in ordinary rotation
}

// Append appends all metrics, one a line. Those of requests are one consistent reading: no request
// is counted both with an outcome and as in flight.
func (c *Counters) Append(b []byte, gauges Gauges) []byte {
	// The requests that have ended are read before those that have started: a request starts before
	// it ends, so the difference is never negative.
	ended := c.dropped.Load()
	for outcome := range outcomeCount {
		for _, class := range c.classes {
			n := class.outcomes[outcome].Load()
			ended += n
			b = appendMetric(b, outcomeNames[outcome]+`{type="`+labelEscaper.Replace(class.name)+`"}`, n)
		}
	}
	b = appendMetric(b, "dispatches", gauges.Dispatches)
	b = appendMetric(b, "concurrent", c.started.Load()-ended)
	b = appendMetric(b, "targets", int64(gauges.ListedEndpoints))
	b = appendMetric(b, "targets_disabled", int64(gauges.AvoidedEndpoints))
	b = appendMetric(b, "reload_success", c.Reloads.Load())
	return appendMetric(b, "reload_failure", c.FailedReloads.Load())
}

// appendMetric appends the line of one metric, named without the prefix.
func appendMetric(b []byte, name string, value int64) []byte {
	b = append(b, namePrefix...)
	b = append(b, name...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, value, 10)
	return append(b, '\n')
}
