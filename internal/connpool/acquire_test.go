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
	e := newEndpoint(t, says(served, true))
	p := newTestPool(t, e.Addr)
	p.dialTimeout = time.Nanosecond
	if r := getOnce(t, p); r != ConnectFailed {
		t.Errorf("dial timed out: %v", r)
	}
	e.Listener.Close()
	p.dialTimeout = patience
	if r := getOnce(t, p); r != ConnectFailed {
		t.Errorf("refused: %v", r)
	}
	if p.openConns != 0 {
		t.Errorf("%d connections are still counted", p.openConns)
	}
}

// What the process itself lacks is no failure of the endpoint's: reported as one, it would count
// against its weight.
func TestNoConnectionAvailableIsNotSent(t *testing.T) {
	received, release := make(chan bool), make(chan bool)
	e := newEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		received <- true
		<-release
		io.WriteString(nc, served)
		return true
	})
	p := newTestPool(t, e.Addr)
	p.maxConns = 1
	first := getAsync(t, p, attemptWithin(patience))
	<-received
	if r := getOnce(t, p); r != NotSent {
		t.Errorf("all connections in use: %v", r)
	}
	close(release)
	if r := <-first; r != succeeded {
		t.Errorf("the one that had the connection: %v", r)
	}
	if r, _ := roundTrip(t, p, attemptWithin(patience), "unlisted", newRequest("/c")); r != NotSent {
		t.Errorf("not listed: %v", r)
	}
}

// What happens while a connection is dialed must count when it is up: nothing may be sent that was
// right only when it was decided.
func TestNothingSentOnConnEstablishedTooLate(t *testing.T) {
	for name, row := range map[string]struct {
		happens func(p *Pool, a *Attempt, e *testpeer.Endpoint)
		want    FailureKind
	}{
		"nothing": {func(*Pool, *Attempt, *testpeer.Endpoint) {}, succeeded},
		"the endpoint drains": {func(p *Pool, _ *Attempt, e *testpeer.Endpoint) {
			p.SetEndpoint("a", e.Addr, false)
		}, NotSent},
		"the endpoint is gone": {func(p *Pool, _ *Attempt, _ *testpeer.Endpoint) { p.RemoveEndpoint("a") }, NotSent},
		"the endpoint has moved": {func(p *Pool, _ *Attempt, _ *testpeer.Endpoint) {
			p.SetEndpoint("a", "127.0.0.1:1", true)
		}, NotSent},
		"the endpoint is another one of that name": {func(p *Pool, _ *Attempt, e *testpeer.Endpoint) {
			p.RemoveEndpoint("a")
			p.SetEndpoint("a", e.Addr, true)
		}, NotSent},
		"the client disconnects": {func(_ *Pool, a *Attempt, _ *testpeer.Endpoint) {
			a.ClientDisconnected = func() bool { return true }
		}, NotSent},
		"the attempt is canceled": {func(_ *Pool, a *Attempt, _ *testpeer.Endpoint) { a.Cancel() }, Canceled},
		"the attempt is canceled unless written": {func(_ *Pool, a *Attempt, _ *testpeer.Endpoint) {
			a.CancelUnlessWritten()
		}, Canceled},
		"the client is still there": {func(_ *Pool, a *Attempt, _ *testpeer.Endpoint) {
			a.ClientDisconnected = func() bool { return false }
		}, succeeded},
		"the list says ready again": {func(p *Pool, _ *Attempt, e *testpeer.Endpoint) {
			p.SetEndpoint("a", e.Addr, true)
		}, succeeded},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, says(served, true))
			p := newTestPool(t, e.Addr)
			connected, release := holdNextDial(p)
			a := attemptWithin(patience)
			ended := getAsync(t, p, a)
			<-connected
			row.happens(p, a, e)
			close(release)
			if r := <-ended; r != row.want {
				t.Errorf("outcome %v, want %v", r, row.want)
			}
			_, _, open := p.Counts()
			if want := map[bool]int32{true: 1}[row.want == succeeded]; e.Requests.Load() != want || open != int(want) {
				t.Errorf("%d requests were received, %d connections are open, want %d", e.Requests.Load(), open, want)
			}
		})
	}
}

// A new connection that its endpoint breaks before a byte was sent has carried nothing, and a
// request that must not run twice may go elsewhere.
func TestNewConnBrokenAtOnceIsConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := newTestPool(t, l.Addr().String())
	connected, release := holdNextDial(p)
	ended := getAsync(t, p, attemptWithin(patience))
	nc := (<-connected).(*net.TCPConn)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted.(*net.TCPConn).SetLinger(0)
	accepted.Close()
	until(t, "the reset arrives", func() bool { return testpeer.Pending(nc) })
	close(release)
	if r := <-ended; r != ConnectFailed {
		t.Errorf("outcome %v", r)
	}
}

