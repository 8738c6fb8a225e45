package search

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"rowancart/internal/experiment"
)

const small = `search "small" {
  boxes        = [1, 6]
  instances    = [1, 4]
  known        = 20
  tiers        = [1, 2]
  classes      = [1, 2]
  work         = ["1ms", "20ms"]
  load         = [0.1, 1.2]
  rate_least   = "5/s"
  rate_most    = "1000/s"
  quiet        = 0.1
  duration     = ["1s", "2s"]
  requests     = 200
  faults       = [0, 3]
  fault_kinds  = ["crash", "flap", "silent_crash", "fast_errors", "step", "deploy", "roster_late"]
  rivals       = ["random", "least_outstanding"]
  repeats      = 2
  more_repeats = 4
  seems        = 0.005
}
`

func parseBounds(t *testing.T, text string) *Bounds {
	t.Helper()
	b, err := Parse([]byte(text), "small.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestDrawnSitesAreWithinTheirBounds(t *testing.T) {
	b := parseBounds(t, small)
	struck := map[experiment.FaultKind]bool{}
	for n := range 300 {
		e := Draw(b, 7, n)
		if !reflect.DeepEqual(e, Draw(b, 7, n)) {
			t.Fatalf("site %d is drawn differently the second time", n)
		}
		s := e.Site
		if s.Balancers < 1 || s.Balancers > 4 || s.Tiers[0].Servers < 1 || s.Tiers[0].Servers > 6 ||
			len(s.Tiers) > 2 || len(s.Classes) > 2 {
			t.Fatalf("site %d is out of bounds: %s", n, Describe(e))
		}
		if s.Tiers[0].Servers > 1 && s.Tiers[0].Servers*s.Balancers > 20 {
			t.Fatalf("site %d has more pairs than it may: %s", n, Describe(e))
		}
		if e.Load.Rate > 200 || e.Load.Rate*e.Duration.Seconds() > 320 {
			t.Fatalf("site %d asks too much: %s", n, Describe(e))
		}
		for _, f := range e.Faults {
			struck[f.Kind] = true
			_, known := experiment.FaultKinds[f.Kind]
			atStart := f.At <= 0 && f.Kind != experiment.DiscoverySilence
			if !known || atStart || f.Fraction <= 0 || f.Fraction > 1 {
				t.Fatalf("site %d: %+v", n, f)
			}
		}
	}
	if len(struck) != 5 { // a flap is crashes, a step is of the load, and a silent crash silences the discovery service
		t.Errorf("only %v were drawn", struck)
	}
}

// A run that is killed while it writes a line is resumed, and gives the same results as one that
// was not killed.
func TestStoppedRunIsResumed(t *testing.T) {
	b := parseBounds(t, small)
	dir := t.TempDir()
	whole, cut := filepath.Join(dir, "whole"), filepath.Join(dir, "cut")
	if err := Run(t.Context(), b, Options{Seed: 3, To: 6, Out: whole}); err != nil {
		t.Fatal(err)
	}
	if err := Run(t.Context(), b, Options{Seed: 3, To: 4, Out: cut}); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(cut)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(cut, text[:len(text)-20], 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Run(t.Context(), b, Options{Seed: 3, To: 6, Out: cut}); err != nil {
		t.Fatal(err)
	}
	want, err := Read(whole)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Read(cut)
	if err != nil {
		t.Fatal(err)
	}
	if len(want) != 6 || !reflect.DeepEqual(got, want) {
		t.Errorf("gone on: %v\nat once: %v", got, want)
	}
	err = Run(t.Context(), b, Options{Seed: 4, To: 6, Out: cut})
	if err == nil || !strings.Contains(err.Error(), "another seed") {
		t.Errorf("results of another seed are added to: %v", err)
	}
	var out strings.Builder
	s := Summarise(b, got)
	s.Text(&out, b, 3, 2)
	if !strings.HasPrefix(out.String(), "6 sites: ") || !strings.Contains(out.String(), "least_outstanding") {
		t.Errorf("the report says %q", out.String())
	}
	var picture strings.Builder
	if err := Plot(&picture, []string{"a", "b"}, []Summary{s, s}); err != nil ||
		!strings.Contains(picture.String(), "<svg") {
		t.Errorf("no plot: %v", err)
	}
}

func TestRegretExcludesRunsThatSelectedTheBaseline(t *testing.T) {
	s := Site{ServedWeight: map[string][]float64{
		Design: {0.5, 0.5, 0.5, 0.5, 0.5},
		"a":    {0.9, 0.7, 0.55, 0.53, 0.54},
		"b":    {0.6, 0.6, 0.9, 0.9, 0.9},
	}}
	r := s.Regret(2)
	if r.Baseline != "a" || r.Mean < 0.039 || r.Mean > 0.041 || r.Bound < 0.024 || r.Bound > 0.026 || !r.Significant() {
		t.Errorf("regret is %+v; 0.04 ±0.025 against a is right", r)
	}
	s.ServedWeight["a"] = []float64{0.9, 0.7, 0.5, 0.58, 0.54}
	if r := s.Regret(2); r.Significant() {
		t.Errorf("%+v passes for more than noise", r)
	}
	s.ServedWeight = map[string][]float64{Design: {0.5, 0.5}, "a": {0.501, 0.502}}
	if r := s.Regret(2); r.Significant() || r.Mean <= 0 {
		t.Errorf("two runs that selected the baseline prove %+v", r)
	}
}

func TestFaultsInBoundsNameTheirPlace(t *testing.T) {
	for change, want := range map[[2]string]string{
		{"[1, 6]", "[6, 1]"}: `small.hcl:2:3: boxes: must be two integers from 1 to 1000000, ` +
			`the smaller one first`,
		{`["1ms", "20ms"]`, `["1ms"]`}: `small.hcl:7:3: work: must be two durations above 0s, the shorter one first`,
		{"[0.1, 1.2]", "[0, 1.2]"}:     `small.hcl:8:3: load: must be two numbers above 0, the smaller one first`,
		{`"1000/s"`, `"1/s"`}:          `small.hcl:10:3: rate_most: must be at least rate_least, which must be above 0`,
		{"requests     = 200", "requests     = 2"}: `small.hcl:13:3: requests and known: must be at least 100 requests ` +
			`and 1 pair`,
		{`"random", `, `"best", `}: `small.hcl:16:3: rivals: "best" is not one of random, round_robin, ` +
			`least_outstanding, two_choices, peak_ewma`,
		{"= 4\n", "= 3\n"}: `small.hcl:18:3: more_repeats: must exceed repeats by at least 2: ` +
			`regret excludes the runs that selected the baseline`,
		{`"flap"`, `"flop"`}:                `small.hcl:15:3: fault_kinds: "flop" is not one of `,
		{`search "small"`, `serch "small"`}: `small.hcl:1:1: Unsupported block type`,
	} {
		t.Run(change[1], func(t *testing.T) {
			text := strings.Replace(small, change[0], change[1], 1)
			if text == small {
				t.Fatalf("%q is not in the file", change[0])
			}
			if _, err := Parse([]byte(text), "small.hcl"); err == nil || !strings.HasPrefix(err.Error(), want) {
				t.Errorf("got %v, want %s", err, want)
			}
		})
	}
}
