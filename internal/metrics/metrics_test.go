package metrics

import (
	"sync"
	"testing"

	"rowancart/internal/testpeer"
)

func TestEveryClassIsReportedFromTheStart(t *testing.T) {
	c := New([]string{"pay", "lo\"ok\\", "pay"})
	c.Reloads.Add(1)
	c.RequestStarted()
	c.RequestStarted()
	c.RequestFinished("pay", Overload)
	c.RequestFinished("not listed", Success)
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
	if got := string(c.Append(nil, Gauges{Dispatches: 7, ListedEndpoints: 3, UnselectableEndpoints: 2})); got != want {
		t.Errorf("metrics:\n%s", got)
	}
}

// While requests start and finish concurrently, no reading counts a request both with an outcome
// and as in flight, or as in flight twice.
func TestConcurrentReadingIsConsistent(t *testing.T) {
	const clients, requestsEach = 8, 2000
	c := New([]string{"a"})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			for range requestsEach {
				c.RequestStarted()
				c.RequestFinished("a", Outcome(i%int(outcomeCount)))
			}
		})
	}
	done := make(chan bool)
	go func() {
		running.Wait()
		close(done)
	}()
	for last := false; !last; {
		select {
		case <-done:
			last = true
		default:
		}
		text := string(c.Append(nil, Gauges{}))
		if n := testpeer.MetricValue(t, text, "sidecar_concurrent"); n < 0 || last && n != 0 {
			t.Fatalf("in flight: %d, last reading: %v", n, last)
		}
		if last && countedOutcomes(t, text) != clients*requestsEach {
			t.Errorf("the number of counted outcomes differs from the number of requests:\n%s", text)
		}
	}
}

// countedOutcomes returns the number of requests of class "a" that are counted with an outcome.
func countedOutcomes(t *testing.T, text string) (sum int) {
	t.Helper()
	for _, name := range []string{"sidecar_success", "sidecar_overload", "sidecar_error"} {
		sum += testpeer.MetricValue(t, text, name+`{type="a"}`)
	}
	return sum
}
