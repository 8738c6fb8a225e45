package connpool

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

func TestFailedDialIsConnectFailed(t *testing.T) {
	e := startEndpoint(t, respondWith(okResponse, keepConn))
	p := newTestPool(t, e.Addr)
	p.dialTimeout = time.Nanosecond
	if r := getOnce(t, p); r != ConnectFailed {
		t.Errorf("dial timed out: %v", r)
	}
	e.Listener.Close()
	p.dialTimeout = waitTimeout
	if r := getOnce(t, p); r != ConnectFailed {
		t.Errorf("refused: %v", r)
	}
	if p.openConns != 0 {
		t.Errorf("%d connections are counted as open", p.openConns)
	}
}

// That this process has no connection left is not a failure of the endpoint: reported as one, it
// would count against the endpoint's weight.
func TestNoConnectionAvailableIsNotSent(t *testing.T) {
	received, release := make(chan bool), make(chan bool)
	e := startEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		received <- true
		<-release
		io.WriteString(nc, okResponse)
		return true
	})
	p := newTestPool(t, e.Addr)
	p.maxConns = 1
	first := getAsync(t, p, attemptWithin(waitTimeout))
	<-received
	if r := getOnce(t, p); r != NotSent {
		t.Errorf("all connections in use: %v", r)
	}
	close(release)
	if r := <-first; r != succeeded {
		t.Errorf("the attempt that had the connection: %v", r)
	}
	if r, _ := roundTrip(t, p, attemptWithin(waitTimeout), "unlisted", newRequest("/c")); r != NotSent {
		t.Errorf("not listed: %v", r)
	}
}

// What changes while a connection is dialed must be checked once it is established: the Balancer's
// choice may be out of date.
func TestNothingSentOnConnEstablishedTooLate(t *testing.T) {
	for name, row := range map[string]struct {
		change func(p *Pool, a *Attempt, e *testpeer.FakeEndpoint)
		want   FailureKind
	}{
		"nothing changes": {func(*Pool, *Attempt, *testpeer.FakeEndpoint) {}, succeeded},
		"the endpoint drains": {func(p *Pool, _ *Attempt, e *testpeer.FakeEndpoint) {
			p.SetEndpoint("a", e.Addr, false)
		}, NotSent},
		"the endpoint is removed": {func(p *Pool, _ *Attempt, _ *testpeer.FakeEndpoint) { p.RemoveEndpoint("a") }, NotSent},
		"the endpoint has moved": {func(p *Pool, _ *Attempt, _ *testpeer.FakeEndpoint) {
			p.SetEndpoint("a", "127.0.0.1:1", true)
		}, NotSent},
		"the endpoint is replaced by one of the same name": {func(p *Pool, _ *Attempt, e *testpeer.FakeEndpoint) {
			p.RemoveEndpoint("a")
			p.SetEndpoint("a", e.Addr, true)
		}, NotSent},
		"the client disconnects": {func(_ *Pool, a *Attempt, _ *testpeer.FakeEndpoint) {
			a.ClientDisconnected = func() bool { return true }
		}, NotSent},
		"the attempt is canceled": {func(_ *Pool, a *Attempt, _ *testpeer.FakeEndpoint) { a.Cancel() }, Canceled},
		"the attempt is canceled unless written": {func(_ *Pool, a *Attempt, _ *testpeer.FakeEndpoint) {
			a.CancelUnlessWritten()
		}, Canceled},
		"the client stays connected": {func(_ *Pool, a *Attempt, _ *testpeer.FakeEndpoint) {
			a.ClientDisconnected = func() bool { return false }
		}, succeeded},
		"the endpoint is listed as ready again": {func(p *Pool, _ *Attempt, e *testpeer.FakeEndpoint) {
			p.SetEndpoint("a", e.Addr, true)
		}, succeeded},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEndpoint(t, respondWith(okResponse, keepConn))
			p := newTestPool(t, e.Addr)
			connected, release := blockNextDial(p)
			a := attemptWithin(waitTimeout)
			ended := getAsync(t, p, a)
			<-connected
			row.change(p, a, e)
			close(release)
			if r := <-ended; r != row.want {
				t.Errorf("outcome %v, want %v", r, row.want)
			}
			want := 0
			if row.want == succeeded {
				want = 1
			}
			if n, open := int(e.Requests.Load()), p.Counts().Open; n != want || open != want {
				t.Errorf("%d requests were received, %d connections are open, want %d", n, open, want)
			}
		})
	}
}

