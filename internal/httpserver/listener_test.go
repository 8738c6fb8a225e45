package httpserver

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

// idleResponse is the response on a connection from acceptIdle. The client has not read it.
const idleResponse = "response"

// idleConn is the listener and the two ends of a connection that is idle after a response.
type idleConn struct {
	listener *Listener
	server   *trackedConn
	client   net.Conn
}

// acceptIdle returns a connection that is idle after a response.
func acceptIdle(t *testing.T) idleConn {
	t.Helper()
	l := NewListener(listen(t), 100)
	t.Cleanup(func() { l.Close() })
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	c := nc.(*trackedConn)
	l.setState(c, http.StateActive)
	if _, err := c.Write([]byte(idleResponse)); err != nil {
		t.Fatal(err)
	}
	l.setState(c, http.StateIdle)
	return idleConn{l, c, client}
}

// A connection must not be closed between the read of a request and the moment at which the server
// marks the connection active. This happened under overload with few file descriptors.
func TestConnectionWithRequestReadIsNotClosed(t *testing.T) {
	conn := acceptIdle(t)
	io.WriteString(conn.client, "re")
	if n, err := conn.server.Read(make([]byte, 2)); n != 2 || err != nil {
		t.Fatal(n, err)
	}
	conn.listener.closeIdle(0)
	io.WriteString(conn.client, "st")
	if n, err := io.ReadFull(conn.server, make([]byte, 2)); n != 2 || err != nil {
		t.Errorf("read of the rest of the request: %d bytes, %v", n, err)
	}
}

func TestReadsOfClosingConnectionEnd(t *testing.T) {
	conn := acceptIdle(t)
	read := make(chan error)
	go func() {
		_, err := conn.server.Read(make([]byte, 1))
		read <- err
	}()
	conn.listener.closeIdle(0)
	if err := <-read; err != io.EOF {
		t.Errorf("the read in progress returned %v, want EOF", err)
	}
	deadline := time.Now().Add(waitTimeout)
	if err := conn.server.SetReadDeadline(deadline); err != nil { // as the server does before each read
		t.Fatal(err)
	}
	if _, err := conn.server.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the next read returned %v, want EOF", err)
	}
}

func TestSilentNewConnectionStaysOpenUntilTimeout(t *testing.T) {
	recent := acceptIdle(t)
	recent.server.state = http.StateNew
	recent.server.since = time.Now().Add(time.Hour)
	recent.listener.closeIdle(0)
	io.WriteString(recent.client, "r")
	if n, err := recent.server.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("read of the first byte of a new connection: %d bytes, %v", n, err)
	}
	old := acceptIdle(t)
	old.server.state = http.StateNew
	old.server.since = time.Now().Add(-2 * newConnTimeout)
	old.listener.closeIdle(0)
	if _, err := old.server.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after newConnTimeout returned %v, want EOF", err)
	}
}

// A request that has arrived but has not been read must not be lost when its connection is closed.
// This happened under overload with few file descriptors and half a CPU core.
func TestArrivedRequestIsReadBeforeClose(t *testing.T) {
	conn := acceptIdle(t)
	io.WriteString(conn.client, "request")
	waitUntil(t, "the request arrives", func() bool { return testpeer.HasUnreadData(conn.server.Conn.(*net.TCPConn)) })
	conn.listener.closeIdle(0)
	if n, err := conn.server.Read(make([]byte, 7)); n == 0 || err != nil {
		t.Errorf("read of the request: %d bytes, %v", n, err)
	}
}

// Guards against peers that send nothing and so keep the places of clients that speak.
func TestSilentConnectionMakesRoomBeforeIdleOnes(t *testing.T) {
	now := time.Now()
	conn := func(state http.ConnState, silent bool, age time.Duration) *trackedConn {
		return &trackedConn{state: state, silent: silent, since: now.Add(-age)}
	}
	longSilent := conn(http.StateNew, true, time.Second)
	silent := conn(http.StateNew, true, time.Millisecond)
	idle := conn(http.StateIdle, false, time.Minute)
	speaking := conn(http.StateNew, false, time.Minute)
	active := conn(http.StateActive, false, time.Minute)
	accepted := conn(http.StateNew, true, time.Minute)
	closing := conn(http.StateNew, true, time.Minute)
	closing.closing = true
	pipelining := conn(http.StateIdle, false, time.Minute)
	pipelining.readSinceWrite = true
	for name, c := range map[string]struct {
		conns []*trackedConn
		want  *trackedConn
	}{
		"the longest silent":     {[]*trackedConn{silent, longSilent, idle, speaking}, longSilent},
		"an idle one":            {[]*trackedConn{idle, speaking, active}, idle},
		"one that is silent now": {[]*trackedConn{silent, speaking, active, closing}, silent},
		"none with a request":    {[]*trackedConn{speaking, active, closing, pipelining, accepted}, nil},
	} {
		l := NewListener(nil, 0)
		for _, tracked := range c.conns {
			l.conns[tracked] = true
		}
		candidates := l.connsToClose(accepted)
		if got := cmp.Or(candidates.silent, candidates.idle); got != c.want {
			t.Errorf("%s: %+v is closed, want %+v", name, got, c.want)
		}
	}
}

// Empty lines before the first request do not make a peer a client, and its first byte does.
func TestConnectionIsSilentUntilItsFirstRequestBegins(t *testing.T) {
	l := NewListener(listen(t), 100)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	for _, c := range []struct {
		text   string
		silent bool
	}{{"\r\n", true}, {"G", false}, {"\r\n", false}} {
		io.WriteString(client, c.text)
		if _, err := io.ReadFull(nc, make([]byte, len(c.text))); err != nil {
			t.Fatal(err)
		}
		if got := nc.(*trackedConn).silent; got != c.silent {
			t.Errorf("after %q the connection counts as silent: %v, want %v", c.text, got, c.silent)
		}
	}
}
