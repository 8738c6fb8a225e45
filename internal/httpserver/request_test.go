package httpserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/proxy"
)

func TestAmbiguousHeadsAreRejected(t *testing.T) {
	const get, host = "GET /a HTTP/1.1\r\n", "Host: h\r\n"
	for name, row := range map[string]struct {
		head string
		want int // status; 0: it is not rejected
	}{
		"good":                  {get + host + "X:  a\tb \r\n\r\n", 0},
		"good, without a host":  {"GET /a HTTP/1.0\r\n\r\n", 0},
		"no host":               {get + "\r\n", 400},
		"two hosts":             {get + host + "host: g\r\n\r\n", 400},
		"a folded line":         {get + host + "X: a\r\n b\r\n\r\n", 400},
		"a space in a name":     {get + host + "X : a\r\n\r\n", 400},
		"no name":               {get + host + ": a\r\n\r\n", 400},
		"no colon":              {get + host + "X\r\n\r\n", 400},
		"a bare CR":             {get + host + "X: a\rY: b\r\n\r\n", 400},
		"a bare LF":             {get + host + "X: a\nY: b\r\n\r\n", 400},
		"a NUL":                 {get + host + "X: \x00\r\n\r\n", 400},
		"two lengths":           {get + host + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", 400},
		"a length and a coding": {get + host + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"chunks":                {get + host + "Transfer-Encoding: Chunked \r\n\r\n", 0},
		"two codings":           {get + host + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"chunks twice":          {get + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 501},
		"another coding":        {get + host + "Transfer-Encoding: xchunked\r\n\r\n", 501},
		"chunks in HTTP/1.0":    {"GET /a HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n", 400},
		"another version":       {"GET /a HTTP/2.0\r\n" + host + "\r\n", 505},
		"no version":            {"GET /a\r\n" + host + "\r\n", 505},
		"an empty first line":   {"\r\n\r\n", 505},
	} {
		rejection := validateHead([]byte(row.head))
		if (rejection == nil) != (row.want == 0) || rejection != nil && (rejection.Status != row.want || !rejection.Close) {
			t.Errorf("%s: %+v, want %d", name, rejection, row.want)
		}
	}
}

// The class of a request determines which methods and bodies are allowed, unless the router has
// checked them.
func TestMethodFitsClass(t *testing.T) {
	empty, data, streamed := receivedBody{}, receivedBody{data: []byte("x")}, receivedBody{streamed: &streamedBody{}}
	for _, row := range []struct {
		name   string
		target Target
		method string
		body   receivedBody
		want   error
	}{
		{"GET of an idempotent class", Target{Idempotency: balancer.Idempotent}, http.MethodGet, empty, nil},
		{"GET with a body", Target{Idempotency: balancer.Idempotent}, http.MethodGet, data, errNotBodilessGet},
		{"GET with a long body", Target{Idempotency: balancer.Idempotent}, http.MethodGet, streamed, errNotBodilessGet},
		{"POST of an idempotent class", Target{Idempotency: balancer.Idempotent}, http.MethodPost, empty, errNotBodilessGet},
		{"POST of a keyed class", Target{Idempotency: balancer.IdempotencyKeyed}, http.MethodPost, data, nil},
		{"GET of a keyed class", Target{Idempotency: balancer.IdempotencyKeyed}, http.MethodGet, empty, errNotPost},
		{"GET of a non-idempotent class", Target{Idempotency: balancer.NonIdempotent}, http.MethodGet, empty, errNotPost},
		{"any method", Target{Idempotency: balancer.Idempotent, AnyMethod: true}, http.MethodPut, data, nil},
	} {
		if err := row.target.checkMethod(row.method, row.body); !errors.Is(err, row.want) {
			t.Errorf("%s: %v, want %v", row.name, err, row.want)
		}
	}
}

func TestHostIsValidated(t *testing.T) {
	for _, host := range []string{"h", "h:80", "[::1]:80", "a-b.c_d", ""} {
		if rejection := validateHost(host); rejection != nil {
			t.Errorf("%q: %+v", host, rejection)
		}
	}
	for _, host := range []string{"a b", "a/b", "u@h", "a\"b", "ä"} {
		if validateHost(host) == nil {
			t.Errorf("%q is accepted", host)
		}
	}
}

// piecewiseConn is a connection on which a text arrives in pieces of size bytes.
type piecewiseConn struct {
	net.Conn
	text io.Reader
	size int
}

func (c *piecewiseConn) Read(b []byte) (int, error) { return c.text.Read(b[:min(len(b), c.size)]) }

func (c *piecewiseConn) SetReadDeadline(time.Time) error { return nil }

// readRequests reads requests from a text that arrives in pieces of size bytes, until one is
// rejected or incomplete. It returns their heads and bodies. There may be no body for the last
// head.
func readRequests(t *testing.T, text string, size int) (heads, bodies []string) {
	t.Helper()
	c := &conn{server: &Server{}, reader: connReader{Conn: &piecewiseConn{text: strings.NewReader(text), size: size}}}
	for {
		head, err := c.reader.readHead()
		if err != nil {
			return heads, bodies
		}
		r, rejection := parseHead(head)
		if rejection == nil && validateHead(head) != nil {
			t.Fatalf("%q is parsed, but validateHead rejects it", head)
		}
		if rejection != nil || r.ContentLength < 0 || r.ContentLength > proxy.MaxBody {
			return heads, bodies
		}
		heads = append(heads, string(head))
		body, rejection := c.readBody(r)
		if rejection != nil || body.streamed != nil {
			return heads, bodies
		}
		bodies = append(bodies, string(body.data))
	}
}

// checkWithNetHTTP checks that net/http reads the same requests from a text.
func checkWithNetHTTP(t *testing.T, text string, heads, bodies []string) {
	t.Helper()
	for i, head := range heads {
		for range maxLeadingEmptyLines {
			text = strings.TrimPrefix(text, "\r\n")
		}
		if !strings.HasPrefix(text, head) {
			t.Fatalf("head %d %q does not begin where the previous request ends", i, head)
		}
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			t.Fatalf("head %d %q: %v", i, head, err)
		}
		text = text[len(head):]
		if i == len(bodies) {
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || string(body) != bodies[i] {
			t.Fatalf("body %d: %q, but net/http reads %q, %v", i, bodies[i], body, err)
		}
		text = text[len(bodies[i]):]
	}
}

// The requests that are read must not depend on the pieces in which a text arrives, and net/http
// must read the same ones.
func FuzzFraming(f *testing.F) {
	f.Add("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 3)
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhelloGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 1)
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 7)
	f.Add("GET /a HTTP/1.1\nHost: h\n\n", 100)
	f.Add("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello", 9)
	f.Fuzz(func(t *testing.T, text string, size int) {
		heads, bodies := readRequests(t, text, len(text)+1)
		headsInPieces, bodiesInPieces := readRequests(t, text, max(size%64, 1))
		if strings.Join(heads, "|") != strings.Join(headsInPieces, "|") ||
			strings.Join(bodies, "|") != strings.Join(bodiesInPieces, "|") {
			t.Fatalf("in pieces: %q %q, at once: %q %q", headsInPieces, bodiesInPieces, heads, bodies)
		}
		checkWithNetHTTP(t, text, heads, bodies)
	})
}
