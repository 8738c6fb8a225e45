package metrics

import (
	"sync"
	"testing"

	"rowancart/internal/testpeer"
)

func TestEveryClassIsReportedFromTheStart(t *testing.T) {
	f := New([]string{"pay", "lo\"ok\\", "pay"})
	f.Reloads.Add(1)
	f.RequestStarted()
	f.RequestStarted()
	f.RequestFinished("pay", Overload)
	f.RequestFinished("nobody listed this", Success)
	want := `sidecar_success{type="lo\"ok\\"} 0
sidecar_success{type="pay"} 0
sidecar_overload{type="lo\"ok\\"} 0
sidecar_overload{type="pay"} 1
sidecar_error{type="lo\"ok\\"} 0
sidecar_error{type="pay"} 0
sidecar_dispatches 7
sidecar_concurrent 1
sidecar_targets 3
sidecar_targets_disabled 2
sidecar_reload_success 1
sidecar_reload_failure 0
`
	if got := string(f.Append(nil, Gauges{Dispatches: 7, ListedEndpoints: 3, AvoidedEndpoints: 2})); got != want {
		t.Errorf("%s", got)
	}
}

// However readings fall between the counting of many, no request is both ended and under way, and none is under way too often.
func TestConcurrentReadingIsConsistent(t *testing.T) {
	const callers, each = 8, 2000
	f := New([]string{"a"})
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			for range each {
				f.RequestStarted()
				f.RequestFinished("a", Outcome(i%int(outcomeCount)))
			}
		})
	}
	ended := make(chan bool)
	go func() { all.Wait(); close(ended) }()
	for last := false; !last; {
		select {
		case <-ended:
			last = true
		default:
		}
		text := string(f.Append(nil, Gauges{}))
		if n := testpeer.Figure(t, text, "sidecar_concurrent"); n < 0 || last && n != 0 {
			t.Fatalf("under way: %d, last %v", n, last)
		}
		if last && testpeer.Figure(t, text, `sidecar_success{type="a"}`)+testpeer.Figure(t, text, `sidecar_overload{type="a"}`)+testpeer.Figure(t, text, `sidecar_error{type="a"}`) != callers*each {
			t.Errorf("%s", text)
		}
	}
}
