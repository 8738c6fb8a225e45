package daemon

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

// A daemon that is stopped answers all accepted requests before it ends.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	e := newGatedEndpoint(t, testpeer.OKResponse)
	s := startDaemon(t, poolBlock("one", e.Addr)+routeBlock("x", "/x", "read", "one", ""))
	var requests sync.WaitGroup
	requests.Go(func() {
		if status := s.request(http.MethodGet, "/x").status; status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	})
	<-e.arrived
	s.stop()
	close(e.release)
	requests.Wait()
	select {
	case err := <-s.runErr:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testpeer.WaitTimeout):
		t.Error("the daemon did not end after its last request was answered")
	}
}

// A connection over the limit is rejected at once with status 503, and counted. The clients that
// hold the places have all begun a request: a silent one would make room.
func TestConnectionsOverTheLimitAreRejectedAtOnce(t *testing.T) {
	const maxConns, active = 16, 6 // the balancer's initial concurrency limit is 6
	e := newGatedEndpoint(t, testpeer.OKResponse)
	head := strings.Replace(configHead, limitsBlock, "limits {\n  connections = 16\n  stop_within = \"1s\"\n}\n", 1)
	s := startDaemonWithConfig(t, head+poolBlock("one", e.Addr)+routeBlock("x", "/x", "read", "one", ""))
	var requests sync.WaitGroup
	for range active {
		requests.Go(func() { s.request(http.MethodGet, "/x") })
		<-e.arrived
	}
	var unfinished []net.Conn // with a request whose body has not been sent
	for range maxConns - active {
		nc, err := net.Dial("tcp", s.Addr("front").String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
		const interim = "HTTP/1.1 100 Continue\r\n\r\n"
		if _, err := io.ReadFull(nc, make([]byte, len(interim))); err != nil {
			t.Fatal(err)
		}
		unfinished = append(unfinished, nc)
	}
	testpeer.WaitUntil(t, "all connections are open", func() bool {
		return s.Summary().Listeners[0].Connections == maxConns
	})
	got := s.request(http.MethodGet, "/x")
	if got.status != http.StatusServiceUnavailable || got.body != "too many connections\n" ||
		got.header.Get("Retry-After") != "1" {
		t.Errorf("response to a connection over the limit: %+v", got)
	}
	for _, nc := range unfinished {
		nc.Close()
	}
	close(e.release)
	requests.Wait()
	if n := s.Summary().Listeners[0].RejectedConnections; n != 1 {
		t.Errorf("%d connections were rejected, want 1", n)
	}
	s.stopAndWait()
}
