package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"rowancart/internal/platform"
)

// attemptDeadline is the deadline of an attempt as received by its endpoint: a timeout that starts
// at receivedAt.
type attemptDeadline struct {
	id         string
	timeout    time.Duration
	receivedAt time.Time
}

// startDeadlineEndpoint starts an endpoint that sends the deadline of each attempt to a channel. It
// delays the response to the request of a client whose id begins with "hang", but not the response
// to the pipelined request that follows it.
func startDeadlineEndpoint(t *testing.T, delay time.Duration) (addr string, received <-chan attemptDeadline) {
	t.Helper()
	requests := make(chan attemptDeadline, 10)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request, _ int) bool {
		ms, err := strconv.Atoi(r.Header.Get(platform.DeadlineHeader))
		if err != nil {
			t.Error(err)
		}
		id := r.Header.Get(platform.RequestIDHeader)
		requests <- attemptDeadline{id, time.Duration(ms) * time.Millisecond, time.Now()}
		if strings.HasPrefix(id, "hang") && !strings.HasSuffix(id, "-next") {
			time.Sleep(delay) // the result does not depend on the exact duration
		}
		io.WriteString(conn, okResponse)
		return true
	})
	return e.Addr, requests
}

// The timeout that clients send in these tests, and the delay of a request before it is forwarded.
const (
	clientTimeout = 10 * time.Second
	requestDelay  = time.Second
)

// requireWithinClientTimeout checks that the deadline of an attempt is not later than the client's,
// whose timeout started at sentAt, when the request had been sent. The platform allows a deviation
// of 0.15 s; this test allows half of the delay, so that a busy machine does not affect the result.
func requireWithinClientTimeout(t *testing.T, d attemptDeadline, sentAt time.Time) {
	t.Helper()
	if left := clientTimeout - d.receivedAt.Sub(sentAt); d.timeout > left+requestDelay/2 {
		t.Errorf("%s: the attempt's timeout is %v, but the client had only %v left", d.id, d.timeout, left)
	}
}

// The timeout of a request starts when its last byte arrives, even if the request is read later
// because it waits behind another request on its connection or because its connection has not been
// accepted yet. Otherwise attempts would have later deadlines than their clients.
func TestAttemptDeadlineCountsFromArrival(t *testing.T) {
	text := strings.ReplaceAll(lookRequest, "600000", fmt.Sprint(clientTimeout.Milliseconds()))
	next := strings.ReplaceAll(pipelinedRequest, "600000", fmt.Sprint(clientTimeout.Milliseconds()))
	readTwo := func(t *testing.T, c *testClient) {
		in := bufio.NewReader(c)
		for range 2 {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
		}
	}
	t.Run("sent with the request before it", func(t *testing.T) {
		addr, received := startDeadlineEndpoint(t, requestDelay)
		s := startSidecar(t, addr)
		sentAt := time.Now()
		c := s.connectAndSend(t, "hang", text+next)
		<-received
		readTwo(t, c)
		requireWithinClientTimeout(t, <-received, sentAt)
	})
	t.Run("sent while the request before it is served", func(t *testing.T) {
		addr, received := startDeadlineEndpoint(t, requestDelay)
		s := startSidecar(t, addr)
		c := s.connectAndSend(t, "hang", text)
		<-received
		sentAt := time.Now()
		c.send(next)
		readTwo(t, c)
		requireWithinClientTimeout(t, <-received, sentAt)
	})
	t.Run("sent before its connection is accepted", func(t *testing.T) {
		addr, received := startDeadlineEndpoint(t, 0)
		s := startSidecar(t, addr)
		s.listener.Pause()
		sentAt := time.Now()
		c := s.connectAndSend(t, "early", text)
		time.Sleep(requestDelay) // no connection is accepted; the result does not depend on the duration
		s.listener.Resume()
		c.requireOK(t)
		requireWithinClientTimeout(t, <-received, sentAt)
	})
}

// The lengths of bodies, in bytes. A sidecar without memory for long bodies buffers only the first
// part of each. For longBody, the kernel's buffers hold the rest, so that the client has sent all
// of it while some is unread.
const (
	longBody     = 470 << 10
	overfullBody = 6 << 20 // more than all buffers between client and endpoint hold
)

// sendUpload sends a complete request with a body of the given length. sentAt is the time at which
// all of it had been sent.
func (s *testSidecar) sendUpload(
	t *testing.T, length int, timeout time.Duration,
) (c *testClient, sentAt time.Time) {
	t.Helper()
	head := strings.ReplaceAll(uploadHead(length), "600000", fmt.Sprint(timeout.Milliseconds()))
	c = s.connectAndSend(t, "upload", "")
	if err := c.send(head + strings.Repeat("x", length)); err != nil {
		t.Fatal(err)
	}
	return c, time.Now()
}

// A client may have sent all of a long body, so that its timeout has started, while most of the
// body is unread: because no endpoint has been chosen yet, or because the endpoint does not read.
// The deadline of the attempt and the time of the response must count from the body's arrival.
func TestTimeoutOfLongBodyCountsFromItsArrival(t *testing.T) {
	t.Run("sent after a dial that failed", func(t *testing.T) {
		dead := newFullBacklogEndpoint(t)
		addr, received := startDeadlineEndpoint(t, 0)
		settings := testSettings()
		settings.Permissions.DialTimeoutUs = 1_000_000
		s := testOptions{settings: settings, endpoints: listedAll(dead)}.start(t)
		s.server.SetBodyMemory(0)
		c, sentAt := s.sendUpload(t, longBody, clientTimeout)
		s.waitForInFlight(t, 1)
		s.updateEndpoints(t, changes(2, listed("z", addr, platform.StateReady)))
		c.requireOK(t)
		requireWithinClientTimeout(t, <-received, sentAt)
	})
	for name, length := range map[string]int{"buffered": longBody / 2, "streamed": longBody} {
		t.Run("sent after its connection waited to be accepted, "+name, func(t *testing.T) {
			addr, received := startDeadlineEndpoint(t, 0)
			s := startSidecar(t, addr)
			s.server.SetBodyMemory(0)
			s.listener.Pause()
			c, sentAt := s.sendUpload(t, length, clientTimeout)
			time.Sleep(requestDelay) // no connection is accepted; the result does not depend on the duration
			s.listener.Resume()
			c.requireOK(t)
			requireWithinClientTimeout(t, <-received, sentAt)
		})
	}
	t.Run("answered though the endpoint stops reading", func(t *testing.T) {
		const (
			timeout   = 2 * time.Second
			tolerance = time.Second // twice what the platform allows
		)
		hanging, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections; nothing reads from them
		if err != nil {
			t.Fatal(err)
		}
		defer hanging.Close()
		s := startSidecar(t, hanging.Addr().String())
		s.server.SetBodyMemory(0)
		c, sentAt := s.sendUpload(t, overfullBody, timeout)
		resp := c.readResponse(t)
		if took := time.Since(sentAt); took > timeout+tolerance || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d after %v, want 503 soon after the timeout of %v", resp.StatusCode, took, timeout)
		}
	})
}
