package httpserver

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

// acceptIdle returns a listener, a connection of it that is idle after a response, and the client's
// end.
func acceptIdle(t *testing.T) (*Listener, *trackedConn, net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(inner, 100)
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
	if _, err := c.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	l.setState(c, http.StateIdle)
	return l, c, client
}

// Seen on an overloaded day with few file descriptors: connections were closed between the read of
// a request and the moment at which the server called them active.
func TestConnectionWithRequestReadIsNotClosed(t *testing.T) {
	l, c, client := acceptIdle(t)
	io.WriteString(client, "re")
	if n, err := c.Read(make([]byte, 2)); n != 2 || err != nil {
		t.Fatal(n, err)
	}
	l.closeIdle(0)
	io.WriteString(client, "st")
	if n, err := io.ReadFull(c, make([]byte, 2)); n != 2 || err != nil {
		t.Errorf("the rest of the request: %d bytes, %v", n, err)
	}
}

func TestReadsOfClosingConnectionEnd(t *testing.T) {
	l, c, _ := acceptIdle(t)
	read := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	l.closeIdle(0)
	if err := <-read; err != io.EOF {
		t.Errorf("the read in progress: %v", err)
	}
	if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil { // as the server does before each read
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the next read: %v", err)
	}
}

func TestSilentNewConnectionIsKeptUntilTimeout(t *testing.T) {
	l, c, client := acceptIdle(t)
	c.state = http.StateNew
	c.since = time.Now().Add(time.Hour)
	l.closeIdle(0)
	io.WriteString(client, "r")
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("its first byte: %d, %v", n, err)
	}
	l, c, _ = acceptIdle(t)
	c.state = http.StateNew
	c.since = time.Now().Add(-2 * newConnTimeout)
	l.closeIdle(0)
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after the timeout: %v", err)
	}
}

// Seen on the same day, with half a core: a request that has arrived but was not read yet must not
// be lost.
func TestArrivedRequestIsReadBeforeClose(t *testing.T) {
	l, c, client := acceptIdle(t)
	io.WriteString(client, "request")
	until(t, "the request arrives", func() bool { return testpeer.HasUnreadData(c.Conn.(*net.TCPConn)) })
	l.closeIdle(0)
	if n, err := c.Read(make([]byte, 7)); n == 0 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}
