package connpool

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

// holdNextDial makes the next dial stop once its connection is up, until let go.
func holdNextDial(p *Pool) (up chan net.Conn, letGo chan bool) {
	up, letGo = make(chan net.Conn, 1), make(chan bool)
	dial := p.dial
	var once sync.Once
	p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(context.WithoutCancel(ctx), network, addr)
		once.Do(func() {
			up <- nc
			<-letGo
		})
		return nc, err
	}
	return up, letGo
}

// What happens while a connection comes up must count when it is up: nothing may go out that was
// right only when it was decided.
func TestNothingSentOnConnEstablishedTooLate(t *testing.T) {
	for name, row := range map[string]struct {
		happens func(p *Pool, l *Attempt, e *testpeer.Endpoint)
		want    FailureKind
	}{
		"nothing":                {func(*Pool, *Attempt, *testpeer.Endpoint) {}, succeeded},
		"the endpoint drains":    {func(p *Pool, _ *Attempt, e *testpeer.Endpoint) { p.SetEndpoint("a", e.Addr, false) }, NotSent},
		"the endpoint is gone":   {func(p *Pool, _ *Attempt, _ *testpeer.Endpoint) { p.RemoveEndpoint("a") }, NotSent},
		"the endpoint has moved": {func(p *Pool, _ *Attempt, _ *testpeer.Endpoint) { p.SetEndpoint("a", "127.0.0.1:1", true) }, NotSent},
		"the endpoint is another of that name": {func(p *Pool, _ *Attempt, e *testpeer.Endpoint) {
			p.RemoveEndpoint("a")
			p.SetEndpoint("a", e.Addr, true)
		}, NotSent},
		"the caller leaves":         {func(_ *Pool, l *Attempt, _ *testpeer.Endpoint) { l.ClientGone = func() bool { return true } }, NotSent},
		"the attempt is called off": {func(_ *Pool, l *Attempt, _ *testpeer.Endpoint) { l.Cancel() }, Canceled},
		"the attempt is withdrawn":  {func(_ *Pool, l *Attempt, _ *testpeer.Endpoint) { l.CancelUnlessWritten() }, Canceled},
		"the caller is still there": {func(_ *Pool, l *Attempt, _ *testpeer.Endpoint) {
			l.ClientGone = func() bool { return false }
		}, succeeded},
		"the list says ready, again": {func(p *Pool, _ *Attempt, e *testpeer.Endpoint) { p.SetEndpoint("a", e.Addr, true) }, succeeded},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, says(served, true))
			p := newTestPool(t, e.Addr)
			up, letGo := holdNextDial(p)
			l := attemptWithin(patience)
			ended := make(chan FailureKind)
			go func() {
				r, _ := roundTrip(t, p, l, "a", newRequest("/c"))
				ended <- r
			}()
			<-up
			row.happens(p, l, e)
			close(letGo)
			if r := <-ended; r != row.want {
				t.Errorf("outcome %v, want %v", r, row.want)
			}
			_, _, open := p.Counts()
			if want := map[bool]int32{true: 1}[row.want == succeeded]; e.Requests.Load() != want || open != int(want) {
				t.Errorf("%d requests came, %d connections are open, want %d", e.Requests.Load(), open, want)
			}
		})
	}
}

// A new connection that its endpoint breaks before a byte was sent has carried nothing, and what
// must not run twice may go elsewhere.
func TestNewConnBrokenAtOnceIsConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := newTestPool(t, l.Addr().String())
	up, letGo := holdNextDial(p)
	ended := make(chan FailureKind)
	go func() {
		r, _ := roundTrip(t, p, attemptWithin(patience), "a", newRequest("/c"))
		ended <- r
	}()
	nc := (<-up).(*net.TCPConn)
	there, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	there.(*net.TCPConn).SetLinger(0)
	there.Close()
	until(t, "the break comes", func() bool { return testpeer.Pending(nc) })
	close(letGo)
	if r := <-ended; r != ConnectFailed {
		t.Errorf("outcome %v", r)
	}
}

// The endpoint closes an idle connection when a request is about to be written there: nothing was,
// and any request, also one that must not run twice, goes out on another connection within the same
// attempt.
func TestIdleConnClosedBeforeFirstByteIsReplaced(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		hangUp := make(chan bool)
		e := newEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
			io.WriteString(nc, served)
			if n == 1 {
				<-hangUp
			}
			return n > 1
		})
		p := newTestPool(t, e.Addr)
		m := newRequest("/c")
		m.Method = method
		if r, _ := roundTrip(t, p, attemptWithin(patience), "a", m); r != succeeded {
			t.Fatalf("first: %v", r)
		}
		c := p.endpoints["a"].idle[0]
		l := attemptWithin(patience)
		var once sync.Once
		l.ClientGone = func() bool { // between the choice of the connection and the first byte
			once.Do(func() {
				close(hangUp)
				until(t, "the close comes", func() bool { return c.hasPendingInput() })
			})
			return false
		}
		if r, _ := roundTrip(t, p, l, "a", m); r != succeeded {
			t.Errorf("%s: outcome %v", method, r)
		}
		if n, c := e.Requests.Load(), e.Connections.Load(); n != 2 || c != 2 {
			t.Errorf("%s: %d requests on %d connections", method, n, c)
		}
	}
}

