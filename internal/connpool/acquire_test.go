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
	if kind := getOnce(t, p); kind != ConnectFailed {
		t.Errorf("dial timed out: outcome %v, want connect failed", kind)
	}
	e.Listener.Close()
	p.dialTimeout = waitTimeout
	if kind := getOnce(t, p); kind != ConnectFailed {
		t.Errorf("dial refused: outcome %v, want connect failed", kind)
	}
	if p.openConns != 0 {
		t.Errorf("%d connections are counted as open, want 0", p.openConns)
	}
}

// If the connection limit is reached, or the endpoint is not listed, nothing is sent. That is not a
// failure of the endpoint. Reported as one, it would count against the endpoint's weight.
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
	if kind := getOnce(t, p); kind != NotSent {
		t.Errorf("all connections in use: outcome %v, want not sent", kind)
	}
	close(release)
	if kind := <-first; kind != succeeded {
		t.Errorf("the attempt that has the connection: outcome %v, want success", kind)
	}
	if kind, _ := roundTrip(t, p, attemptWithin(waitTimeout), "unlisted", newRequest("/c")); kind != NotSent {
		t.Errorf("endpoint not listed: outcome %v, want not sent", kind)
	}
}

// The endpoint, the client and the attempt must be checked after a dial, before anything is sent:
// during the dial, the Balancer's choice may have become out of date.
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
			if kind := <-ended; kind != row.want {
				t.Errorf("outcome %v, want %v", kind, row.want)
			}
			want := 0
			if row.want == succeeded {
				want = 1
			}
			if n, open := int(e.Requests.Load()), p.Counts().Open; n != want || open != want {
				t.Errorf("%d requests were received, %d connections are open, want %d of each", n, open, want)
			}
		})
	}
}

// If the endpoint resets a new connection before a byte is sent, the request has not run. It may be
// sent to another endpoint even if it is not idempotent.
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
	if kind := <-ended; kind != ConnectFailed {
		t.Errorf("outcome %v, want connect failed", kind)
	}
}

// An endpoint closes an idle connection just before a request is written to it. Since nothing was
// written, the same attempt sends the request on another connection, idempotent or not.
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
			if kind, _ := roundTrip(t, p, attemptWithin(waitTimeout), "a", req); kind != succeeded {
				t.Fatalf("first request: outcome %v", kind)
			}
			c := p.endpoints["a"].idle[0]
			a := attemptWithin(waitTimeout)
			var once sync.Once
			a.ClientDisconnected = func() bool { // called after the connection is chosen and before the first byte is written
				once.Do(func() {
					close(closeNow)
					waitUntil(t, "the close arrives", c.hasPendingInput)
				})
				return false
			}
			if kind, _ := roundTrip(t, p, a, "a", req); kind != succeeded {
				t.Errorf("second request: outcome %v", kind)
			}
			if n, c := e.Requests.Load(), e.Connections.Load(); n != 2 || c != 2 {
				t.Errorf("%d requests were received on %d connections, want 2 on 2", n, c)
			}
		})
	}
}

// If an endpoint sends a second response to a request, it must not be taken for the response to the
// next request. So a connection is reused only after its quarantine, and only if nothing has
// arrived on it meanwhile.
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
					t.Error("the wait is shorter than half of the quarantine")
				}
				waiting <- true
				<-endWait
			}
			kind, resp := roundTrip(t, p, attemptWithin(waitTimeout), "a", newRequest("/x"))
			if kind != succeeded || string(resp.Body) != "x" {
				t.Fatalf("request for x: outcome %v, body %q", kind, resp.Body)
			}
			c := p.endpoints["a"].idle[0]
			ended := make(chan bool)
			go func() {
				kind, resp := roundTrip(t, p, attemptWithin(waitTimeout), "a", newRequest("/y"))
				if kind != succeeded || string(resp.Body) != "y" {
					t.Errorf("request for y: outcome %v, body %q", kind, resp.Body)
				}
				close(ended)
			}()
			<-waiting
			if n := e.Requests.Load(); n != 1 {
				t.Errorf("%d requests were received before the end of the quarantine, want 1", n)
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
				t.Errorf("%d of %d connections are still open, want 1 of %d", open, n, want)
			}
		})
	}
}

// Of several idle connections, the most recently used one past its quarantine is taken or, if all
// are in quarantine, the one whose quarantine ends first.
func TestConnsPastQuarantineAreUsedFirst(t *testing.T) {
	p := New(Options{MaxConns: 100, Quarantine: time.Hour})
	p.SetEndpoint("a", "127.0.0.1:1", true)
	now := time.Now()
	for _, row := range []struct {
		ages []time.Duration // in hours
		want int             // index of the connection that is taken
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
			t.Errorf("ages %v (1ns stands for 1 h): another connection was taken, or none with error %v", row.ages, err)
		}
	}
}

// An attempt that is canceled while it waits for the end of a quarantine ends at once, and nothing
// is sent.
func TestAttemptCanceledDuringQuarantine(t *testing.T) {
	e := startEndpoint(t, respondWith(okResponse, keepConn))
	p := newTestPool(t, e.Addr)
	p.idlePolicy.quarantine = waitTimeout
	if kind := getOnce(t, p); kind != succeeded {
		t.Fatal(kind)
	}
	for name, cancel := range map[string]func(a *Attempt){
		"canceled": (*Attempt).Cancel, "canceled unless written": (*Attempt).CancelUnlessWritten,
	} {
		a := attemptWithin(waitTimeout)
		wait := p.waitUntilDone
		p.waitUntilDone = func(ctx context.Context) { cancel(a); wait(ctx) }
		if kind, _ := roundTrip(t, p, a, "a", newRequest("/c")); kind != Canceled {
			t.Errorf("%s: outcome %v, want canceled", name, kind)
		}
		p.waitUntilDone = wait
		if n, open := e.Requests.Load(), p.Counts().Open; open != 0 || n != 1 {
			t.Errorf("%s: %d connections are open, want 0; %d requests were received, want 1", name, open, n)
		}
		if kind := getOnce(t, p); kind != succeeded {
			t.Fatal(kind)
		}
		e.Requests.Store(1)
	}
}

// A dial that fails with a local error, such as a lack of file descriptors, says nothing about the
// endpoint. It is retried and, if it keeps failing, not counted as a failure of the endpoint.
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
				t.Errorf("after three failed dials: outcome %v", kind)
			}
			p.closeAllIdle()
			failing = 1 << 30
			kind, _ := roundTrip(t, p, attemptWithin(100*time.Millisecond), "a", newRequest("/c"))
			if _, lastFailure := p.EndpointStatus("a"); kind != NotSent || lastFailure != "" {
				t.Errorf("if all dials fail: outcome %v, want not sent; failure of the endpoint %q, want none", kind, lastFailure)
			}
			if open := p.Counts().Open; open != 0 {
				t.Errorf("%d connections are counted as open, want 0", open)
			}
		})
	}
}
