package report

import (
	"testing"
	"time"

	"rowancart/internal/experiment"
)

// expectationCases are expectations that are checked for measuredVariant. The message is empty if
// the expectation is met.
var expectationCases = []struct {
	name        string
	expectation experiment.Expectation
	want        string
}{
	{"nothing is required", experiment.Expectation{}, ""},
	{"served in time", experiment.Expectation{ServedInTimeAbove: 0.69}, ""},
	{"too few served in time", experiment.Expectation{ServedInTimeAbove: 0.7},
		"served in time: 0.7000, wanted over 0.7"},
	{"failed", experiment.Expectation{FailedBelow: 0.21}, ""},
	{"too many failed", experiment.Expectation{FailedBelow: 0.2}, "refused or failed: 0.2000, wanted under 0.2"},
	{"attempts", experiment.Expectation{AttemptsBelow: 1.3}, ""},
	{"too many attempts", experiment.Expectation{AttemptsBelow: 1.2},
		"attempts for each request: 1.250, wanted under 1.2"},
	{"retries", experiment.Expectation{RetriesBelow: 0.3}, ""},
	{"too many retries", experiment.Expectation{RetriesBelow: 0.2},
		"attempts beyond the first for each request: 0.250, wanted under 0.2"},
	{"p99", experiment.Expectation{P99Below: 51 * time.Millisecond}, ""},
	{"p99 too high", experiment.Expectation{P99Below: 50 * time.Millisecond}, "p99: 50.0 ms, wanted under 50ms"},
	{"warm-up peak", experiment.Expectation{WarmupPeakBelow: 1.6}, ""},
	{"warm-up peak too high", experiment.Expectation{WarmupPeakBelow: 1.5},
		"a fresh box was sent 1.50 of its capacity, wanted under 1.5"},
	{"violations", experiment.Expectation{NoViolations: true},
		`rule "drain" is broken 2 times, first at 1.5 s: detail`},
}

// measuredVariant returns a variant with the results of 100 requests.
func measuredVariant() *Variant {
	return &Variant{
		Offered:            100,
		Outcomes:           Outcomes{ServedInTime: 70, ServedLate: 10, Rejected: 5, Failed: 15},
		LatencyMs:          Latency{P99: 50},
		AttemptsPerRequest: 1.25,
		RetriesPerRequest:  0.25,
		Rules:              []Rule{{Rule: "answer"}, {Rule: "drain", Violations: 2, FirstS: 1.5, Detail: "detail"}},
		AddedServers:       &AddedServers{Servers: 1, WarmupPeak: 1.5},
	}
}

func TestUnmetExpectations(t *testing.T) {
	for _, c := range expectationCases {
		t.Run(c.name, func(t *testing.T) {
			got := measuredVariant().unmet(c.expectation)
			switch {
			case c.want == "" && len(got) > 0:
				t.Errorf("got %q, want none", got)
			case c.want != "" && (len(got) != 1 || got[0] != c.want):
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestExpectationsOfNoMeasurement(t *testing.T) {
	v := &Variant{}
	if got := v.unmet(experiment.Expectation{}); len(got) != 1 || got[0] != "nothing was measured" {
		t.Errorf("without requests: got %q", got)
	}
	v = measuredVariant()
	v.AddedServers = nil
	if got := v.unmet(experiment.Expectation{WarmupPeakBelow: 2}); len(got) != 1 || got[0] != "no fresh box came" {
		t.Errorf("without an added server: got %q", got)
	}
}
