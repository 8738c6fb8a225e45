package watch

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// sharedService is a fake discovery service shared by all instances. It serves one call at a time,
// each for serviceTime, and rejects calls while its queue is full. Before it stalls, it opens
// watches at once, and they stay healthy.
type sharedService struct {
	stalled  chan struct{} // closed: open watches deliver nothing any more
	serving  chan struct{} // capacity 1: a semaphore held by the call that is being served
	queued   atomic.Int32
	rejected atomic.Int32 // number of rejected calls
}

const (
	serviceQueueLimit = 8 // the last call in the queue waits for 2 s
	serviceTime       = 250 * time.Millisecond
	rejectionTime     = 35 * time.Millisecond
)

func (s *sharedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-s.stalled:
	default:
		writeEmptyLines(w, r, s.stalled)
		<-r.Context().Done()
		return
	}
	if s.queued.Add(1) > serviceQueueLimit {
		s.queued.Add(-1)
		s.rejected.Add(1)
		time.Sleep(rejectionTime)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.serving <- struct{}{}
	time.Sleep(serviceTime) // spent even if the call has been canceled
	<-s.serving
	s.queued.Add(-1)
	w.Write([]byte(drainMessage + "\n"))
	writeEmptyLines(w, r, nil)
}

// writeEmptyLines writes an empty line at once and every 2 s, until the client disconnects or stop
// is closed.
func writeEmptyLines(w http.ResponseWriter, r *http.Request, stop <-chan struct{}) {
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for {
		w.Write([]byte("\n"))
		w.(http.Flusher).Flush()
		select {
		case <-stop:
			return
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

// All instances lose their watches at the same time and call the shared service again. These calls
// must not overload it: each instance has to be notified of a drain within 6 s plus the drain grace
// after its watch stalled.
func TestRetriesDoNotOverloadASharedService(t *testing.T) {
	const instances, bound = 13, 6*time.Second + defaultDrainGrace
	for range 20 { // the jitter of backoffs is random
		synctest.Test(t, func(t *testing.T) {
			s := &sharedService{stalled: make(chan struct{}), serving: make(chan struct{}, 1)}
			var observers []*drainObserver
			for range instances {
				observers = append(observers, observeDrain(t, Options{WaitForSubscribe: true}, s, func() bool { return false }))
			}
			time.Sleep(5 * time.Second)
			stalledAt := time.Now()
			close(s.stalled)
			time.Sleep(20 * time.Second)
			for _, o := range observers {
				o.stop()
			}
			time.Sleep(3 * time.Second) // calls that were canceled are still served
			for i, o := range observers {
				if !o.wasNotifiedBy(stalledAt.Add(bound)) {
					t.Errorf("instance %d was notified of a drain %v after its watch stalled", i, o.notifiedAt().Sub(stalledAt))
				}
			}
		})
	}
}

// While a shared service rejects all calls, an instance calls it rarely, but does not stop calling.
func TestBackoffBoundsCallsToARejectingSharedService(t *testing.T) {
	const outage, minCalls, maxCalls = 30 * time.Second, 12, 45
	for range 20 { // the jitter of backoffs is random
		synctest.Test(t, func(t *testing.T) {
			s := &sharedService{stalled: make(chan struct{}), serving: make(chan struct{}, 1)}
			s.queued.Store(serviceQueueLimit)
			close(s.stalled)
			o := observeDrain(t, Options{WaitForSubscribe: true}, s, func() bool { return false })
			time.Sleep(outage)
			o.stop()
			time.Sleep(time.Second) // a call that was canceled is still rejected
			if n := s.rejected.Load(); n < minCalls || n > maxCalls {
				t.Errorf("%d calls in %v, want between %d and %d", n, outage, minCalls, maxCalls)
			}
		})
	}
}

// breakingWatches is a fake discovery service whose watches deliver one empty line and end after
// lifetime.
type breakingWatches struct {
	lifetime time.Duration
	calls    atomic.Int32
}

// ServeHTTP implements http.Handler.
func (b *breakingWatches) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.calls.Add(1)
	w.Write([]byte("\n"))
	w.(http.Flusher).Flush()
	select {
	case <-r.Context().Done():
	case <-time.After(b.lifetime):
	}
}

// With a shared service, only a watch that has lasted for a second resets the backoff.
func TestOnlyStableWatchesOfASharedServiceResetBackoff(t *testing.T) {
	const duration = time.Minute
	const stableAfter = time.Second
	const margin = 100 * time.Millisecond
	// If the backoff is reset, the next watch follows after the minimum backoff plus up to half of it
	// as jitter.
	const resetInterval = stableAfter + margin + firstBackoff*3/2
	// If it is not reset, it is at its maximum of 1600 ms from the sixth watch on, which jitter
	// shortens by at most half.
	const growingCalls = 6
	const grownInterval = stableAfter - margin + 1600*time.Millisecond/2
	for name, test := range map[string]struct {
		lifetime           time.Duration
		minCalls, maxCalls int32
	}{
		"shorter than a second": {stableAfter - margin, 1, growingCalls + int32(duration/grownInterval)},
		"longer than a second":  {stableAfter + margin, int32(duration / resetInterval), int32(duration / stableAfter)},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 { // the jitter of backoffs is random
				synctest.Test(t, func(t *testing.T) {
					discovery := &breakingWatches{lifetime: test.lifetime}
					o := observeDrain(t, Options{WaitForSubscribe: true}, discovery, func() bool { return false })
					time.Sleep(duration)
					o.stop()
					if n := discovery.calls.Load(); n < test.minCalls || n > test.maxCalls {
						t.Errorf("%d watches in %v, want between %d and %d", n, duration, test.minCalls, test.maxCalls)
					}
				})
			}
		})
	}
}
