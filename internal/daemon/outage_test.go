package daemon

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// failureMode is how a failingServer fails.
type failureMode int32

const (
	failNever failureMode = iota
	failReset             // closes the connection without a response
	failHang              // never responds
)

// failingServer is an endpoint that can be killed, or made to fail in other ways.
type failingServer struct {
	*httptest.Server
	mode     atomic.Int32 // a failureMode
	requests atomic.Int32
}

func newFailingServer(t *testing.T) *failingServer {
	s := &failingServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		switch failureMode(s.mode.Load()) {
		case failReset:
			panic(http.ErrAbortHandler)
		case failHang:
			<-r.Context().Done()
		default:
			_, _ = w.Write([]byte("ok")) // the client detects a truncated response
		}
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *failingServer) kill() {
	_ = s.Listener.Close() // it may be closed already
	s.CloseClientConnections()
}

func (s *failingServer) reset() { s.mode.Store(int32(failReset)) }
func (s *failingServer) hang()  { s.mode.Store(int32(failHang)) }

// outage is what happens to one of two endpoints while a client sends one request after the other.
type outage struct {
	name, method, class string
	begin               func(s *failingServer)
	maxLost             int // requests lost in a round: at first, and then for each trial that may be due
}

// In any outage of one of two endpoints, the other serves all requests, but for those that must not
// be retried.
func TestOneOfTwoEndpointsIsEnough(t *testing.T) {
	const rounds = 6
	for _, o := range []outage{
		{"killed, idempotent", http.MethodGet, "read", (*failingServer).kill, 0},
		{"killed, non-idempotent", http.MethodPost, "write", (*failingServer).kill, 0},
		{"resets, idempotent", http.MethodGet, "read", (*failingServer).reset, 0},
		{"resets, non-idempotent", http.MethodPost, "write", (*failingServer).reset, 1},
		{"hangs, idempotent", http.MethodGet, "read", (*failingServer).hang, 1},
		{"hangs, non-idempotent", http.MethodPost, "write", (*failingServer).hang, 1},
	} {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			for round := range rounds {
				checkOutage(t, o, round)
			}
		})
	}
}

func checkOutage(t *testing.T, o outage, round int) {
	const requests = 20
	const minTrialInterval = 375 * time.Millisecond // a backoff at its shortest
	endpoints := []*failingServer{newFailingServer(t), newFailingServer(t)}
	pool := poolBlock("two", endpoints[0].Listener.Addr().String(), endpoints[1].Listener.Addr().String())
	s := startDaemon(t, pool+routeBlock("x", "/x", o.class, "two", "policy {\n client_waits = \"400ms\"\n}"))
	for range 6 {
		if status := s.request(o.method, "/x").status; status != http.StatusOK {
			t.Fatalf("before the outage: %d", status)
		}
	}
	received := func() int { return int(endpoints[0].requests.Load() + endpoints[1].requests.Load()) }
	before := received()
	o.begin(endpoints[round%2])
	lost, served := 0, 0
	begun := time.Now()
	for range requests {
		if got := s.request(o.method, "/x"); got.status == http.StatusOK {
			served++
		} else {
			t.Logf("round %d: %d, %s", round, got.status, got.header.Get("Proxy-Status"))
			lost++
		}
	}
	maxLost := o.maxLost * (1 + int(time.Since(begun)/minTrialInterval))
	if lost > maxLost || served != requests-lost {
		t.Errorf("round %d: %d of %d were lost, at most %d may be", round, lost, requests, maxLost)
	}
	if ran := received() - before; o.method == http.MethodPost && ran > requests {
		t.Errorf("round %d: %d non-idempotent requests ran %d times", round, requests, ran)
	}
}
