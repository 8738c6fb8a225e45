package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// client is one connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// answer is what a client got for a request.
type answer struct {
	status int // 0: none
	body   string
	last   bool // the connection carries no further request
	err    error
	at     time.Time
}

// dialClient opens a connection.
func dialClient(addr string) (*client, error) {
	nc, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: nc, reader: bufio.NewReader(nc)}, nil
}

// close closes the connection.
func (c *client) close() { c.conn.Close() }

// exchange sends a request and reads its answer until the given time.
func (c *client) exchange(text string, until time.Time) answer {
	if _, err := io.WriteString(c.conn, text); err != nil {
		return answer{err: err, last: true, at: time.Now()}
	}
	return c.read(until)
}

// read reads one answer until the given time.
func (c *client) read(until time.Time) answer {
	_ = c.conn.SetReadDeadline(until)
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err, last: true, at: time.Now()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(body), resp.Close || err != nil, err, time.Now()}
}

var serial atomic.Int64

// newID returns a request id that has not been used.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixMilli()&0xffffffff, serial.Add(1)) }

// requestText returns a request of a class in the form of the protocol page.
func requestText(method, class, id string, deadline time.Duration, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Owner: erie-county\r\n", method, class, id)
	fmt.Fprintf(&b, "Req-Deadline-Ms: %d\r\n", deadline.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	return b.String() + "\r\n" + body
}

// endpoint is a stand-in for an endpoint. It calls serve for each request that has come whole.
type endpoint struct {
	id       string
	listener net.Listener
	serve    func(e *endpoint, q arrival, nc net.Conn) (keep bool)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// arrival is a request whose last byte has come.
type arrival struct {
	id     string
	target string // as it came
	length int
	at     time.Time
}

// startEndpoint starts an endpoint on a free port.
func startEndpoint(id string, serve func(*endpoint, arrival, net.Conn) bool) (*endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, listener: l, serve: serve, conns: map[net.Conn]bool{}}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go e.handle(nc)
		}
	}()
	return e, nil
}

// addr returns the address of the endpoint.
func (e *endpoint) addr() string { return e.listener.Addr().String() }

// handle serves one connection.
func (e *endpoint) handle(nc net.Conn) {
	e.mu.Lock()
	e.conns[nc] = true
	e.mu.Unlock()
	defer func() {
		nc.Close()
		e.mu.Lock()
		delete(e.conns, nc)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(nc)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, q.Body)
		if err != nil {
			return
		}
		a := arrival{q.Header.Get("Req-Id"), q.RequestURI, int(n), time.Now()}
		if !e.serve(e, a, nc) {
			return
		}
	}
}

// okAnswer returns the text of an answer 200.
func okAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
