package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"tuliprock"
	"tuliprock/internal/testpeer"
)

// held makes the next dial stop once its connection is up, until let go.
func held(u *upstream) (up chan net.Conn, letGo chan bool) {
	up, letGo = make(chan net.Conn, 1), make(chan bool)
	dial := u.connect
	var once sync.Once
	u.connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(context.WithoutCancel(ctx), network, addr)
		once.Do(func() {
			up <- nc
			<-letGo
		})
		return nc, err
	}
	return up, letGo
}

// What happens while a connection comes up must count when it is up: nothing may go out that was right only when it was decided.
func TestNothingIsSentOnAConnectionThatCameUpTooLate(t *testing.T) {
	for name, row := range map[string]struct {
		happens func(u *upstream, l *leash, e *testpeer.Endpoint)
		want    tuliprock.Result
	}{
		"nothing":                {func(*upstream, *leash, *testpeer.Endpoint) {}, tuliprock.OK},
		"the endpoint drains":    {func(u *upstream, _ *leash, e *testpeer.Endpoint) { u.setMember("a", e.Addr, false) }, tuliprock.NotSent},
		"the endpoint is gone":   {func(u *upstream, _ *leash, _ *testpeer.Endpoint) { u.removeMember("a") }, tuliprock.NotSent},
		"the endpoint has moved": {func(u *upstream, _ *leash, _ *testpeer.Endpoint) { u.setMember("a", "127.0.0.1:1", true) }, tuliprock.NotSent},
		"the endpoint is another of that name": {func(u *upstream, _ *leash, e *testpeer.Endpoint) {
			u.removeMember("a")
			u.setMember("a", e.Addr, true)
		}, tuliprock.NotSent},
		"the caller leaves":          {func(_ *upstream, l *leash, _ *testpeer.Endpoint) { l.left = func() bool { return true } }, tuliprock.NotSent},
		"the attempt is called off":  {func(_ *upstream, l *leash, _ *testpeer.Endpoint) { l.cancel() }, tuliprock.Canceled},
		"the attempt is withdrawn":   {func(_ *upstream, l *leash, _ *testpeer.Endpoint) { l.withdraw() }, tuliprock.Canceled},
		"the caller is still there":  {func(_ *upstream, l *leash, _ *testpeer.Endpoint) { l.left = func() bool { return false } }, tuliprock.OK},
		"the list says ready, again": {func(u *upstream, _ *leash, e *testpeer.Endpoint) { u.setMember("a", e.Addr, true) }, tuliprock.OK},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, says(served, true))
			u := testUpstream(t, e.Addr)
			up, letGo := held(u)
			l := within(patience)
			ended := make(chan tuliprock.Result)
			go func() {
				r, _ := u.attempt(l, "a", get("/c"))
				ended <- r
			}()
			<-up
			row.happens(u, l, e)
			close(letGo)
			if r := <-ended; r != row.want {
				t.Errorf("outcome %v, want %v", r, row.want)
			}
			_, _, open := u.count()
			if want := map[bool]int32{true: 1}[row.want == tuliprock.OK]; e.Requests.Load() != want || open != int(want) {
				t.Errorf("%d requests came, %d connections are open, want %d", e.Requests.Load(), open, want)
			}
		})
	}
}

// A new connection that its endpoint breaks before a byte was sent has carried nothing, and what must not run twice may go elsewhere.
func TestANewConnectionBrokenAtOnceIsConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	u := testUpstream(t, l.Addr().String())
	up, letGo := held(u)
	ended := make(chan tuliprock.Result)
	go func() {
		r, _ := u.attempt(within(patience), "a", get("/c"))
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
	if r := <-ended; r != tuliprock.ConnectFailed {
		t.Errorf("outcome %v", r)
	}
}

