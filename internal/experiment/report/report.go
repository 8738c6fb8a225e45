// Package report words what plays came to: as JSON, as text for a terminal and as one HTML page without outside parts.
package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
)

// Version is that of the JSON form; docs/lab.md describes it. It grows when a field changes its meaning.
const Version = 1

// Report is what one run of an experiment came to.
type Report struct {
	Version    int               `json:"version"`
	Experiment string            `json:"experiment"`
	Question   string            `json:"question"`
	Seed       uint64            `json:"seed"`
	Seeds      []uint64          `json:"seeds"`
	Virtual    bool              `json:"virtual"`
	Settings   map[string]string `json:"settings,omitempty"`
	DurationS  float64           `json:"duration_s"`
	WarmupS    float64           `json:"warmup_s"`
	Faults     []FaultSpan       `json:"faults,omitempty"`
	Variants   []Variant         `json:"arms"`             // of the only point, or of a sweep's first
	Points     []Point           `json:"points,omitempty"` // of a sweep
	Missed     []string          `json:"missed,omitempty"` // expectations that were not met
	Stopped    string            `json:"stopped,omitempty"`
}

// Point is one value of a sweep.
type Point struct {
	Point    string    `json:"point"`
	Variants []Variant `json:"arms"`
}

// FaultSpan is a fault as the page shows it.
type FaultSpan struct {
	Kind  string  `json:"kind"`
	Tier  string  `json:"tier,omitempty"`
	FromS float64 `json:"from_s"`
	ToS   float64 `json:"to_s"`
}

// Latency is in milliseconds, from the intended time of sending.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Rule is the verdict on one rule, over all repeats.
type Rule struct {
	Rule       string  `json:"rule"`
	Violations int     `json:"broken"`
	FirstS     float64 `json:"first_s"`
	Detail     string  `json:"detail"`
}

// Repeat is one play of a variant.
type Repeat struct {
	Seed               uint64  `json:"seed"`
	Offered            int64   `json:"offered"`
	ServedInTime       float64 `json:"served_in_time"` // shares
	ServedLate         float64 `json:"late"`
	Rejected           float64 `json:"refused"`
	Failed             float64 `json:"failed"`
	ServedWeight       float64 `json:"worth"` // share of the worth asked for that was served in time
	P50                float64 `json:"p50_ms"`
	P99                float64 `json:"p99_ms"`
	AttemptsPerRequest float64 `json:"attempts_per_request"`
	Void               string  `json:"void,omitempty"`
}

// Second is what became of the requests that were to be sent within one second, over all repeats.
type Second struct {
	ServedInTime int64   `json:"served_in_time"`
	ServedLate   int64   `json:"late"`
	Rejected     int64   `json:"refused"`
	Failed       int64   `json:"failed"`
	P99          float64 `json:"p99_ms"` // mean over the repeats
}

// Group is a class's or a tenant's part.
type Group struct {
	Name         string `json:"name"`
	Offered      int64  `json:"offered"`
	ServedInTime int64  `json:"served_in_time"`
	ServedLate   int64  `json:"late"`
	Rejected     int64  `json:"refused"`
	Failed       int64  `json:"failed"`
}

// Server is one server's part in the first repeat.
type Server struct {
	Name     string  `json:"name"`
	Kind     string  `json:"kind"`
	Arrivals int64   `json:"arrivals"`
	Rejected int64   `json:"declined"`
	Load     float64 `json:"load"` // busy share of its cores while it was there
}

// Cost is what the programs under test used, on sockets only.
type Cost struct {
	CPUSeconds  float64 `json:"cpu_s"`
	CPUPerReqUs float64 `json:"cpu_us_per_request"`
	MemoryMB    float64 `json:"memory_mb"` // the largest of any one
	Descriptors int     `json:"descriptors"`
}

