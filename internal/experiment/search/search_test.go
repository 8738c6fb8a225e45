package search

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"rowancart/internal/experiment"
)

// smallBounds is a bounds file whose sites run quickly.
const smallBounds = `search "small" {
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
	b := parseBounds(t, smallBounds)
	drawn := map[experiment.FaultKind]bool{}
	for n := range 300 {
		e := Draw(b, 7, n)
		if !reflect.DeepEqual(e, Draw(b, 7, n)) {
			t.Fatalf("drawing site %d twice gives different sites", n)
		}
		s := e.Site
		if s.Balancers < 1 || s.Balancers > 4 || s.Tiers[0].Servers < 1 || s.Tiers[0].Servers > 6 ||
			len(s.Tiers) > 2 || len(s.Classes) > 2 {
			t.Fatalf("site %d has too many or too few instances, servers, tiers or classes: %s", n, Describe(e))
		}
		if s.Tiers[0].Servers > 1 && s.Tiers[0].Servers*s.Balancers > 20 {
			t.Fatalf("site %d has more than 20 pairs of an instance and a server: %s", n, Describe(e))
		}
		// 200 requests in at least 1 s, extended to minRequests (300), with a tolerance for
		// rounding.
		if e.Load.Rate > 200 || e.Load.Rate*e.Duration.Seconds() > 320 {
			t.Fatalf("site %d exceeds 200 requests a second or 320 requests: %s", n, Describe(e))
		}
		for _, f := range e.Faults {
			drawn[f.Kind] = true
			_, known := experiment.FaultKinds[f.Kind]
			atStart := f.At <= 0 && f.Kind != experiment.DiscoverySilence
			if !known || atStart || f.Fraction <= 0 || f.Fraction > 1 {
				t.Fatalf("site %d has the invalid fault %+v", n, f)
			}
		}
	}
	if len(drawn) != 5 { // flap: crashes; step: not a fault; silent_crash: a crash and silence of discovery
		t.Errorf("the kinds of faults drawn are %v, want 5", drawn)
	}
}

// runSites runs sites and writes a results file.
func runSites(t *testing.T, b *Bounds, o Options) {
	t.Helper()
	if err := Run(t.Context(), b, o); err != nil {
		t.Fatal(err)
	}
}

func readSites(t *testing.T, path string) []SiteResult {
	t.Helper()
	sites, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	return sites
}

// A search that is killed while it writes a line leaves an incomplete last line. It must be
// possible to resume it, with the same results as a search that was not interrupted.
func TestStoppedRunIsResumed(t *testing.T) {
	b := parseBounds(t, smallBounds)
	dir := t.TempDir()
	complete := filepath.Join(dir, "complete")
	resumed := filepath.Join(dir, "resumed")
	runSites(t, b, Options{Seed: 3, To: 6, Out: complete})
	runSites(t, b, Options{Seed: 3, To: 4, Out: resumed})
	text, err := os.ReadFile(resumed)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(resumed, text[:len(text)-20], 0o600); err != nil {
		t.Fatal(err)
	}
	runSites(t, b, Options{Seed: 3, To: 6, Out: resumed})
	want := readSites(t, complete)
	got := readSites(t, resumed)
	if len(want) != 6 || !reflect.DeepEqual(got, want) {
		t.Errorf("results of the resumed search: %v\nof the uninterrupted one: %v", got, want)
	}
	err = Run(t.Context(), b, Options{Seed: 4, To: 6, Out: resumed})
	if err == nil || !strings.Contains(err.Error(), "another seed") {
		t.Errorf("appending results of another seed: got error %v, want one that names the seed", err)
	}
}

func TestResultsAreSummarisedAndPlotted(t *testing.T) {
	b := parseBounds(t, smallBounds)
	results := filepath.Join(t.TempDir(), "results")
	runSites(t, b, Options{Seed: 3, To: 6, Out: results})
	s := Summarise(b, readSites(t, results))
	var text strings.Builder
	s.Text(&text, b, 3, 2)
	if !strings.HasPrefix(text.String(), "6 sites: ") || !strings.Contains(text.String(), "least_outstanding") {
		t.Errorf("the summary lacks the number of sites or a baseline: %q", text.String())
	}
	var plot strings.Builder
	if err := Plot(&plot, []string{"a", "b"}, []Summary{s, s}); err != nil || !strings.Contains(plot.String(), "<svg") {
		t.Errorf("Plot: error %v, want an SVG, got %q", err, plot.String())
	}
}

func TestRegretExcludesRunsThatSelectedTheBaseline(t *testing.T) {
	s := SiteResult{ServedWeight: map[string][]float64{
		Design: {0.5, 0.5, 0.5, 0.5, 0.5},
		"a":    {0.9, 0.7, 0.55, 0.53, 0.54},
		"b":    {0.6, 0.6, 0.9, 0.9, 0.9},
	}}
	r := s.Regret(2)
	if r.Baseline != "a" || r.Mean < 0.039 || r.Mean > 0.041 || r.Bound < 0.024 || r.Bound > 0.026 || !r.Significant() {
		t.Errorf("regret is %+v, want a significant one of 0.04 ±0.025 against a", r)
	}
	s.ServedWeight["a"] = []float64{0.9, 0.7, 0.5, 0.58, 0.54}
	if r := s.Regret(2); r.Significant() {
		t.Errorf("regret %+v is significant, want it to be within noise", r)
	}
	s.ServedWeight = map[string][]float64{Design: {0.5, 0.5}, "a": {0.501, 0.502}}
	if r := s.Regret(2); r.Significant() || r.Mean <= 0 {
		t.Errorf("regret is %+v, want a positive one that is not significant: both runs selected the baseline", r)
	}
}

func TestFaultsInBoundsNameTheirPlace(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"span in descending order", "[1, 6]", "[6, 1]",
			`small.hcl:2:3: boxes: must be two integers from 1 to 1000000, the smaller one first`},
		{"span of one duration", `["1ms", "20ms"]`, `["1ms"]`,
			`small.hcl:7:3: work: must be two durations above 0s, the shorter one first`},
		{"load of 0", "[0.1, 1.2]", "[0, 1.2]",
			`small.hcl:8:3: load: must be two numbers above 0, the smaller one first`},
		{"rates in descending order", `"1000/s"`, `"1/s"`,
			`small.hcl:10:3: rate_most: must be at least rate_least, which must be above 0`},
		{"too few requests", "requests     = 200", "requests     = 2",
			`small.hcl:13:3: requests and known: must be at least 100 requests and 1 pair`},
		{"too many tiers", "tiers        = [1, 2]", "tiers        = [1, 4]", `small.hcl:5:3: tiers: must be at most 3`},
		{"unknown baseline", `"random", `, `"best", `,
			`small.hcl:16:3: rivals: "best" is not one of random, round_robin, ` +
				`least_outstanding, two_choices, peak_ewma`},
		{"no baseline", `["random", "least_outstanding"]`, `[]`, `small.hcl:16:3: rivals: must name at least one policy`},
		{"too few repeats", "= 4\n", "= 3\n",
			`small.hcl:18:3: more_repeats: must exceed repeats by at least 2: ` +
				`regret excludes the runs that selected the baseline`},
		{"unknown fault", `"flap"`, `"flop"`, `small.hcl:15:3: fault_kinds: "flop" is not one of `},
		{"unknown block", `search "small"`, `serch "small"`, `small.hcl:1:1: Unsupported block type`},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(smallBounds, c.old, c.new, 1)
			if text == smallBounds {
				t.Fatalf("%q is not in smallBounds", c.old)
			}
			if _, err := Parse([]byte(text), "small.hcl"); err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}