// A new connection that its endpoint resets before a byte was sent has carried nothing, and a
// non-idempotent request may be sent to another endpoint.
func TestNewConnBrokenAtOnceIsConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := newTestPool(t, l.Addr().String())
	connected, release := blockNextDial(p)
	ended := getAsync(t, p, attemptWithin(waitTimeout))
	nc := (<-connected).(*net.TCPConn)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted.(*net.TCPConn).SetLinger(0)
	accepted.Close()
	waitUntil(t, "the reset arrives", func() bool { return testpeer.HasUnreadData(nc) })
	close(release)
	if r := <-ended; r != ConnectFailed {
		t.Errorf("outcome %v", r)
	}
}

// The endpoint closes an idle connection when a request is about to be written to it: nothing was
// written, and any request, idempotent or not, is sent on another connection within the same
// attempt.
func TestIdleConnClosedBeforeFirstByteIsReplaced(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			closeNow := make(chan bool)
			e := startEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
				io.WriteString(nc, okResponse)
				if n == 1 {
					<-closeNow
				}
				return n > 1
			})
			p := newTestPool(t, e.Addr)
			req := newRequest("/c")
			req.Method = method
			if r, _ := roundTrip(t, p, attemptWithin(waitTimeout), "a", req); r != succeeded {
				t.Fatalf("first: %v", r)
			}
			c := p.endpoints["a"].idle[0]
			a := attemptWithin(waitTimeout)
			var once sync.Once
			a.ClientDisconnected = func() bool { // between the choice of the connection and the first byte
				once.Do(func() {
					close(closeNow)
					waitUntil(t, "the close arrives", c.hasPendingInput)
				})
				return false
			}
			if r, _ := roundTrip(t, p, a, "a", req); r != succeeded {
				t.Errorf("outcome %v", r)
			}
			if n, c := e.Requests.Load(), e.Connections.Load(); n != 2 || c != 2 {
				t.Errorf("%d requests on %d connections", n, c)
			}
		})
	}
}

// A late second response must not be taken for the response to the next request: a connection is in
// quarantine before it is reused, and is not reused if anything has arrived meanwhile.
func TestLateSecondResponseIsDropped(t *testing.T) {
	for name, second := range map[string]bool{"a second response arrives": true, "nothing arrives": false} {
		t.Run(name, func(t *testing.T) {
			sendSecond := make(chan bool)
			e := startEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
				body := r.URL.Path[1:]
				response := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body
				io.WriteString(nc, response)
				if body == "x" {
					go func() {
						if <-sendSecond {
							io.WriteString(nc, response)
						}
					}()
				}
				return true
			})
			p := newTestPool(t, e.Addr)
			p.idlePolicy.quarantine = waitTimeout
			waiting, endWait := make(chan bool), make(chan bool)
			p.waitUntilDone = func(ctx context.Context) {
				if end, _ := ctx.Deadline(); time.Until(end) < waitTimeout/2 {
					t.Error("the quarantine ends too soon")
				}
				waiting <- true
				<-endWait
			}
			kind, resp := roundTrip(t, p, attemptWithin(waitTimeout), "a", newRequest("/x"))
			if kind != succeeded || string(resp.Body) != "x" {
				t.Fatalf("x: outcome %v, body %q", kind, resp.Body)
			}
			c := p.endpoints["a"].idle[0]
			ended := make(chan bool)
			go func() {
				kind, resp := roundTrip(t, p, attemptWithin(waitTimeout), "a", newRequest("/y"))
				if kind != succeeded || string(resp.Body) != "y" {
					t.Errorf("y: outcome %v, body %q", kind, resp.Body)
				}
				close(ended)
			}()
			<-waiting
			if n := e.Requests.Load(); n != 1 {
				t.Errorf("%d requests were received before the end of the quarantine", n)
			}
			if sendSecond <- second; second {
				waitUntil(t, "the second response arrives", c.hasPendingInput)
			}
			close(endWait)
			<-ended
			want := int32(1)
			if second {
				want = 2
			}
			if n, open := e.Connections.Load(), p.Counts().Open; open != 1 || n != want {
				t.Errorf("%d of %d connections are open, want 1 of %d", open, n, want)
			}
		})
	}
}

