package report

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
)

// newTestReport returns a report of two runs of one variant with 100 requests each. In the first
// run, the given number of requests is served in time and the others fail; in the second, one more
// is served in time. Each run violates a rule once. A third run is void.
func newTestReport(t *testing.T, served int) (*experiment.Experiment, *Report) {
	t.Helper()
	e := &experiment.Experiment{Name: "x", Question: "<reason>?", Seeds: []uint64{1, 2}, Duration: 2 * time.Second,
		Site:     experiment.Site{Classes: []experiment.Class{{Name: "c", PriorityWeight: 1}}},
		Variants: []experiment.Variant{{Name: "a", Policy: "random"}},
		Faults:   []experiment.Fault{{Kind: experiment.Crash, At: time.Second, Duration: time.Second}},
		Expect: []experiment.Expectation{
			{NoViolations: true, Position: "x.hcl:1:1"},
			{ServedInTimeAbove: 0.95, Position: "x.hcl:2:1"},
			{P99Below: time.Second, Position: "x.hcl:3:1"},
		}}
	var runs []Run
	for seed := range uint64(2) {
		c := counters.New(e)
		for i := range 100 {
			outcome := counters.ServedInTime
			if i >= served+int(seed) {
				outcome = counters.Failed
			}
			at, latency := time.Duration(i)*20*time.Millisecond, time.Duration(i+1)*time.Millisecond
			c.Record(counters.Request{Tenant: -1, At: at, Latency: latency, Outcome: outcome})
		}
		c.Requests, c.Attempts = 100, 120
		drain := invariant.Verdict{Rule: invariant.RuleDrain, Violations: 1, FirstAt: time.Duration(2-seed) * time.Second,
			Detail: "late"}
		runs = append(runs, Run{Variant: e.Variants[0], Seed: seed + 1, Counters: c,
			Verdicts: []invariant.Verdict{{Rule: invariant.RuleResponse}, drain}})
	}
	runs = append(runs, Run{Variant: e.Variants[0], Seed: 3, Counters: counters.New(e), Void: "late"})
	r := New(e)
	r.Virtual = true
	r.Variants = Summarise(e, runs)
	return e, r
}

func TestSummary(t *testing.T) {
	e, r := newTestReport(t, 90)
	a := r.Variants[0]
	if a.Offered != 200 || a.ServedInTime != 181 || a.Failed != 19 || a.AttemptsPerRequest != 1.2 || len(a.Runs) != 3 {
		t.Errorf("got %+v, want 200 offered, 181 in time, 19 failed, 1.2 attempts per request and 3 runs", a)
	}
	if a.LatencyMs.P50 < 44 || a.LatencyMs.P50 > 47 {
		t.Errorf("p50 is %v ms for latencies from 1 to 91 ms, want 44 to 47", a.LatencyMs.P50)
	}
	if d := a.Rules[1]; d.Violations != 2 || d.FirstS != 1 {
		t.Errorf("rule drain: %+v, want 2 violations, the first at 1 s", d)
	}
	want := []string{
		`x.hcl:1:1: arm a: rule "drain" is broken 2 times, first at 1.0 s: late`,
		"x.hcl:2:1: arm a: served in time: 0.9050, wanted over 0.95",
	}
	if got := CheckExpectations(e, r.Variants); strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got unmet expectations:\n%s", strings.Join(got, "\n"))
	}
}

func TestWrittenReportIsReadBack(t *testing.T) {
	_, r := newTestReport(t, 90)
	dir := t.TempDir()
	if err := r.Write(dir); err != nil {
		t.Fatal(err)
	}
	read, err := ReadJSON(filepath.Join(dir, "report.json"))
	if err != nil || read.Variants[0].ServedInTime != 181 {
		t.Fatalf("ReadJSON returned %+v, error %v", read, err)
	}
	b, err := json.Marshal(r)
	if err != nil || !strings.HasPrefix(string(b), `{"version":1,"experiment":"x"`) {
		t.Errorf("the JSON begins with %.60s, error %v", b, err)
	}
}

// TestOutcomeFieldsInJSON checks that types that embed Outcomes write its fields at the position
// that they have in stored reports.
func TestOutcomeFieldsInJSON(t *testing.T) {
	outcomes := Outcomes{ServedInTime: 1, ServedLate: 2, Rejected: 3, Failed: 4}
	for _, c := range []struct {
		value any
		want  string
	}{
		{Second{Outcomes: outcomes, P99: 5}, `{"served_in_time":1,"late":2,"refused":3,"failed":4,"p99_ms":5}`},
		{Group{Name: "c", Offered: 10, Outcomes: outcomes},
			`{"name":"c","offered":10,"served_in_time":1,"late":2,"refused":3,"failed":4}`},
	} {
		got, err := json.Marshal(c.value)
		if err != nil || string(got) != c.want {
			t.Errorf("got %s, %v, want %s", got, err, c.want)
		}
	}
	got, err := json.Marshal(Variant{Name: "a", Policy: "p", Offered: 10, Outcomes: outcomes})
	want := `{"name":"a","policy":"p","offered":10,"served_in_time":1,"late":2,"refused":3,"failed":4,"worth":0,`
	if err != nil || !strings.HasPrefix(string(got), want) {
		t.Errorf("got %s, %v, want it to begin with %s", got, err, want)
	}
}

func TestPage(t *testing.T) {
	_, r := newTestReport(t, 90)
	var page bytes.Buffer
	if err := r.HTML(&page); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "&lt;reason&gt;", "crash", "drain", "90.50%"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, external := range []string{"http://", "https://", "<script", "<link"} {
		for line := range strings.SplitSeq(page.String(), "\n") {
			if strings.Contains(line, external) && !strings.Contains(line, "www.w3.org") { // an XML namespace is not loaded
				t.Errorf("the page loads an external resource: %.80s", line)
			}
		}
	}
}

func TestText(t *testing.T) {
	_, r := newTestReport(t, 90)
	var text bytes.Buffer
	r.Text(&text)
	if !strings.Contains(text.String(), `a breaks "drain" 2 times`) {
		t.Errorf("the text does not report the violations of drain:\n%s", &text)
	}
}

func TestCompareSeparatesNoise(t *testing.T) {
	_, a := newTestReport(t, 90)
	_, b := newTestReport(t, 90)
	_, c := newTestReport(t, 40)
	significant := func(x, y *Report) []string {
		differences, err := Compare(x, y)
		if err != nil {
			t.Fatal(err)
		}
		var out []string
		for _, d := range differences {
			if d.Significant() {
				out = append(out, d.Metric)
			}
		}
		return out
	}
	if got := significant(a, b); len(got) != 0 {
		t.Errorf("two equal reports differ in %v", got)
	}
	if got := strings.Join(significant(a, c), ", "); got != "served in time, failed, worth, p50 ms, p99 ms" {
		t.Errorf("reports with 90 and 40 requests served in time differ in %s", got)
	}
	c.Virtual = false
	if _, err := Compare(a, c); err == nil {
		t.Error("a report in virtual time was compared with one on sockets")
	}
}