// The endpoint closes an idle connection when a request is about to be written there: nothing was, and any request, also one that must
// not run twice, goes out on another connection within the same attempt.
func TestAnIdleConnectionClosedBeforeTheFirstByte(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		hangUp := make(chan bool)
		e := newEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
			io.WriteString(nc, served)
			if n == 1 {
				<-hangUp
			}
			return n > 1
		})
		u := testUpstream(t, e.Addr)
		m := get("/c")
		m.Method = method
		if r, _ := u.attempt(within(patience), "a", m); r != tuliprock.OK {
			t.Fatalf("first: %v", r)
		}
		c := u.pools["a"].idle[0]
		l := within(patience)
		var once sync.Once
		l.left = func() bool { // between the choice of the connection and the first byte
			once.Do(func() {
				close(hangUp)
				until(t, "the close comes", func() bool { return !c.quiet() })
			})
			return false
		}
		if r, _ := u.attempt(l, "a", m); r != tuliprock.OK {
			t.Errorf("%s: outcome %v", method, r)
		}
		if n, c := e.Requests.Load(), e.Connections.Load(); n != 2 || c != 2 {
			t.Errorf("%s: %d requests on %d connections", method, n, c)
		}
	}
}

// A second answer that comes late must not be taken for the answer to the next request: a connection rests before it is used again,
// and one on which something has come meanwhile is not used at all.
func TestALateSecondAnswerIsNobodys(t *testing.T) {
	asked, second := make(chan bool), make(chan bool)
	e := newEndpoint(t, func(nc net.Conn, r *http.Request, n int) bool {
		body := r.URL.Path[1:]
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body
		if body == "x" {
			io.WriteString(nc, answer)
			go func() {
				<-asked // the next request is out
				io.WriteString(nc, answer)
				close(second)
			}()
			return true
		}
		if n == 2 {
			close(asked)
			<-second
		}
		io.WriteString(nc, answer)
		return true
	})
	u := testUpstream(t, e.Addr)
	u.settle = patience
	for _, body := range []string{"x", "y"} {
		l := within(patience)
		if r, a := u.attempt(l, "a", get("/"+body)); r != tuliprock.OK || string(a.Body) != body {
			t.Fatalf("%s: outcome %v, answer %q", body, r, a.Body)
		}
	}
	spoilt, good := u.pools["a"].idle[0], u.pools["a"].idle[1]
	until(t, "the second answer comes", func() bool { return !spoilt.quiet() })
	for _, c := range []*conn{spoilt, good} {
		c.idleAt = c.idleAt.Add(-patience)
	}
	if r, a := u.attempt(within(patience), "a", get("/z")); r != tuliprock.OK || string(a.Body) != "z" {
		t.Errorf("z: outcome %v, answer %q", r, a.Body)
	}
	u.sweep(func(c *conn) bool { return u.usable(c, time.Now()) })
	if _, _, open := u.count(); open != 1 || e.Connections.Load() != 2 {
		t.Errorf("%d of %d connections are open", open, e.Connections.Load())
	}
}

// Withdrawing ends what is not written whole, and nothing else.
func TestWhatIsWrittenIsNotWithdrawn(t *testing.T) {
	came, release := make(chan bool), make(chan bool)
	e := newEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		came <- true
		<-release
		io.WriteString(nc, served)
		return true
	})
	u := testUpstream(t, e.Addr)
	l := within(patience)
	ended := make(chan tuliprock.Result)
	go func() {
		r, _ := u.attempt(l, "a", get("/c"))
		ended <- r
	}()
	<-came
	until(t, "the request is known to be written", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.whole })
	l.withdraw()
	close(release)
	if r := <-ended; r != tuliprock.OK {
		t.Errorf("outcome %v", r)
	}
}

// A close right behind an answer says nothing of how long endpoints keep idle connections.
func TestACloseBehindAnAnswerTeachesNothing(t *testing.T) {
	e := newEndpoint(t, says(served, false))
	u := testUpstream(t, e.Addr)
	if r, _ := u.attempt(within(patience), "a", get("/c")); r != tuliprock.OK {
		t.Fatal(r)
	}
	c := u.pools["a"].idle[0]
	until(t, "the close comes", func() bool { return !c.quiet() })
	was := u.idleFor
	if u.usable(c, c.idleAt.Add(sweepEvery)) || u.idleFor != was {
		t.Errorf("idle connections are used for %v now", u.idleFor)
	}
}