// Of several idle connections the most recently used one past its quarantine is taken, and with
// none such the one whose quarantine ends first.
func TestConnsPastQuarantineAreUsedFirst(t *testing.T) {
	p := New(Options{MaxConns: 100, Quarantine: time.Hour})
	p.SetEndpoint("a", "127.0.0.1:1", true)
	now := time.Now()
	for _, row := range []struct {
		ages []time.Duration // in hours
		want int             // index of the connection
	}{
		{[]time.Duration{3, 2, 0}, 1},
		{[]time.Duration{2, 0, 0}, 0},
		{[]time.Duration{0, 0}, 0},
		{[]time.Duration{3, 2}, 1},
	} {
		e := p.endpoints["a"]
		e.idle = nil
		for _, age := range row.ages {
			client, server := loopbackConns(t)
			t.Cleanup(func() { server.Close() })
			c, err := newConn(client, e, e.addr)
			if err != nil {
				t.Fatal(err)
			}
			c.idleSince = now.Add(-age * time.Hour)
			e.idle = append(e.idle, c)
		}
		p.idlePolicy.maxIdle = 100 * time.Hour
		want := e.idle[row.want]
		if r, err := p.reserveConn("a"); r.conn != want || err != nil {
			t.Errorf("%v: another connection was taken, %v", row.ages, err)
		}
	}
}

// An attempt that is canceled while its connection is in quarantine ends at once, and nothing is
// sent.
func TestAttemptCanceledDuringQuarantine(t *testing.T) {
	e := startEndpoint(t, respondWith(okResponse, keepConn))
	p := newTestPool(t, e.Addr)
	p.idlePolicy.quarantine = waitTimeout
	if r := getOnce(t, p); r != succeeded {
		t.Fatal(r)
	}
	for name, cancel := range map[string]func(a *Attempt){
		"canceled": (*Attempt).Cancel, "canceled unless written": (*Attempt).CancelUnlessWritten,
	} {
		a := attemptWithin(waitTimeout)
		wait := p.waitUntilDone
		p.waitUntilDone = func(ctx context.Context) { cancel(a); wait(ctx) }
		if r, _ := roundTrip(t, p, a, "a", newRequest("/c")); r != Canceled {
			t.Errorf("%s: outcome %v", name, r)
		}
		p.waitUntilDone = wait
		if n, open := e.Requests.Load(), p.Counts().Open; open != 0 || n != 1 {
			t.Errorf("%s: %d connections are open, %d requests were received", name, open, n)
		}
		if r := getOnce(t, p); r != succeeded {
			t.Fatal(r)
		}
		e.Requests.Store(1)
	}
}

// A dial that fails for a reason of this machine says nothing about the endpoint: it is retried,
// and is not counted as a failure of the endpoint if it keeps failing.
func TestLocalDialErrorsAreNotEndpointFailures(t *testing.T) {
	for _, failure := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.EAGAIN,
	} {
		t.Run(failure.Error(), func(t *testing.T) {
			e := startEndpoint(t, respondWith(okResponse, keepConn))
			p := newTestPool(t, e.Addr)
			dial := p.dial
			dials := 0
			failing := 3
			p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if dials++; dials <= failing {
					return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", failure)}
				}
				return dial(ctx, network, addr)
			}
			if kind := getOnce(t, p); kind != succeeded {
				t.Errorf("three times: %v", kind)
			}
			p.closeAllIdle()
			failing = 1 << 30
			kind, _ := roundTrip(t, p, attemptWithin(100*time.Millisecond), "a", newRequest("/c"))
			if _, lastFailure := p.EndpointStatus("a"); kind != NotSent || lastFailure != "" {
				t.Errorf("at each dial: %v, endpoint status %q", kind, lastFailure)
			}
			if open := p.Counts().Open; open != 0 {
				t.Errorf("%d connections are counted as open", open)
			}
		})
	}
}
