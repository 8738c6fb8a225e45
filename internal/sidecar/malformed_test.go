package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestMalformedRequestReachesNoEndpoint(t *testing.T) {
	const (
		host  = " HTTP/1.1\r\nHost: h\r\n"
		id    = "Req-Id: r1\r\n"
		ms    = "Req-Deadline-Ms: 1000\r\n"
		empty = "Content-Length: 0\r\n"
		end   = "\r\n"
	)
	long := strings.Repeat("x", 70000)
	e := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, e.Addr)
	for name, text := range map[string]string{
		"not HTTP":                "\x01\x02 \x03\r\n\r\n",
		"no host":                 "GET /look HTTP/1.1\r\n" + id + ms + end,
		"no id":                   "GET /look" + host + ms + end,
		"an empty id":             "GET /look" + host + "Req-Id:\r\n" + ms + end,
		"two ids":                 "GET /look" + host + id + "Req-Id: r2\r\n" + ms + end,
		"an id too long":          "GET /look" + host + "Req-Id: " + strings.Repeat("x", 999) + end + ms + end,
		"no deadline":             "GET /look" + host + id + end,
		"a deadline not a number": "GET /look" + host + id + "Req-Deadline-Ms: soon\r\n" + end,
		"a deadline of zero":      "GET /look" + host + id + "Req-Deadline-Ms: 0\r\n" + end,
		"a negative deadline":     "GET /look" + host + id + "Req-Deadline-Ms: -5\r\n" + end,
		"a deadline too long":     "GET /look" + host + id + "Req-Deadline-Ms: 99999999999999999999\r\n" + end,
		"a negative length":       "POST /look" + host + id + ms + "Content-Length: -1\r\n" + end,
		"a length not a number":   "POST /look" + host + id + ms + "Content-Length: x\r\n" + end,
		"an over-long body":       "POST /pay" + host + id + ms + "Content-Length: 60000000\r\n" + end + long,
		"a long idempotent body":  "GET /look" + host + id + ms + "Content-Length: 70000\r\n" + end + long,
		"a long chunked body": "GET /look" + host + id + ms + "Transfer-Encoding: chunked\r\n" + end +
			"11170\r\n" + long + "\r\n0\r\n\r\n",
		"a bad chunk":                      "POST /look" + host + id + ms + "Transfer-Encoding: chunked\r\n" + end + "zz\r\n",
		"an over-long head":                "GET /look" + host + id + ms + "X: " + strings.Repeat("x", 64<<10) + end + end,
		"a keyed class with no key":        "POST /book" + host + id + ms + empty + end,
		"another method":                   "DELETE /look" + host + id + ms + end,
		"an idempotent POST":               "POST /look" + host + id + ms + empty + end,
		"an idempotent body":               "GET /look" + host + id + ms + "Content-Length: 2\r\n" + end + "hi",
		"a non-idempotent GET":             "GET /pay" + host + id + ms + end,
		"an unknown class":                 "GET /looks" + host + id + ms + end,
		"no class":                         "GET /" + host + id + ms + end,
		"a path with dot segments":         "GET /look/../pay/x" + host + id + ms + end,
		"a path with encoded dot segments": "GET /look/%2e%2E%2fpay/x" + host + id + ms + end,
		"an encoded class":                 "GET /l%6fok" + host + id + ms + end,
	} {
		conn := s.dial(t)
		go io.WriteString(conn, text)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		} else if resp.StatusCode < 400 || resp.StatusCode > 499 || resp.StatusCode == http.StatusTooManyRequests {
			t.Errorf("%s: status %d, want 4xx other than 429", name, resp.StatusCode)
		}
		conn.Close()
	}
	requireRequests(t, e.Requests.Load(), 0)
	if status := s.get(t, "/look", "r1", 4000); status != http.StatusOK {
		t.Errorf("a valid request afterwards gets status %d, want 200", status)
	}
}

// If Content-Length and Transfer-Encoding disagree, a request that is hidden in the body must not
// be parsed as a request (request smuggling). The sidecar once did that.
func TestSmuggledRequestReachesNoEndpoint(t *testing.T) {
	const (
		smuggled  = "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: hidden\r\nReq-Deadline-Ms: 6000\r\n\r\n"
		fields    = "Host: h\r\nReq-Id: r1\r\nReq-Deadline-Ms: 6000\r\n"
		chunked   = "Transfer-Encoding: chunked\r\n"
		lastChunk = "0\r\n\r\n"
	)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(lastChunk)+len(smuggled))
	e := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, e.Addr)
	for name, text := range map[string]string{
		"length, then chunks": "POST /pay HTTP/1.1\r\n" + fields + length + chunked + "\r\n" + lastChunk + smuggled,
		"chunks, then length": "POST /pay HTTP/1.1\r\n" + fields + chunked + length + "\r\n" + lastChunk + smuggled,
		"chunks over HTTP/1.0": "POST /pay HTTP/1.0\r\n" + fields + "Connection: keep-alive\r\n" + chunked +
			"Content-Length: 3\r\n\r\n" + fmt.Sprintf("%x\r\n", len(smuggled)) + smuggled + "\r\n" + lastChunk,
	} {
		conn := s.dial(t)
		io.WriteString(conn, text)
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		responses, err := io.ReadAll(conn) // until the connection is closed
		n, served := strings.Count(string(responses), "HTTP/1."), strings.Contains(string(responses), "200 OK")
		if err != nil || n != 1 || served {
			t.Errorf("%s: %d responses, error %v, want one rejection: %q", name, n, err, responses)
		}
	}
	requireRequests(t, e.Requests.Load(), 0)
}

// A client that stops sending in the middle of a body must not keep its connection open, whether
// the request is valid or not.
func TestUnfinishedBodyTimesOut(t *testing.T) {
	e := newEndpoint(t, respondWith(okResponse, true))
	s := startSidecar(t, e.Addr)
	s.server.SetBodyGracePeriod(100 * time.Millisecond)
	for name, fields := range map[string]string{"valid": "Req-Id: r1\r\nReq-Deadline-Ms: 60000\r\n", "no id": ""} {
		conn := s.dial(t)
		io.WriteString(conn, "POST /look HTTP/1.1\r\nHost: h\r\n"+fields+"Content-Length: 9\r\n\r\nhalf")
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		text, err := io.ReadAll(conn) // until the connection is closed
		if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 400 ") {
			t.Errorf("%s: response %q, error %v; want status 400", name, text, err)
		}
		conn.Close()
	}
	requireRequests(t, e.Requests.Load(), 0)
}
