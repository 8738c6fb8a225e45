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
	ends
)

var endNames = [ends]string{"success", "overload", "error"}

// prefix begins each name.
const prefix = "sidecar_"

// Counters are the counters of one process, all from 0.
type Counters struct {
	classes []*class // by name
	taken   atomic.Int64
	dropped atomic.Int64

	Reloads, FailedReloads atomic.Int64
}

type class struct {
	name  string
	ended [ends]atomic.Int64
}

// New returns the figures of the classes named.
func New(names []string) *Counters {
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	f := &Counters{classes: make([]*class, len(names))}
	for i, name := range names {
		f.classes[i] = &class{name: name}
	}
	return f
}

// RequestStarted counts a request of a class that was named in. Finish must follow.
func (f *Counters) RequestStarted() { f.taken.Add(1) }

// RequestFinished counts a request out.
func (f *Counters) RequestFinished(name string, e Outcome) {
	if i, found := slices.BinarySearchFunc(f.classes, name, func(c *class, name string) int { return strings.Compare(c.name, name) }); found {
		f.classes[i].ended[e].Add(1)
	}
}

// RequestDropped takes back a request that turned out to be none that ends in any of these ways.
func (f *Counters) RequestDropped() { f.dropped.Add(1) }

// Gauges are the figures that are known elsewhere.
type Gauges struct {
	Dispatches int64 // attempts written whole
	Listed     int   // endpoints in the list
	Avoided    int   // of them, avoided now
}

// Append appends all figures, a line each. What it tells of requests is one reading: none is counted both as ended and as under way.
func (f *Counters) Append(b []byte, g Gauges) []byte {
	ended := f.dropped.Load()
	for e := range ends {
		for i := range f.classes {
			n := f.classes[i].ended[e].Load()
			ended += n
			b = append(append(append(b, prefix...), endNames[e]...), `{type="`...)
			b = append(append(b, escape.Replace(f.classes[i].name)...), `"} `...)
			b = append(strconv.AppendInt(b, n, 10), '\n')
		}
	}
	for _, line := range []struct {
		name string
		n    int64
	}{
		{"dispatches", g.Dispatches},
		{"concurrent", f.taken.Load() - ended}, // read behind the ends: a request is taken before it ends
		{"targets", int64(g.Listed)},
		{"targets_disabled", int64(g.Avoided)},
		{"reload_success", f.Reloads.Load()},
		{"reload_failure", f.FailedReloads.Load()},
	} {
		b = append(append(append(b, prefix...), line.name...), ' ')
		b = append(strconv.AppendInt(b, line.n, 10), '\n')
	}
	return b
}

// escape writes label values as the text format for metrics has them.
var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
