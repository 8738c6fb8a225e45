package faultproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

// waitTimeout is the deadline of a test's connection, counted from the dial.
const waitTimeout = 10 * time.Second

func TestRelayRejectsTargetsThatAreNotLoopback(t *testing.T) {
	if _, err := Listen("192.0.2.1:80", Options{}); err == nil {
		t.Fatal("Listen accepted a target on another machine")
	}
}

// startEcho starts a target that echoes what it receives.
func startEcho(t *testing.T) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// testClient is a client connection through a relay.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func dialRelay(t *testing.T, r *Relay) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(waitTimeout))
	return &testClient{conn, bufio.NewReader(conn)}
}

// startRelay starts a relay to an echo target, and a client connected through it.
func startRelay(t *testing.T, options Options) (*Relay, *testClient) {
	t.Helper()
	r, err := Listen(startEcho(t), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r, dialRelay(t, r)
}

func (c *testClient) send(line string) { io.WriteString(c, line+"\n") }

func (c *testClient) expectLine(t *testing.T, line string) {
	t.Helper()
	if got, err := c.reader.ReadString('\n'); err != nil || got != line+"\n" {
		t.Fatalf("read %q, error %v, want the line %q", got, err, line)
	}
}

func (c *testClient) roundTrip(t *testing.T, line string) {
	t.Helper()
	c.send(line)
	c.expectLine(t, line)
}

// rejection opens another connection and returns the error with which it failed, or nil. The kernel
// completes the handshake before the relay accepts the connection, so the reset may arrive during
// the dial or during the read.
func rejection(t *testing.T, r *Relay) error {
	t.Helper()
	conn, err := net.Dial("tcp", r.Addr())
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitTimeout))
	_, err = conn.Read(make([]byte, 1))
	return err
}

// Data sent during a partition is delivered when the partition ends, as TCP would do by
// retransmission.
func TestHealDeliversChunksSentDuringPartition(t *testing.T) {
	r, c := startRelay(t, Options{})
	c.roundTrip(t, "before")
	r.Set(Fault{Partition: true})
	c.send("during")
	testpeer.WaitUntil(t, "the chunk is held back", func() bool { return r.Stats().WaitingChunks > 0 })
	r.Heal()
	c.expectLine(t, "during")
	if s := r.Stats(); s.WaitingChunks != 0 || s.Accepted != 1 {
		t.Errorf("stats after the partition: %+v", s)
	}
}

func TestResetEndsConnectionsAndRejectsNewOnes(t *testing.T) {
	r, c := startRelay(t, Options{})
	c.roundTrip(t, "one")
	r.Set(Fault{Reset: true})
	if _, err := c.reader.ReadString('\n'); err == nil {
		t.Fatal("the connection is still open after a reset")
	}
	if err := rejection(t, r); err == nil {
		t.Fatal("a new connection was accepted while the reset fault was in force")
	}
	r.Heal()
	dialRelay(t, r).roundTrip(t, "after")
}

func TestDelayIsAddedInEachDirection(t *testing.T) {
	const delay = 30 * time.Millisecond
	_, c := startRelay(t, Options{Script: Script{{Fault: Fault{Delay: delay}}}})
	start := time.Now()
	c.roundTrip(t, "slow")
	if took := time.Since(start); took < 2*delay {
		t.Errorf("a round trip took %v, less than twice the delay of %v", took, delay)
	}
}

// Data from the target never arrives, while data from the client does.
func TestHalfOpenConnectionCarriesOneDirection(t *testing.T) {
	r, c := startRelay(t, Options{})
	c.roundTrip(t, "one")
	r.Set(Fault{HalfOpen: true, Direction: FromTarget})
	c.send("two")
	const want = int64(len("one\n")*2 + len("two\n"))
	testpeer.WaitUntil(t, "the client's data is forwarded", func() bool { return r.Stats().Bytes >= want })
	if s := r.Stats(); s.Bytes != want {
		t.Errorf("data from the target was forwarded on a half-open connection: %+v", s)
	}
}

func TestRelayIsBoundedInConnections(t *testing.T) {
	r, c := startRelay(t, Options{Conns: 1})
	c.roundTrip(t, "one")
	if err := rejection(t, r); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("connection beyond the limit: error %v, want ECONNRESET", err)
	}
	if s := r.Stats(); s.Rejected != 1 {
		t.Errorf("stats %+v, want 1 rejected connection", s)
	}
}

func TestRelayIsBoundedInBytesAndTime(t *testing.T) {
	t.Run("bytes", func(t *testing.T) {
		r, c := startRelay(t, Options{MaxBytes: int64(len("one\n"))})
		c.send("one") // the line reaches the limit, so its echo is not forwarded
		testpeer.WaitUntil(t, "the line is forwarded", func() bool { return r.Stats().Bytes > 0 })
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if line, err := c.reader.ReadString('\n'); err == nil {
			t.Errorf("%q was forwarded beyond the limit of bytes", line)
		}
	})
	t.Run("time", func(t *testing.T) {
		_, c := startRelay(t, Options{MaxLifetime: time.Second})
		if _, err := c.reader.ReadString('\n'); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read after the relay's lifetime: error %v, want the connection closed", err)
		}
	})
}
