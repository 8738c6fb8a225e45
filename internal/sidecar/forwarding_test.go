package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rowancart/internal/platform"
)

// hangUntilCanceled does not respond, and closes its connection once the attempt is canceled.
func hangUntilCanceled(conn net.Conn, _ *http.Request, _ int) (keepOpen bool) {
	conn.Read(make([]byte, 1))
	return false
}

// requireRequests checks the number of requests that an endpoint has received.
func requireRequests(t *testing.T, received, want int32) {
	t.Helper()
	if received != want {
		t.Errorf("%d requests reached the endpoint, want %d", received, want)
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	received, body := make(chan *http.Request, 1), make(chan string, 1)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		body <- string(text)
		received <- r
		io.WriteString(w, "done")
	}))
	defer e.Close()
	s := startSidecar(t, e.Listener.Addr().String())
	r := s.newRequest(t, http.MethodPost, "/book/a%2Fb?x=1&y=%20", "id-1", 4000)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader("parcel")), 6
	if resp := sendRequest(t, r); resp.status != http.StatusOK || resp.body != "done" {
		t.Errorf("status %d, body %q; want the endpoint's response", resp.status, resp.body)
	}
	in := <-received
	if b := <-body; in.Method != http.MethodPost || in.RequestURI != "/book/a%2Fb?x=1&y=%20" || b != "parcel" ||
		in.Header.Get(platform.RequestIDHeader) != "id-1" || in.Header.Get(platform.IdempotencyKeyHeader) != "key-id-1" {
		t.Errorf("the endpoint received %s %s %v, body %q", in.Method, in.RequestURI, in.Header, b)
	}
	var leftMs int
	if _, err := fmt.Sscan(in.Header.Get(platform.DeadlineHeader), &leftMs); err != nil || leftMs < 1 || leftMs >= 4000 {
		t.Errorf("the attempt's deadline is %d ms, want at least 1 and less than 4000: %v", leftMs, err)
	}
}

// A non-idempotent request that may have run must not be sent again: it fails with status 502. One
// that can't have run is rejected with status 503 and Retry-After if no other endpoint is left.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	e := newEndpoint(t, respondWith("", false))
	s := startSidecar(t, e.Addr, e.Addr, e.Addr)
	status := sendRequest(t, s.newRequest(t, http.MethodPost, "/pay", "r1", 4000)).status
	if status != http.StatusBadGateway {
		t.Errorf("a request that may have run gets status %d, want 502", status)
	}
	requireRequests(t, e.Requests.Load(), 1)
	closed := newEndpoint(t, respondWith("", false))
	closed.Listener.Close()
	s = startSidecar(t, closed.Addr)
	resp := sendRequest(t, s.newRequest(t, http.MethodPost, "/pay", "r2", 4000))
	if resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "" {
		t.Errorf("a request that never ran gets status %d, header %v; want 503 with Retry-After", resp.status, resp.header)
	}
}

func TestSilentEndpointYieldsBadGatewayAtDeadline(t *testing.T) {
	e := newEndpoint(t, hangUntilCanceled)
	s := startSidecar(t, e.Addr)
	status := sendRequest(t, s.newRequest(t, http.MethodPost, "/pay", "r1", 300)).status
	if status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", status)
	}
}

func TestClientDisconnectCancelsAttempt(t *testing.T) {
	received, canceled := make(chan bool), make(chan bool)
	e := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		received <- true
		<-r.Context().Done()
		canceled <- true
	}))
	defer e.Close()
	s := startSidecar(t, e.Listener.Addr().String())
	ctx, disconnect := context.WithCancel(context.Background())
	go func() {
		<-received
		disconnect()
	}()
	r := s.newRequest(t, http.MethodGet, "/look", "r1", 60000).WithContext(ctx)
	if _, err := http.DefaultClient.Do(r); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
	select {
	case <-canceled:
	case <-time.After(testTimeout):
		t.Error("the endpoint's request was not canceled")
	}
}

// A client that closes its sending side before the response arrives gets status 502. The sidecar
// once answered 200 in this case, although no endpoint had sent that.
func TestHalfClosedClientGetsBadGateway(t *testing.T) {
	e := newEndpoint(t, hangUntilCanceled)
	s := startSidecar(t, e.Addr)
	conn := s.dial(t)
	if err := s.newRequest(t, http.MethodGet, "/look", "r1", 60000).Write(conn); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the request is forwarded", func() bool { return e.Requests.Load() > 0 })
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("response %v, error %v; want status 502", resp, err)
	}
}

func TestDuplicateInFlightIDIsRejected(t *testing.T) {
	received, release := make(chan bool, 2), make(chan bool)
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		received <- true
		<-release
		io.WriteString(conn, okResponse)
		return true
	})
	s := startSidecar(t, e.Addr)
	first := make(chan int)
	go func() { first <- s.get(t, "/look", "same", 60000) }()
	<-received
	if status := s.get(t, "/look", "same", 60000); status != http.StatusConflict {
		t.Errorf("the second request gets status %d, want 409", status)
	}
	close(release)
	if status := <-first; status != http.StatusOK {
		t.Errorf("the first request gets status %d, want 200", status)
	}
	requireRequests(t, e.Requests.Load(), 1)
}

// A request whose id was used before is rejected, even after the first request has been answered:
// clients have been observed to reuse ids.
func TestRepeatedIDIsRejectedAfterResponse(t *testing.T) {
	e := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, e.Addr)
	for i, want := range []int{http.StatusOK, http.StatusConflict, http.StatusConflict} {
		if status := s.get(t, "/look?v="+fmt.Sprint(i), "same", 6000); status != want {
			t.Errorf("request %d: status %d, want %d", i, status, want)
		}
	}
	requireRequests(t, e.Requests.Load(), 1)
}

func TestDrainingAndRemovedEndpointsGetNoNewRequests(t *testing.T) {
	a, b := newEndpoint(t, respondWith(okResponse, true)), newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, a.Addr, b.Addr)
	sent := 0
	sendEight := func() (toA, toB int32) {
		for range 8 {
			sent++
			if status := s.get(t, "/look", fmt.Sprint("r", sent), 60000); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		}
		return a.Requests.Swap(0), b.Requests.Swap(0)
	}
	if toA, toB := sendEight(); toA == 0 || toB == 0 {
		t.Errorf("with both ready, a got %d requests and b got %d", toA, toB)
	}
	s.updateEndpoints(t, changes(2, listed("a", a.Addr, platform.StateDraining)))
	if toA, toB := sendEight(); toA != 0 || toB != 8 {
		t.Errorf("with a draining, a got %d requests and b got %d, want 0 and 8", toA, toB)
	}
	s.updateEndpoints(t, completeList(3, listed("b", a.Addr, platform.StateReady))) // a is removed, and b has its address
	if toA, toB := sendEight(); toA != 8 || toB != 0 {
		t.Errorf("after b moved, its new address got %d requests and the old one %d, want 8 and 0", toA, toB)
	}
}

// When the connection limit is reached, idle connections of clients are closed, so that new clients
// can connect. No request may be lost.
func TestIdleClientConnectionsAreClosedAtTheLimit(t *testing.T) {
	e := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecarWithLimits(t, platform.ConfigLimits{Sockets: 64}, e.Addr)
	for i := range 100 { // far over the limit
		resp := sendKeepingConn(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint("r", i), 60000)).resp
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("client %d: status %d", i, resp.StatusCode)
		}
	}
}
