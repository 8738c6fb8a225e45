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

// toldDeadline is what an endpoint was told of how long a client waits, and when.
type toldDeadline struct {
	id   string
	wait time.Duration
	at   time.Time
}

// startTellingEndpoint returns an endpoint that sends what each request tells it, and holds
// requests whose id begins with "hang" for hold.
func startTellingEndpoint(t *testing.T, hold time.Duration) (addr string, told <-chan toldDeadline) {
	t.Helper()
	requests := make(chan toldDeadline, 10)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request, _ int) bool {
		ms, err := strconv.Atoi(r.Header.Get(platform.DeadlineHeader))
		if err != nil {
			t.Error(err)
		}
		id := r.Header.Get("Req-Id")
		requests <- toldDeadline{id, time.Duration(ms) * time.Millisecond, time.Now()}
		if strings.HasPrefix(id, "hang") && !strings.HasSuffix(id, "-next") {
			time.Sleep(hold) // the endpoint is slow: no verdict rests on how slow
		}
		io.WriteString(conn, okResponse)
		return true
	})
	return e.Addr, requests
}

// The deadlines of these tests, and the time for which something holds a request up.
const (
	clientDeadline = 10 * time.Second
	holdUp         = time.Second
)

// requireNoMoreThanLeft checks what an endpoint was told against what a client had left that had
// sent its request by sentAt. The page allows 0.15 s; this test allows half of the hold-up, so that
// a busy machine does not decide it.
func requireNoMoreThanLeft(t *testing.T, d toldDeadline, sentAt time.Time) {
	t.Helper()
	if left := clientDeadline - d.at.Sub(sentAt); d.wait > left+holdUp/2 {
		t.Errorf("%s: its endpoint was told %v, and the client had %v left", d.id, d.wait, left)
	}
}

// A request's time counts from its last byte, wherever it waits to be read: behind another request
// on its connection, or on a connection that nobody has accepted yet.
func TestToldDeadlineCountsFromArrival(t *testing.T) {
	text := strings.ReplaceAll(lookRequest, "600000", fmt.Sprint(clientDeadline.Milliseconds()))
	next := strings.ReplaceAll(pipelinedRequest, "600000", fmt.Sprint(clientDeadline.Milliseconds()))
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
		addr, told := startTellingEndpoint(t, holdUp)
		s := startSidecar(t, addr)
		sentAt := time.Now()
		c := s.connectAndSend(t, "hang", text+next)
		<-told
		readTwo(t, c)
		requireNoMoreThanLeft(t, <-told, sentAt)
	})
	t.Run("sent while the request before it is served", func(t *testing.T) {
		addr, told := startTellingEndpoint(t, holdUp)
		s := startSidecar(t, addr)
		c := s.connectAndSend(t, "hang", text)
		<-told
		sentAt := time.Now()
		c.send(next)
		readTwo(t, c)
		requireNoMoreThanLeft(t, <-told, sentAt)
	})
	t.Run("sent before its connection is accepted", func(t *testing.T) {
		addr, told := startTellingEndpoint(t, 0)
		s := startSidecar(t, addr)
		s.listener.Pause()
		sentAt := time.Now()
		c := s.connectAndSend(t, "early", text)
		time.Sleep(holdUp) // nobody accepts: no verdict rests on how long
		s.listener.Resume()
		c.requireOK(t)
		requireNoMoreThanLeft(t, <-told, sentAt)
	})
}

// The lengths of bodies. A sidecar with the least memory for bodies buffers only some of each; the
// kernel's buffers take the rest, so that the client has sent all of it while some is unread.
const (
	longBody     = 470 << 10
	overfullBody = 6 << 20 // more than the buffers on the way to an endpoint take, too
)

// sendWholeUpload sends a whole request with a long body at once.
func (s *testSidecar) sendWholeUpload(
	t *testing.T, length int, deadline time.Duration,
) (c *testClient, sentAt time.Time) {
	t.Helper()
	head := strings.ReplaceAll(uploadHead(length), "600000", fmt.Sprint(deadline.Milliseconds()))
	c = s.connectAndSend(t, "upload", "")
	if err := c.send(head + strings.Repeat("x", length)); err != nil {
		t.Fatal(err)
	}
	return c, time.Now()
}

// The client of a long body has sent all of it, and its time runs, while most of the body waits to
// be read: for an endpoint to be found, or for one to read it.
func TestTimeOfLongBodyCountsFromItsArrival(t *testing.T) {
	t.Run("told after a dial that failed", func(t *testing.T) {
		dead := newFullBacklogEndpoint(t)
		addr, told := startTellingEndpoint(t, 0)
		settings := strings.Replace(testSettings, `"DialTimeoutUs":5000000`, `"DialTimeoutUs":1000000`, 1)
		s := testOptions{settings: settings, endpoints: listedAll(dead)}.start(t)
		s.server.SetBodyMemory(0)
		c, sentAt := s.sendWholeUpload(t, longBody, clientDeadline)
		s.waitForInFlight(t, 1)
		s.updateEndpoints(t, changes(2, listed("z", addr, platform.StateReady)))
		c.requireOK(t)
		requireNoMoreThanLeft(t, <-told, sentAt)
	})
	for name, length := range map[string]int{"buffered": longBody / 2, "streamed": longBody} {
		t.Run("told after its connection waited to be accepted, "+name, func(t *testing.T) {
			addr, told := startTellingEndpoint(t, 0)
			s := startSidecar(t, addr)
			s.server.SetBodyMemory(0)
			s.listener.Pause()
			c, sentAt := s.sendWholeUpload(t, length, clientDeadline)
			time.Sleep(holdUp) // nobody accepts: no verdict rests on how long
			s.listener.Resume()
			c.requireOK(t)
			requireNoMoreThanLeft(t, <-told, sentAt)
		})
	}
	t.Run("answered though the endpoint hangs in the middle of it", func(t *testing.T) {
		const deadline, late = 2 * time.Second, time.Second // the page allows half of that
		hanging, err := net.Listen("tcp", "127.0.0.1:0")    // accepts in the kernel, and reads nothing
		if err != nil {
			t.Fatal(err)
		}
		defer hanging.Close()
		s := startSidecar(t, hanging.Addr().String())
		s.server.SetBodyMemory(0)
		c, sentAt := s.sendWholeUpload(t, overfullBody, deadline)
		resp := c.readResponse(t)
		if took := time.Since(sentAt); took > deadline+late || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %d after %v, where the client waits %v", resp.StatusCode, took, deadline)
		}
	})
}
