// Package metrics counts what became of requests, for the people who operate the sidecar. Counters only grow, and are written
// and read without a lock.
package metrics

import (
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
)

// Outcome is how a request ended.
type Outcome int

// The ends.
const (
	Success  Outcome = iota // served
	Overload                // refused: trying again is harmless
	Error                   // failed
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"success", "overload", "error"}

// namePrefix begins each name.
const namePrefix = "sidecar_"

// Counters are the counters of one process, all from 0.
type Counters struct {
	classes []*classCounters // by name
	started atomic.Int64
	dropped atomic.Int64

	Reloads, FailedReloads atomic.Int64
}

type classCounters struct {
	name     string
	outcomes [outcomeCount]atomic.Int64
}

// New returns the figures of the classes named.
func New(names []string) *Counters {
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	f := &Counters{classes: make([]*classCounters, len(names))}
	for i, name := range names {
		f.classes[i] = &classCounters{name: name}
	}
	return f
}

// RequestStarted counts a request of a class that was named in. Finish must follow.
func (c *Counters) RequestStarted() { c.started.Add(1) }

// RequestFinished counts a request out.
func (c *Counters) RequestFinished(name string, e Outcome) {
	if i, found := slices.BinarySearchFunc(c.classes, name, func(c *classCounters, name string) int { return strings.Compare(c.name, name) }); found {
		c.classes[i].outcomes[e].Add(1)
	}
}

// RequestDropped takes back a request that turned out to be none that ends in any of these ways.
func (c *Counters) RequestDropped() { c.dropped.Add(1) }

// Gauges are the figures that are known elsewhere.
type Gauges struct {
	Dispatches       int64 // attempts written whole
	ListedEndpoints  int   // endpoints in the list
	AvoidedEndpoints int   // of them, avoided now
}

// Append appends all figures, a line each. What it tells of requests is one reading: none is counted both as ended and as under way.
func (c *Counters) Append(b []byte, g Gauges) []byte {
	ended := c.dropped.Load()
	for e := range outcomeCount {
		for i := range c.classes {
			n := c.classes[i].outcomes[e].Load()
			ended += n
			b = append(append(append(b, namePrefix...), outcomeNames[e]...), `{type="`...)
			b = append(append(b, labelEscaper.Replace(c.classes[i].name)...), `"} `...)
			b = append(strconv.AppendInt(b, n, 10), '\n')
		}
	}
	for _, line := range []struct {
		name string
		n    int64
	}{
		{"dispatches", g.Dispatches},
		{"concurrent", c.started.Load() - ended}, // read behind the ends: a request is taken before it ends
		{"targets", int64(g.ListedEndpoints)},
		{"targets_disabled", int64(g.AvoidedEndpoints)},
		{"reload_success", c.Reloads.Load()},
		{"reload_failure", c.FailedReloads.Load()},
	} {
		b = append(append(append(b, namePrefix...), line.name...), ' ')
		b = append(strconv.AppendInt(b, line.n, 10), '\n')
	}
	return b
}

// labelEscaper writes label values as the text format for metrics has them.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