// Variant is what one variant came to over all repeats.
type Variant struct {
	Name               string        `json:"name"`
	Policy             string        `json:"policy"`
	Offered            int64         `json:"offered"`
	ServedInTime       int64         `json:"served_in_time"`
	ServedLate         int64         `json:"late"`
	Rejected           int64         `json:"refused"`
	Failed             int64         `json:"failed"`
	ServedWeight       float64       `json:"worth"`
	LatencyMs          Latency       `json:"latency_ms"`
	AttemptsPerRequest float64       `json:"attempts_per_request"`
	RetriesPerRequest  float64       `json:"resends_per_request,omitempty"` // attempts beyond the first, in virtual time
	Rules              []Rule        `json:"rules"`
	Repeats            []Repeat      `json:"repeats"`
	Classes            []Group       `json:"classes"`
	Tenants            []Group       `json:"tenants,omitempty"`
	Seconds            []Second      `json:"seconds"`
	Servers            []Server      `json:"boxes"`
	AddedServers       *AddedServers `json:"fresh,omitempty"`
	Reasons            Reasons       `json:"why,omitempty"` // instances of all tiers refused or failed, in virtual time
	Cost               *Cost         `json:"cost,omitempty"`
	LatenessMs         float64       `json:"lateness_ms,omitempty"` // of the test bed's own sending, p99 of the worst repeat
	Log                []string      `json:"log,omitempty"`

	latency         *hdrhistogram.Histogram
	timesToFullLoad []float64 // of fresh servers, in seconds
}

// Reasons counts requests by the reason for which they were not served.
type Reasons map[balancer.Reason]int64

// String words the reasons, the most frequent one first.
func (r Reasons) String() string {
	names := slices.SortedFunc(maps.Keys(r), func(x, y balancer.Reason) int { return cmp.Or(cmp.Compare(r[y], r[x]), cmp.Compare(x, y)) })
	var out []string
	for _, name := range names {
		out = append(out, fmt.Sprintf("%s %d", name, r[name]))
	}
	return strings.Join(out, ", ")
}

// AddedServers is what became of servers that came cold, over all repeats.
type AddedServers struct {
	Servers         int     `json:"boxes"`
	WarmupPeak      float64 `json:"peak"`             // the most that any one was sent within the checker's window, in multiples of its capacity then
	Overloaded      int     `json:"over"`             // servers that were sent more than that capacity
	TimeToFullLoadS float64 `json:"full_s,omitempty"` // median time until one carried as much as the others, in virtual time
}

// Run is one play as a driver returns it.
type Run struct {
	Variant  experiment.Variant
	Seed     uint64
	Counters *counters.Counters
	Verdicts []invariant.Verdict
	Cost     *Cost
	Lateness time.Duration
	Void     string // why the play says nothing; empty if it does
	Log      []string
}

// New returns a report with no plays yet.
func New(e *experiment.Experiment, virtual bool) *Report {
	r := &Report{Version: Version, Experiment: e.Name, Question: e.Question, Seeds: e.Seeds, Virtual: virtual,
		Settings: e.Settings, DurationS: e.Duration.Seconds(), WarmupS: e.Warmup.Seconds()}
	if len(e.Seeds) > 0 {
		r.Seed = e.Seeds[0]
	}
	for _, f := range e.Faults {
		r.Faults = append(r.Faults, FaultSpan{string(f.Kind), f.Tier, f.At.Seconds(), max(f.End(), f.At+100*time.Millisecond).Seconds()})
	}
	return r
}

