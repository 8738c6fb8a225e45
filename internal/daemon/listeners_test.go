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

// All accepted requests are answered before the daemon ends.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	e := newGatedEndpoint(t, testpeer.OKResponse)
	s := startDaemon(t, poolBlock("one", e.Addr)+routeBlock("x", "/x", "read", "one", ""))
	var requests sync.WaitGroup
	requests.Go(func() {
		if status := s.request(http.MethodGet, "/x").status; status != http.StatusOK {
			t.Errorf("%d", status)
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
		t.Error("the daemon does not end")
	}
}

// A request that does not end is aborted at the drain timeout.
func TestStopAbortsRequestsThatHang(t *testing.T) {
	arrived := make(chan bool, 10)
	hangs := testpeer.StartEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		arrived <- true
		nc.Read(make([]byte, 1))
		return false
	})
	s := startDaemon(t, poolBlock("one", hangs.Addr)+routeBlock("x", "/x", "read", "one", ""))
	nc, err := net.Dial("tcp", s.Addr("front").String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	<-arrived
	s.stop()
	select {
	case <-s.runErr:
	case <-time.After(testpeer.WaitTimeout):
		t.Error("the daemon does not end while a request hangs")
	}
	if !strings.Contains(s.log.String(), `msg="drain timed out"`) {
		t.Error("the timeout is not logged")
	}
	if n := hangs.Requests.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// Connections over the limit are rejected at once.
func TestConnectionsOverTheLimitAreRejectedAtOnce(t *testing.T) {
	const maxConns, active = 16, 6 // the balancer's concurrency limit begins with 6
	e := newGatedEndpoint(t, testpeer.OKResponse)
	head := strings.Replace(configHead, limitsBlock, "limits {\n  connections = 16\n  stop_within = \"1s\"\n}\n", 1)
	s := startDaemonWithConfig(t, head+poolBlock("one", e.Addr)+routeBlock("x", "/x", "read", "one", ""))
	var requests sync.WaitGroup
	for range active {
		requests.Go(func() { s.request(http.MethodGet, "/x") })
		<-e.arrived
	}
	var silent []net.Conn // without a request
	for range maxConns - active {
		nc, err := net.Dial("tcp", s.Addr("front").String())
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, nc)
	}
	testpeer.WaitUntil(t, "all connections are open", func() bool {
		return s.Summary().Listeners[0].Connections == maxConns
	})
	got := s.request(http.MethodGet, "/x")
	if got.status != http.StatusServiceUnavailable || got.body != "too many connections\n" ||
		got.header.Get("Retry-After") != "1" {
		t.Errorf("%+v", got)
	}
	for _, nc := range silent {
		nc.Close()
	}
	close(e.release)
	requests.Wait()
	if n := s.Summary().Listeners[0].RejectedConnections; n != 1 {
		t.Errorf("%d rejected", n)
	}
	s.stopAndWait()
}
