package engine

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tuliprock"
)

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