// Summarise turns the plays of one point into its variants, in the order of the experiment's.
func Summarise(e *experiment.Experiment, plays []Run) []Variant {
	var out []Variant
	for _, a := range e.Variants {
		arm := Variant{Name: a.Name, Policy: a.Policy}
		var total counters.Counts
		classes := make([]counters.Counts, len(e.Site.Classes))
		tenants := make([]counters.Counts, len(e.Site.Tenants))
		var requests, attempts, sent int64
		var worth, earned float64
		for _, p := range plays {
			if p.Variant.Name != a.Name {
				continue
			}
			arm.addRun(p)
			if p.Void != "" {
				continue
			}
			t := p.Counters
			total.Add(t.Total)
			for i := range classes {
				classes[i].Add(t.Classes[i])
			}
			for i := range tenants {
				tenants[i].Add(t.Tenants[i])
			}
			requests, attempts = requests+t.Requests, attempts+t.Attempts
			sent += t.RequestsSent
			worth, earned = worth+t.OfferedWeight, earned+t.ServedWeight
		}
		arm.Offered, arm.ServedInTime, arm.ServedLate = total.Offered(), total[counters.ServedInTime], total[counters.ServedLate]
		arm.Rejected, arm.Failed = total[counters.Rejected], total[counters.Failed]
		arm.AttemptsPerRequest, arm.ServedWeight = ratio(float64(attempts), float64(requests)), ratio(earned, worth)
		if sent > 0 {
			arm.RetriesPerRequest = ratio(float64(attempts-sent), float64(requests))
		}
		if arm.latency != nil {
			arm.LatencyMs = Latency{quantile(arm.latency, 50), quantile(arm.latency, 90), quantile(arm.latency, 99), quantile(arm.latency, 99.9)}
		}
		for i, c := range e.Site.Classes {
			arm.Classes = append(arm.Classes, newGroup(c.Name, classes[i]))
		}
		for i, t := range e.Site.Tenants {
			arm.Tenants = append(arm.Tenants, newGroup(t.Name, tenants[i]))
		}
		if c := arm.Cost; c != nil {
			c.CPUPerReqUs = ratio(c.CPUSeconds*1e6, float64(requests))
		}
		out = append(out, arm)
	}
	return out
}

// addRun adds one play. A void one is listed and counts for nothing.
func (v *Variant) addRun(p Run) {
	r := Repeat{Seed: p.Seed, Void: p.Void}
	if t := p.Counters; t != nil {
		r.Offered = t.Total.Offered()
		r.ServedInTime, r.ServedLate = t.Total.Fraction(counters.ServedInTime), t.Total.Fraction(counters.ServedLate)
		r.Rejected, r.Failed = t.Total.Fraction(counters.Rejected), t.Total.Fraction(counters.Failed)
		r.ServedWeight, r.AttemptsPerRequest = ratio(t.ServedWeight, t.OfferedWeight), ratio(float64(t.Attempts), float64(t.Requests))
		r.P50, r.P99 = ms(t.Quantile(0.5)), ms(t.Quantile(0.99))
	}
	v.Repeats = append(v.Repeats, r)
	v.LatenessMs = max(v.LatenessMs, ms(p.Lateness))
	if p.Void != "" {
		return
	}
	for why, n := range p.Counters.Reasons {
		if v.Reasons == nil {
			v.Reasons = Reasons{}
		}
		v.Reasons[why] += n
	}
	for i, verdict := range p.Verdicts {
		if i == len(v.Rules) {
			v.Rules = append(v.Rules, Rule{Rule: string(verdict.Rule)})
		}
		if rule := &v.Rules[i]; verdict.Violations > 0 {
			if rule.Violations == 0 || verdict.FirstAt.Seconds() < rule.FirstS {
				rule.FirstS, rule.Detail = verdict.FirstAt.Seconds(), verdict.Detail
			}
			rule.Violations += verdict.Violations
		}
	}
	for s, c := range p.Counters.Seconds {
		if s == len(v.Seconds) {
			v.Seconds = append(v.Seconds, Second{})
		}
		x := &v.Seconds[s]
		x.ServedInTime, x.ServedLate, x.Rejected, x.Failed = x.ServedInTime+c[counters.ServedInTime], x.ServedLate+c[counters.ServedLate], x.Rejected+c[counters.Rejected], x.Failed+c[counters.Failed]
		n := float64(len(v.Repeats))
		x.P99 += (ms(p.Counters.P99OfSecond(s)) - x.P99) / n
	}
	for _, b := range p.Counters.Servers {
		if !b.AddedDuringRun {
			continue
		}
		if v.AddedServers == nil {
			v.AddedServers = &AddedServers{}
		}
		f := v.AddedServers
		f.Servers, f.WarmupPeak = f.Servers+1, max(f.WarmupPeak, b.WarmupPeak)
		if b.WarmupPeak > 1 {
			f.Overloaded++
		}
		if b.TimeToFullLoad > 0 {
			v.timesToFullLoad = append(v.timesToFullLoad, b.TimeToFullLoad.Seconds())
			slices.Sort(v.timesToFullLoad)
			f.TimeToFullLoadS = v.timesToFullLoad[len(v.timesToFullLoad)/2]
		}
	}
	if v.latency == nil {
		v.latency = hdrhistogram.New(p.Counters.Latency.LowestTrackableValue(), p.Counters.Latency.HighestTrackableValue(), 3)
		v.Log = p.Log
		for _, b := range p.Counters.Servers {
			v.Servers = append(v.Servers, Server{b.Name, b.Kind, b.Arrivals, b.Rejected, ratio(b.Busy, b.Lifetime.Seconds()*float64(b.Cores))})
		}
	}
	v.latency.Merge(p.Counters.Latency)
	if p.Cost != nil {
		if v.Cost == nil {
			v.Cost = &Cost{}
		}
		v.Cost.CPUSeconds += p.Cost.CPUSeconds
		v.Cost.MemoryMB = max(v.Cost.MemoryMB, p.Cost.MemoryMB)
		v.Cost.Descriptors = max(v.Cost.Descriptors, p.Cost.Descriptors)
	}
}

