package daemon

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// failureMode is how a failingServer fails requests.
type failureMode int32

const (
	failNever failureMode = iota
	failReset             // closes the connection without a response
	failHang              // never responds
)

// failingServer is an endpoint that can be killed, or made to fail requests.
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

// outage is a failure of one of two endpoints while a client sends one request after the other.
type outage struct {
	name, method, class string
	begin               func(s *failingServer)
	maxFailed           int // how many requests may fail when the outage begins, and again at each trial
}

// While one of two endpoints has an outage, the other serves all requests. Only requests that must
// not be retried, or that time out, may fail, each time that the failing endpoint gets one.
func TestRemainingEndpointServesDuringOutage(t *testing.T) {
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
	const minTrialInterval = 375 * time.Millisecond // the shortest backoff
	endpoints := []*failingServer{newFailingServer(t), newFailingServer(t)}
	pool := poolBlock("two", endpoints[0].Listener.Addr().String(), endpoints[1].Listener.Addr().String())
	s := startDaemon(t, pool+routeBlock("x", "/x", o.class, "two", "policy {\n client_waits = \"400ms\"\n}"))
	for range 6 {
		if status := s.request(o.method, "/x").status; status != http.StatusOK {
			t.Fatalf("status %d before the outage, want 200", status)
		}
	}
	received := func() int { return int(endpoints[0].requests.Load() + endpoints[1].requests.Load()) }
	before := received()
	o.begin(endpoints[round%2])
	failed, served := 0, 0
	begun := time.Now()
	for range requests {
		if got := s.request(o.method, "/x"); got.status == http.StatusOK {
			served++
		} else {
			t.Logf("round %d: status %d, Proxy-Status: %s", round, got.status, got.header.Get("Proxy-Status"))
			failed++
		}
	}
	maxFailed := o.maxFailed * (1 + int(time.Since(begun)/minTrialInterval))
	if failed > maxFailed || served != requests-failed {
		t.Errorf("round %d: %d of %d requests failed, want at most %d", round, failed, requests, maxFailed)
	}
	if attempts := received() - before; o.method == http.MethodPost && attempts > requests {
		t.Errorf("round %d: %d non-idempotent requests were received %d times", round, requests, attempts)
	}
}
