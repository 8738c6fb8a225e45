package watch

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// sharedService is discovery as one service for all instances: it serves one call after the other,
// takes a while for each, and rejects calls while its queue is full. Until it stalls, a watch is
// opened at once and stays healthy.
type sharedService struct {
	stalled  chan struct{} // closed: watches that are open deliver nothing any more
	serving  chan struct{} // capacity 1: a semaphore held by the call that is being served
	queued   atomic.Int32
	rejected atomic.Int32 // calls
}

const (
	serviceQueueLimit = 8 // the last one waits for 2 s
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
	time.Sleep(serviceTime) // also for a call that was canceled meanwhile
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

// All instances lose their watches together and call one service anew. Their attempts must not keep
// it from serving: each is notified of a drain within 6 s of the stall and the grace.
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
			time.Sleep(3 * time.Second) // calls that were canceled are served all the same
			for i, o := range observers {
				if !o.wasNotifiedBy(stalledAt.Add(bound)) {
					t.Errorf("instance %d was notified of a drain %v after its watch stalled", i, o.notifiedAt().Sub(stalledAt))
				}
			}
		})
	}
}

// While a shared service rejects all calls, an instance makes few of them, and it still makes some.
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
			time.Sleep(time.Second) // a call that was canceled is rejected all the same
			if n := s.rejected.Load(); n < minCalls || n > maxCalls {
				t.Errorf("%d calls in %v, want between %d and %d", n, outage, minCalls, maxCalls)
			}
		})
	}
}

// breakingWatches is discovery whose watches deliver an empty line and end after a lifetime.
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

// Only a watch of a shared service that has lasted for a second resets the backoff.
func TestOnlyStableWatchesOfASharedServiceResetBackoff(t *testing.T) {
	const duration = time.Minute
	const stableAfter = time.Second
	const margin = 100 * time.Millisecond
	// With a reset, the next watch follows after the least backoff and its jitter.
	const resetInterval = stableAfter + margin + firstBackoff*3/2
	// Without, the backoff is the greatest from the sixth on, of which jitter may take half.
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
