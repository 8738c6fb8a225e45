// Package metrics counts the outcomes of requests for the operators of the sidecar. Counters never
// decrease, and are written and read without a lock.
package metrics

import (
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
)

// Outcome is the result of a request.
type Outcome int

// The outcomes.
const (
	Success  Outcome = iota // served
	Overload                // rejected; a retry is harmless
	Error                   // failed
	outcomeCount
)

// outcomeNames contains the metric name of each outcome, without namePrefix.
var outcomeNames = [outcomeCount]string{"success", "overload", "error"}

// namePrefix is the prefix of every metric name.
const namePrefix = "sidecar_"

// labelEscaper escapes label values for the text format of metrics.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Counters contains the counters of one process. All start at 0.
type Counters struct {
	classes []*classCounters // sorted by name
	started atomic.Int64     // requests that were started
	dropped atomic.Int64     // requests that ended and are not counted with an outcome

	Reloads       atomic.Int64 // successful reloads of the configuration
	FailedReloads atomic.Int64 // failed reloads of the configuration
}

// classCounters counts the requests of one class by their outcomes.
type classCounters struct {
	name     string
	outcomes [outcomeCount]atomic.Int64
}

// New returns counters for the classes with the given names, which may contain duplicates.
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

// RequestFinished counts the outcome of a request. The class must be one of those passed to New;
// the outcome of any other class is not counted.
func (c *Counters) RequestFinished(class string, outcome Outcome) {
	i, found := slices.BinarySearchFunc(c.classes, class, func(counters *classCounters, name string) int {
		return strings.Compare(counters.name, name)
	})
	if found {
		c.classes[i].outcomes[outcome].Add(1)
	}
}

// RequestDropped counts a request that ended and is not counted with an outcome.
func (c *Counters) RequestDropped() { c.dropped.Add(1) }

// Gauges contains the metrics that are not part of Counters.
type Gauges struct {
	Dispatches            int64 // attempts whose request was written completely
	ListedEndpoints       int   // endpoints in the list
	UnselectableEndpoints int   // ready endpoints that are disabled or not in the balancer's ordinary selection
}

// Append appends all metrics, one per line. The metrics of requests are consistent: no request is
// counted both with an outcome and as in flight.
func (c *Counters) Append(b []byte, gauges Gauges) []byte {
	// The counters of ended requests are read before the counter of started requests. A request
	// starts before it ends, so the difference is never negative.
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
	b = appendMetric(b, "targets_disabled", int64(gauges.UnselectableEndpoints))
	b = appendMetric(b, "reload_success", c.Reloads.Load())
	return appendMetric(b, "reload_failure", c.FailedReloads.Load())
}

// appendMetric appends the line of one metric. The name is without namePrefix.
func appendMetric(b []byte, name string, value int64) []byte {
	b = append(b, namePrefix...)
	b = append(b, name...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, value, 10)
	return append(b, '\n')
}
