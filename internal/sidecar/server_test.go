package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Seen on the same day: where Content-Length and Transfer-Encoding disagree, the request that stood inside the body
// of another was taken for one of its own.
func TestSmuggledRequestReachesNoEndpoint(t *testing.T) {
	e := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, e.Addr)
	const hidden = "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: hidden\r\nReq-Deadline-Ms: 6000\r\n\r\n"
	const fields = "Host: h\r\nReq-Id: r1\r\nReq-Deadline-Ms: 6000\r\n"
	for name, text := range map[string]string{
		"length, then chunks": "POST /pay HTTP/1.1\r\n" + fields + fmt.Sprintf("Content-Length: %d\r\n", 5+len(hidden)) +
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"chunks, then length": "POST /pay HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n" +
			fmt.Sprintf("Content-Length: %d\r\n\r\n0\r\n\r\n", 5+len(hidden)) + hidden,
		"chunks over HTTP/1.0": "POST /pay HTTP/1.0\r\n" + fields + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n" +
			"Content-Length: 3\r\n\r\n" + fmt.Sprintf("%x\r\n", len(hidden)) + hidden + "\r\n0\r\n\r\n",
	} {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, text)
		nc.SetReadDeadline(time.Now().Add(testTimeout))
		answers, err := io.ReadAll(nc) // to the end of the connection
		if n := strings.Count(string(answers), "HTTP/1."); err != nil || n != 1 || strings.Contains(string(answers), "200 OK") {
			t.Errorf("%s: %d answers, %v: %q", name, n, err, answers)
		}
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}

// Seen on the same day: a caller that ended its sending before the answer was told 200, which no endpoint had said.
func TestHalfClosedClientGetsBadGateway(t *testing.T) {
	e := newEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		nc.Read(make([]byte, 1)) // until the attempt is called off
		return false
	})
	s := startSidecar(t, e.Addr)
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if err := s.newRequest(t, http.MethodGet, "/look", "r1", 60000).Write(nc); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the request is passed on", func() bool { return e.Requests.Load() > 0 })
	if err := nc.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	nc.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("answered %v, %v", resp, err)
	}
}

// Seen on the same day: peers sent the ids of clients' requests again once those were answered.
func TestRepeatedIDIsRejectedAfterResponse(t *testing.T) {
	e := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, e.Addr)
	for i, want := range []int{http.StatusOK, http.StatusConflict, http.StatusConflict} {
		if status, _, _ := sendRequest(t, s.newRequest(t, http.MethodGet, "/look?v="+fmt.Sprint(i), "same", 6000)); status != want {
			t.Errorf("time %d: status %d, want %d", i, status, want)
		}
	}
	if n := e.Requests.Load(); n != 1 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}