// The endpoint closes an idle connection when a request is about to be written there: nothing was
// written, and any request, also one that must not run twice, is sent on another connection within
// the same attempt.
func TestIdleConnClosedBeforeFirstByteIsReplaced(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		closeNow := make(chan bool)
		e := newEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
			io.WriteString(nc, served)
			if n == 1 {
				<-closeNow
			}
			return n > 1
		})
		p := newTestPool(t, e.Addr)
		req := newRequest("/c")
		req.Method = method
		if r, _ := roundTrip(t, p, attemptWithin(patience), "a", req); r != succeeded {
			t.Fatalf("first: %v", r)
		}
		c := p.endpoints["a"].idle[0]
		a := attemptWithin(patience)
		var once sync.Once
		a.ClientDisconnected = func() bool { // between the choice of the connection and the first byte
			once.Do(func() {
				close(closeNow)
				until(t, "the close arrives", c.hasPendingInput)
			})
			return false
		}
		if r, _ := roundTrip(t, p, a, "a", req); r != succeeded {
			t.Errorf("%s: outcome %v", method, r)
		}
		if n, c := e.Requests.Load(), e.Connections.Load(); n != 2 || c != 2 {
			t.Errorf("%s: %d requests on %d connections", method, n, c)
		}
	}
}

// A late second response must not be taken for the response to the next request: a connection is in
// quarantine before it is reused, and one on which something has arrived meanwhile is not used at
// all. One on which nothing has arrived is.
func TestLateSecondResponseIsDropped(t *testing.T) {
	for name, second := range map[string]bool{"a second response arrives": true, "nothing arrives": false} {
		t.Run(name, func(t *testing.T) {
			sendSecond := make(chan bool)
			e := newEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
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
			p.quarantine = patience
			waiting, endWait := make(chan bool), make(chan bool)
			p.waitUntilDone = func(ctx context.Context) {
				if end, _ := ctx.Deadline(); time.Until(end) < patience/2 {
					t.Error("the quarantine ends too soon")
				}
				waiting <- true
				<-endWait
			}
			kind, resp := roundTrip(t, p, attemptWithin(patience), "a", newRequest("/x"))
			if kind != succeeded || string(resp.Body) != "x" {
				t.Fatalf("x: outcome %v, body %q", kind, resp.Body)
			}
			c := p.endpoints["a"].idle[0]
			ended := make(chan bool)
			go func() {
				kind, resp := roundTrip(t, p, attemptWithin(patience), "a", newRequest("/y"))
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
				until(t, "the second response arrives", c.hasPendingInput)
			}
			close(endWait)
			<-ended
			if _, _, open := p.Counts(); open != 1 || e.Connections.Load() != map[bool]int32{true: 2, false: 1}[second] {
				t.Errorf("%d of %d connections are open", open, e.Connections.Load())
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
		p.maxIdleAge = 100 * time.Hour
		want := e.idle[row.want]
		if r, err := p.reserveConn("a"); r.conn != want || err != nil {
			t.Errorf("%v: another connection was taken, %v", row.ages, err)
		}
	}
}

// An attempt that is canceled while its connection is in quarantine ends at once, and nothing is
// sent.
func TestAttemptCanceledDuringQuarantine(t *testing.T) {
	e := newEndpoint(t, says(served, true))
	p := newTestPool(t, e.Addr)
	p.quarantine = patience
	if r := getOnce(t, p); r != succeeded {
		t.Fatal(r)
	}
	for name, cancel := range map[string]func(a *Attempt){
		"canceled": (*Attempt).Cancel, "canceled unless written": (*Attempt).CancelUnlessWritten,
	} {
		a := attemptWithin(patience)
		wait := p.waitUntilDone
		p.waitUntilDone = func(ctx context.Context) { cancel(a); wait(ctx) }
		if r, _ := roundTrip(t, p, a, "a", newRequest("/c")); r != Canceled {
			t.Errorf("%s: outcome %v", name, r)
		}
		p.waitUntilDone = wait
		if _, _, open := p.Counts(); open != 0 || e.Requests.Load() != 1 {
			t.Errorf("%s: %d connections are open, %d requests were received", name, open, e.Requests.Load())
		}
		if r := getOnce(t, p); r != succeeded {
			t.Fatal(r)
		}
		e.Requests.Store(1)
	}
}

// A dial that fails for a lack of this machine's says nothing of the endpoint: it is tried again,
// and does not count as a failure of the endpoint's where it keeps failing.
func TestLocalDialErrorsAreNotTheEndpoints(t *testing.T) {
	for _, failure := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
		syscall.ENETDOWN, syscall.EAGAIN,
	} {
		e := newEndpoint(t, says(served, true))
		p := newTestPool(t, e.Addr)
		dial, dials, failing := p.dial, 0, 3
		p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			if dials++; dials <= failing {
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", failure)}
			}
			return dial(ctx, network, addr)
		}
		if kind := getOnce(t, p); kind != succeeded {
			t.Errorf("%v, three times: %v", failure, kind)
		}
		p.sweepIdle(func(*conn) bool { return false })
		failing = 1 << 30
		kind, _ := roundTrip(t, p, attemptWithin(100*time.Millisecond), "a", newRequest("/c"))
		if _, lastFailure := p.EndpointStatus("a"); kind != NotSent || lastFailure != "" {
			t.Errorf("%v for good: %v, endpoint status %q", failure, kind, lastFailure)
		}
		if _, _, open := p.Counts(); open != 0 {
			t.Errorf("%v: %d connections are counted as open", failure, open)
		}
	}
}