// A second answer that comes late must not be taken for the answer to the next request: a
// connection rests before it is used again, and one on which something has come meanwhile is not
// used at all. One that has rested goes first, and one that has been quiet is used.
func TestLateSecondResponseIsDropped(t *testing.T) {
	for name, spoilt := range map[string]bool{"a second answer comes": true, "nothing comes": false} {
		t.Run(name, func(t *testing.T) {
			second := make(chan bool)
			e := newEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
				body := r.URL.Path[1:]
				answer := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body
				io.WriteString(nc, answer)
				if body == "x" {
					go func() {
						if <-second {
							io.WriteString(nc, answer)
						}
					}()
				}
				return true
			})
			p := newTestPool(t, e.Addr)
			p.quarantine = patience
			rests, letGo := make(chan bool), make(chan bool)
			p.waitUntilDone = func(ctx context.Context) {
				if until, _ := ctx.Deadline(); time.Until(until) < patience/2 {
					t.Error("the rest ends too soon")
				}
				rests <- true
				<-letGo
			}
			if r, a := roundTrip(t, p, attemptWithin(patience), "a", newRequest("/x")); r != succeeded || string(a.Body) != "x" {
				t.Fatalf("x: outcome %v, answer %q", r, a.Body)
			}
			c := p.endpoints["a"].idle[0]
			ended := make(chan bool)
			go func() {
				if r, a := roundTrip(t, p, attemptWithin(patience), "a", newRequest("/y")); r != succeeded || string(a.Body) != "y" {
					t.Errorf("y: outcome %v, answer %q", r, a.Body)
				}
				close(ended)
			}()
			<-rests
			if n := e.Requests.Load(); n != 1 {
				t.Errorf("%d requests came before the connection has rested", n)
			}
			if second <- spoilt; spoilt {
				until(t, "the second answer comes", func() bool { return c.hasPendingInput() })
			}
			close(letGo)
			<-ended
			if _, _, open := p.Counts(); open != 1 || e.Connections.Load() != map[bool]int32{true: 2, false: 1}[spoilt] {
				t.Errorf("%d of %d connections are open", open, e.Connections.Load())
			}
		})
	}
}

// With several idle connections the youngest that has rested is used, and with none such the one
// that will have first.
func TestConnsPastQuarantineAreUsedFirst(t *testing.T) {
	p := New(Options{MaxConns: 100, Quarantine: time.Hour})
	p.SetEndpoint("a", "127.0.0.1:1", true)
	now := time.Now()
	for _, row := range []struct {
		ages []time.Duration
		want int
	}{{[]time.Duration{3, 2, 0}, 1}, {[]time.Duration{2, 0, 0}, 0}, {[]time.Duration{0, 0}, 0}, {[]time.Duration{3, 2}, 1}} {
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
			t.Errorf("%v: another one was taken, %v", row.ages, err)
		}
	}
}

// An attempt that is called off while its connection rests ends at once, and nothing goes out.
func TestAttemptCanceledDuringQuarantine(t *testing.T) {
	e := newEndpoint(t, says(served, true))
	p := newTestPool(t, e.Addr)
	p.quarantine = patience
	if r, _ := roundTrip(t, p, attemptWithin(patience), "a", newRequest("/c")); r != succeeded {
		t.Fatal(r)
	}
	for name, off := range map[string]func(a *Attempt){"cancelled": (*Attempt).Cancel, "withdrawn": (*Attempt).CancelUnlessWritten} {
		l := attemptWithin(patience)
		pause := p.waitUntilDone
		p.waitUntilDone = func(ctx context.Context) { off(l); pause(ctx) }
		if r, _ := roundTrip(t, p, l, "a", newRequest("/c")); r != Canceled {
			t.Errorf("%s: outcome %v", name, r)
		}
		p.waitUntilDone = pause
		if _, _, open := p.Counts(); open != 0 || e.Requests.Load() != 1 {
			t.Errorf("%s: %d connections are open, %d requests came", name, open, e.Requests.Load())
		}
		if r, _ := roundTrip(t, p, attemptWithin(patience), "a", newRequest("/c")); r != succeeded {
			t.Fatal(r)
		}
		e.Requests.Store(1)
	}
}

// loopbackConns gives both ends of a connection.
func loopbackConns(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// Withdrawing ends what is not written whole, and nothing else.
func TestWrittenRequestIsNotWithdrawn(t *testing.T) {
	came, release := make(chan bool), make(chan bool)
	e := newEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		came <- true
		<-release
		io.WriteString(nc, served)
		return true
	})
	p := newTestPool(t, e.Addr)
	l := attemptWithin(patience)
	ended := make(chan FailureKind)
	go func() {
		r, _ := roundTrip(t, p, l, "a", newRequest("/c"))
		ended <- r
	}()
	<-came
	until(t, "the request is known to be written", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.requestWritten })
	l.CancelUnlessWritten()
	close(release)
	if r := <-ended; r != succeeded {
		t.Errorf("outcome %v", r)
	}
}

// A close right behind an answer says nothing of how long endpoints keep idle connections.
func TestCloseRightAfterResponseKeepsMaxIdleAge(t *testing.T) {
	e := newEndpoint(t, says(served, false))
	p := newTestPool(t, e.Addr)
	if r, _ := roundTrip(t, p, attemptWithin(patience), "a", newRequest("/c")); r != succeeded {
		t.Fatal(r)
	}
	c := p.endpoints["a"].idle[0]
	until(t, "the close comes", func() bool { return c.hasPendingInput() })
	was := p.maxIdleAge
	if p.usableLocked(c, c.idleSince.Add(sweepInterval)) || p.maxIdleAge != was {
		t.Errorf("idle connections are used for %v now", p.maxIdleAge)
	}
}
