package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rowancart/internal/proxy"
)

// manyFields returns n header fields.
func manyFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "F%d:\r\n", i)
	}
	return b.String()
}

// requireReleased waits until no request has reserved memory.
func (s *testSidecar) requireReleased(t *testing.T) {
	t.Helper()
	waitUntil(t, "all memory is given back", func() bool { return s.memory.Usage().Used == 0 })
}

// Guards against heads that take many times their length in memory.
func TestHeadWithTooManyFieldsIsRejected(t *testing.T) {
	e := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, e.Addr)
	for _, c := range []struct{ fields, status int }{
		{900, http.StatusOK},
		{1000, http.StatusRequestHeaderFieldsTooLarge},
	} {
		text := strings.TrimSuffix(lookRequest, "\r\n") + manyFields(c.fields) + "\r\n"
		resp := s.connectAndSend(t, fmt.Sprint("r", c.fields), text).readResponse(t)
		if resp.StatusCode != c.status {
			t.Errorf("a head with %d fields gets status %d, want %d", c.fields, resp.StatusCode, c.status)
		}
	}
	s.requireReleased(t)
}

// Without memory a long head is rejected in time and can be sent again, and short ones are served.
func TestLongHeadIsRejectedWithoutMemory(t *testing.T) {
	e := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, e.Addr)
	s.memory.SetLimit(0)
	for name, field := range map[string]string{
		"a long field": "X: " + strings.Repeat("x", 8<<10) + "\r\n",
		"many fields":  manyFields(500),
	} {
		start := time.Now()
		c := s.connectAndSend(t, "r-"+name[:4], strings.TrimSuffix(lookRequest, "\r\n")+field+"\r\n")
		resp := c.readResponse(t)
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d, header %v; want 503 with Retry-After", name, resp.StatusCode, resp.Header)
		}
		if elapsed := time.Since(start); elapsed > 3*time.Second {
			t.Errorf("%s: the rejection came after %v, want 3 s at most", name, elapsed)
		}
	}
	if status := s.get(t, "/look", "short", 4000); status != http.StatusOK {
		t.Errorf("a request with a short head gets status %d, want 200", status)
	}
	requireRequests(t, e.Requests.Load(), 1)
}

// A head that waits for memory is served once there is some, and so is the request after it.
func TestLongHeadWaitsForMemory(t *testing.T) {
	e := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, e.Addr)
	limit := s.memory.Usage().Limit
	s.memory.SetLimit(0)
	field := "X: " + strings.Repeat("x", 8<<10) + "\r\n"
	c := s.connectAndSend(t, "long", strings.TrimSuffix(lookRequest, "\r\n")+field+"\r\n"+pipelinedRequest)
	waitUntil(t, "a head waits for memory", func() bool { return s.memory.Usage().Waiting == 1 })
	s.memory.SetLimit(limit)
	c.requireOK(t)
	waitUntil(t, "both requests have arrived", func() bool { return e.Requests.Load() == 2 })
	s.requireReleased(t)
}

// Without memory, bodies are passed on in small pieces, unchanged in both directions.
func TestBodiesAreStreamedWithoutMemory(t *testing.T) {
	for _, size := range []int{5 << 10, proxy.MaxBody, 300 << 10} {
		body := strings.Repeat("0123456789abcdef", size/16)
		for framing, answer := range map[string]string{
			"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body),
			"chunks": chunkedHeader + "\r\n" + chunked(body),
			"close":  "Connection: close\r\n\r\n" + body,
		} {
			received := make(chan int64, 1)
			e := newEndpoint(t, func(conn net.Conn, r *http.Request, _ int) bool {
				received <- r.ContentLength
				_, err := io.WriteString(conn, okStatusLine+answer)
				return err == nil && framing != "close"
			})
			s := startSidecar(t, e.Addr)
			s.memory.SetLimit(0)
			r := s.newRequest(t, http.MethodPost, "/pay", "r1", 4000)
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(size)
			resp := sendRequest(t, r)
			if resp.status != http.StatusOK || resp.body != body {
				t.Errorf("%d bytes, %s: status %d and %d bytes", size, framing, resp.status, len(resp.body))
			} else if n := <-received; n != int64(size) {
				t.Errorf("%d bytes, %s: the endpoint received a body of %d bytes", size, framing, n)
			}
			if refused := s.memory.Usage().Refused; refused == 0 {
				t.Errorf("%d bytes, %s: no reservation was refused", size, framing)
			}
		}
	}
}

// However a request ends, its memory is given back.
func TestMemoryIsGivenBackHoweverARequestEnds(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	e := newEndpoint(t, func(conn net.Conn, r *http.Request, _ int) bool {
		switch r.URL.Path {
		case "/pay/reset":
			return false
		case "/pay/cut":
			io.WriteString(conn, okStatusLine+"Content-Length: 60000\r\n\r\n"+long[:100])
			return false
		case "/pay/hang":
			return hangUntilCanceled(conn, r, 0)
		}
		io.WriteString(conn, okStatusLine+"Content-Length: 102400\r\n\r\n"+long)
		return true
	})
	s := startSidecar(t, e.Addr)
	for i, c := range []struct {
		path string
		sent int
		end  func(c *testClient)
	}{
		{"/pay/ok", len(long), func(c *testClient) { c.readResponse(t) }},
		{"/pay/reset", len(long), func(c *testClient) { c.readResponse(t) }},
		{"/pay/cut", len(long), func(c *testClient) { c.readResponse(t) }},
		{"/pay/ok", 10, func(c *testClient) { c.Close() }},
		{"/pay/ok", 70 << 10, func(c *testClient) { c.reset() }},
		{"/pay/hang", len(long), func(c *testClient) { c.CloseWrite() }},
		{"/pay/hang", len(long), func(c *testClient) { c.reset() }},
		{"/none", len(long), func(c *testClient) { c.readResponse(t) }},
	} {
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: ID\r\n%sContent-Length: %d\r\n%s\r\n",
			c.path, idField, "Req-Deadline-Ms: 1500\r\n", len(long), manyFields(100))
		client := s.connectAndSend(t, fmt.Sprint("r", i), head+long[:c.sent])
		c.end(client)
		client.Close()
	}
	s.requireReleased(t)
}