func newGroup(name string, c counters.Counts) Group {
	return Group{name, c.Offered(), c[counters.ServedInTime], c[counters.ServedLate], c[counters.Rejected], c[counters.Failed]}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Violations is how many breaches of rules the variant has.
func (v *Variant) Violations() int {
	n := 0
	for _, r := range v.Rules {
		n += r.Violations
	}
	return n
}

// Fraction is a part of what was offered.
func (v *Variant) Fraction(n int64) float64 { return ratio(float64(n), float64(v.Offered)) }

// CheckExpectations holds variants against an experiment's expectations and words those that are not met.
func CheckExpectations(e *experiment.Experiment, arms []Variant) []string {
	var out []string
	for _, x := range e.Expect {
		for i := range arms {
			a := &arms[i]
			if x.Variant != "" && x.Variant != a.Name {
				continue
			}
			miss := func(format string, args ...any) {
				out = append(out, fmt.Sprintf("%s: arm %s: ", x.Position, a.Name)+fmt.Sprintf(format, args...))
			}
			if a.Offered == 0 {
				miss("nothing was measured")
				continue
			}
			if x.NoViolations && a.Violations() > 0 {
				for _, r := range a.Rules {
					if r.Violations > 0 {
						miss("rule %q is broken %d times, first at %.1f s: %s", r.Rule, r.Violations, r.FirstS, r.Detail)
					}
				}
			}
			if got := a.Fraction(a.ServedInTime); x.ServedInTimeAbove > 0 && got <= x.ServedInTimeAbove {
				miss("served in time: %.4f, wanted over %g", got, x.ServedInTimeAbove)
			}
			if got := a.Fraction(a.Rejected + a.Failed); x.FailedBelow > 0 && got >= x.FailedBelow {
				miss("refused or failed: %.4f, wanted under %g", got, x.FailedBelow)
			}
			if x.AttemptsBelow > 0 && a.AttemptsPerRequest >= x.AttemptsBelow {
				miss("attempts for each request: %.3f, wanted under %g", a.AttemptsPerRequest, x.AttemptsBelow)
			}
			if x.RetriesBelow > 0 && a.RetriesPerRequest >= x.RetriesBelow {
				miss("attempts beyond the first for each request: %.3f, wanted under %g", a.RetriesPerRequest, x.RetriesBelow)
			}
			if f := a.AddedServers; x.WarmupPeakBelow > 0 && (f == nil || f.WarmupPeak >= x.WarmupPeakBelow) {
				if f == nil {
					miss("no fresh box came")
				} else {
					miss("a fresh box was sent %.2f of its capacity, wanted under %g", f.WarmupPeak, x.WarmupPeakBelow)
				}
			}
			if x.P99Below > 0 && a.LatencyMs.P99 >= ms(x.P99Below) {
				miss("p99: %.1f ms, wanted under %v", a.LatencyMs.P99, x.P99Below)
			}
		}
	}
	return out
}

// WriteJSON writes the report to a file.
func (r *Report) WriteJSON(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadJSON reads a report that WriteJSON wrote.
func ReadJSON(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Report
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Version != Version {
		return nil, fmt.Errorf("%s: version %d of the report's form, and this program reads %d", path, r.Version, Version)
	}
	return &r, nil
}

// Write puts index.html and report.json into a folder.
func (r *Report) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := r.WriteJSON(filepath.Join(dir, "report.json")); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "index.html"))
	if err != nil {
		return err
	}
	if err := r.HTML(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// Text writes tables for a terminal.
func (r *Report) Text(w io.Writer) {
	kind := "on sockets"
	if r.Virtual {
		kind = "in virtual time"
	}
	seeds := fmt.Sprint(r.Seeds)
	if len(r.Seeds) > 20 {
		seeds = fmt.Sprintf("%d of them", len(r.Seeds))
	}
	fmt.Fprintf(w, "%s, %s, seeds %s\n%s\n", r.Experiment, kind, seeds, r.Question)
	if len(r.Points) == 0 {
		r.table(w, r.Variants)
	}
	for _, p := range r.Points {
		fmt.Fprintf(w, "\n%s\n", p.Point)
		r.table(w, p.Variants)
	}
	if r.Stopped != "" {
		fmt.Fprintf(w, "\nstopped early: %s\n", r.Stopped)
	}
	for _, m := range r.Missed {
		fmt.Fprintf(w, "\nnot met: %s", m)
	}
	if len(r.Missed) > 0 {
		fmt.Fprintln(w)
	}
}

func (r *Report) table(w io.Writer, arms []Variant) {
	fmt.Fprintf(w, "%-18s %9s %8s %7s %7s %7s %7s %8s %8s %8s %8s %6s\n", "arm", "offered", "in time", "late", "refused", "failed",
		"worth", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "tries")
	for i := range arms {
		a := &arms[i]
		fmt.Fprintf(w, "%-18s %9d %7.2f%% %6.2f%% %6.2f%% %6.2f%% %7.4f %8.1f %8.1f %8.1f %8.1f %6.3f\n", a.Name, a.Offered,
			100*a.Fraction(a.ServedInTime), 100*a.Fraction(a.ServedLate), 100*a.Fraction(a.Rejected), 100*a.Fraction(a.Failed), a.ServedWeight,
			a.LatencyMs.P50, a.LatencyMs.P90, a.LatencyMs.P99, a.LatencyMs.P999, a.AttemptsPerRequest)
	}
	for i := range arms {
		if why := arms[i].Reasons; len(why) > 0 {
			fmt.Fprintf(w, "  %s, not served: %v\n", arms[i].Name, why)
		}
		if f := arms[i].AddedServers; f != nil {
			fmt.Fprintf(w, "  %s: %d fresh boxes, sent %.2f of their capacity at most, %d of them too much", arms[i].Name, f.Servers, f.WarmupPeak, f.Overloaded)
			if f.TimeToFullLoadS > 0 { // else it was not followed, or never seen
				fmt.Fprintf(w, "; an even part after %.1f s", f.TimeToFullLoadS)
			}
			fmt.Fprintln(w)
		}
	}
	for i := range arms {
		a := &arms[i]
		for _, rule := range a.Rules {
			if rule.Violations > 0 {
				fmt.Fprintf(w, "  %s breaks %q %d times, first at %.2f s: %s\n", a.Name, rule.Rule, rule.Violations, rule.FirstS, rule.Detail)
			}
		}
		for _, p := range a.Repeats {
			if p.Void != "" {
				fmt.Fprintf(w, "  %s, seed %d is void: %s\n", a.Name, p.Seed, p.Void)
			}
		}
		if c := a.Cost; c != nil {
			fmt.Fprintf(w, "  %s: %.1f us of CPU a request, %.0f MB, %d descriptors; the rig sent %.1f ms late (p99)\n", a.Name,
				c.CPUPerReqUs, c.MemoryMB, c.Descriptors, a.LatenessMs)
		}
	}
}
