package httpserver

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/proxy"
	"rowancart/internal/testpeer"
)

func TestHeadsOfTwoReadingsAreRefused(t *testing.T) {
	const get, host = "GET /a HTTP/1.1\r\n", "Host: h\r\n"
	for name, row := range map[string]struct {
		head string
		want int
	}{
		"good":                   {get + host + "X:  a\tb \r\n\r\n", 0},
		"good, without a host":   {"GET /a HTTP/1.0\r\n\r\n", 0},
		"no host":                {get + "\r\n", 400},
		"two hosts":              {get + host + "host: g\r\n\r\n", 400},
		"a folded line":          {get + host + "X: a\r\n b\r\n\r\n", 400},
		"a space in a name":      {get + host + "X : a\r\n\r\n", 400},
		"no name":                {get + host + ": a\r\n\r\n", 400},
		"no colon":               {get + host + "X\r\n\r\n", 400},
		"a bare CR":              {get + host + "X: a\rY: b\r\n\r\n", 400},
		"a bare LF":              {get + host + "X: a\nY: b\r\n\r\n", 400},
		"a NUL":                  {get + host + "X: \x00\r\n\r\n", 400},
		"two lengths":            {get + host + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", 400},
		"a length and a coding":  {get + host + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		"chunks":                 {get + host + "Transfer-Encoding: Chunked \r\n\r\n", 0},
		"two codings":            {get + host + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"chunks twice":           {get + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 501},
		"another coding":         {get + host + "Transfer-Encoding: xchunked\r\n\r\n", 501},
		"chunks of old":          {"GET /a HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n", 400},
		"another version":        {"GET /a HTTP/2.0\r\n" + host + "\r\n", 505},
		"no version":             {"GET /a\r\n" + host + "\r\n", 505},
		"an empty line at first": {"\r\n\r\n", 505},
	} {
		f := validateHead([]byte(row.head))
		if (f == nil) != (row.want == 0) || f != nil && (f.Status != row.want || !f.Close) {
			t.Errorf("%s: %+v, want %d", name, f, row.want)
		}
	}
	for _, host := range []string{"h", "h:80", "[::1]:80", "a-b.c_d", ""} {
		if f := validateHost(host); f != nil {
			t.Errorf("%q: %+v", host, f)
		}
	}
	for _, host := range []string{"a b", "a/b", "u@h", "a\"b", "ä"} {
		if validateHost(host) == nil {
			t.Errorf("%q passes", host)
		}
	}
}

// trickle gives a text in pieces of one size.
type trickle struct {
	net.Conn
	text io.Reader
	size int
}

func (c *trickle) Read(b []byte) (int, error) { return c.text.Read(b[:min(len(b), c.size)]) }

func (c *trickle) SetReadDeadline(time.Time) error { return nil }

// However a text is cut into pieces, the same heads and bodies are read, one behind the other; and of what is taken,
// net/http's parser sees the same length.
func FuzzFraming(f *testing.F) {
	f.Add("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 3)
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhelloGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 1)
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 7)
	f.Add("GET /a HTTP/1.1\nHost: h\n\n", 100)
	f.Add("GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: +5\r\n\r\nhello", 9)
	f.Fuzz(func(t *testing.T, text string, size int) {
		read := func(size int) (heads, bodies []string) {
			tk := &conn{server: &Server{}, reader: connReader{Conn: &trickle{text: strings.NewReader(text), size: size}}}
			in := &tk.reader
			for {
				head, err := in.readHead()
				if err != nil {
					return heads, bodies
				}
				r, f := parseHead(head)
				if f == nil && validateHead(head) != nil {
					t.Fatalf("%q is read though it is refused", head)
				}
				if f != nil || r.ContentLength < 0 || r.ContentLength > proxy.MaxBody {
					return heads, bodies
				}
				heads = append(heads, string(head))
				body, f := tk.readBody(r)
				if f != nil || body.streamed != nil {
					return heads, bodies
				}
				bodies = append(bodies, string(body.data))
			}
		}
		heads, bodies := read(len(text) + 1)
		again, bodiesAgain := read(max(size%64, 1))
		if strings.Join(heads, "|") != strings.Join(again, "|") || strings.Join(bodies, "|") != strings.Join(bodiesAgain, "|") {
			t.Fatalf("in pieces: %q %q, whole: %q %q", again, bodiesAgain, heads, bodies)
		}
		rest := text
		for i, head := range heads {
			for range maxLeadingEmptyLines {
				rest = strings.TrimPrefix(rest, "\r\n")
			}
			if !strings.HasPrefix(rest, head) {
				t.Fatalf("head %d %q does not begin where the one before it ends", i, head)
			}
			theirs, err := http.ReadRequest(bufio.NewReader(strings.NewReader(rest)))
			if err != nil {
				t.Fatalf("head %d %q: %v", i, head, err)
			}
			rest = rest[len(head):]
			if i < len(bodies) {
				body, err := io.ReadAll(theirs.Body)
				if err != nil || string(body) != bodies[i] {
					t.Fatalf("body %d: %q, to net/http %q, %v", i, bodies[i], body, err)
				}
				rest = rest[len(bodies[i]):]
			}
		}
	})
}

// echo serves with an engine before one endpoint.
type echo struct{ e *proxy.Pool }

func (d echo) Route(*http.Request) (Target, *Rejection) {
	return Target{Pool: d.e, Class: "all", Effect: balancer.Idempotent, DefaultTimeout: patience, AnyMethod: true, DefaultID: "x"}, nil
}

func TestAnswersFitWhatWasAsked(t *testing.T) {
	e := newEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		body := map[string]string{"/none": "204 No Content\r\n\r\n", "/same": "304 Not Modified\r\nETag: \"1\"\r\n\r\n",
			"/big": "200 OK\r\nContent-Length: 9000\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n" + strings.Repeat("x", 9000)}[r.URL.Path]
		if r.Method == http.MethodHead {
			body, _, _ = strings.Cut(body, "\r\n\r\n")
			body += "\r\n\r\n"
		}
		io.WriteString(nc, "HTTP/1.1 "+body)
		return true
	})
	log := slog.New(slog.DiscardHandler)
	n := proxy.New(balancer.Settings{CancelAllowed: true, Classes: []balancer.Class{{Name: "all"}}},
		proxy.EndpointList{Complete: true, Endpoints: []proxy.Endpoint{{ID: "a", Addr: e.Addr}}}, proxy.Options{MaxConns: 9, PassThrough: true, Log: log, Subscribe: func() {}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns, s := NewListener(l, 9), New(echo{n}, "front", "h", log)
	served := make(chan error, 1)
	go func() { served <- s.Serve(conns) }()
	t.Cleanup(func() {
		s.StartDraining()
		conns.Drain(0, time.Time{})
		if err := <-served; !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	in := bufio.NewReader(nc)
	id := 0
	for _, row := range []struct {
		method, path, more string
		status             int
		length             int64
		close              bool
	}{
		{"GET", "/big", "", 200, 9000, false},
		{"HEAD", "/big", "", 200, 9000, false},
		{"GET", "/none", "", 204, 0, false},
		{"GET", "/same", "", 304, 0, false},
		{"POST", "/big", "Expect: 100-continue\r\nContent-Length: 2\r\n", 200, 9000, false},
		{"GET", "/big", "Connection: close\r\n", 200, 9000, true},
	} {
		id++
		io.WriteString(nc, row.method+" "+row.path+" HTTP/1.1\r\nHost: h\r\nReq-Id: r"+string(rune('a'+id))+"\r\n"+row.more+"\r\n")
		if strings.Contains(row.more, "Expect") {
			if line, err := in.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
				t.Fatalf("%q, %v", line, err)
			}
			in.ReadString('\n')
			io.WriteString(nc, "hi")
		}
		resp, err := http.ReadResponse(in, &http.Request{Method: row.method})
		if err != nil {
			t.Fatalf("%s %s: %v", row.method, row.path, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != row.status || resp.ContentLength != row.length || resp.Close != row.close || resp.Header.Get("Date") == "" ||
			row.method != "HEAD" && int64(len(body)) != row.length {
			t.Errorf("%s %s: %d, length %d, %d bytes, close %v, %v", row.method, row.path, resp.StatusCode, resp.ContentLength, len(body), resp.Close, err)
		}
	}
	testpeer.Until(t, "the connection is forgotten", func() bool { open, _ := conns.Counts(); return open == 0 })
}
