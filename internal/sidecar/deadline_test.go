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

	"rowancart/internal/connpool"
)

// toldDeadline is what an endpoint was told of how long a client waits, and when.
type toldDeadline struct {
	id   string
	wait time.Duration
	at   time.Time
}

// startTellingEndpoint returns an endpoint that sends what each request tells it, and holds requests
// whose id begins with "hang" for hold.
func startTellingEndpoint(t *testing.T, hold time.Duration) (addr string, told <-chan toldDeadline) {
	t.Helper()
	requests := make(chan toldDeadline, 10)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request, _ int) bool {
		ms, err := strconv.Atoi(r.Header.Get(connpool.DeadlineHeader))
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
