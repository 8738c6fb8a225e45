package testbed

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rowancart/internal/platform"
)

// maxBody is the largest body of a request or response, in bytes.
const maxBody = 64 << 10

// digest returns a hash of those parts of a request that must reach servers unchanged.
func digest(method, target, id string, body []byte) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%s %s %s %d ", method, target, id, len(body))
	_, _ = h.Write(body)
	return h.Sum64()
}

// request is a request as a client or a server sends it to a sidecar.
type request struct {
	info    requestInfo
	id      string
	method  string
	target  string
	tenant  string
	timeout time.Duration // within which the sidecar must respond; sent in the deadline header
	retry   bool
	body    []byte
}

// digest returns a hash of those parts of the request that must reach servers unchanged.
func (m *request) digest() uint64 { return digest(m.method, m.target, m.id, m.body) }

// bytes returns the request in HTTP/1.1 format.
func (m *request) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: api.internal\r\n", m.method, m.target)
	fmt.Fprintf(&b, "%s: %s\r\n", platform.RequestIDHeader, m.id)
	fmt.Fprintf(&b, "%s: %d\r\n", platform.DeadlineHeader, max(m.timeout.Milliseconds(), 1))
	if m.tenant != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", platform.TenantHeader, m.tenant)
	}
	if m.retry {
		fmt.Fprintf(&b, "%s: %s\r\n", platform.ClientRetryHeader, platform.ClientRetryValue)
	}
	if m.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.body))
	}
	b.WriteString("\r\n")
	b.Write(m.body)
	return b.Bytes()
}

// response is a sidecar's response.
type response struct {
	status     int
	retryAfter time.Duration
	body       []byte
	truncated  bool // incomplete, or not valid HTTP
	reusable   bool // the connection may carry another request
}

// Errors of requests that get no response.
var (
	errConnect = errors.New("connecting to the sidecar failed")
	errTimeout = errors.New("no response before the deadline")
	errClosed  = errors.New("connection closed without a response")
)

// clientConn is a connection of a client or a server to a sidecar. It carries one request at a
// time.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool // a previous request was sent on it
}

// connPool holds the connections to one sidecar. It is safe for concurrent use.
type connPool struct {
	addr string

	mu   sync.Mutex
	idle []*clientConn
	all  map[*clientConn]bool
}

// dialTimeout bounds the time to connect to a program on this machine.
const dialTimeout = 2 * time.Second

// acquire returns an idle connection, or a new one if none is idle. Its only error is errConnect.
func (p *connPool) acquire() (*clientConn, error) {
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	return p.dial()
}

// takeIdle returns the connection that became idle last, or nil if none is idle.
func (p *connPool) takeIdle() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// dial returns a new connection. Its only error is errConnect.
func (p *connPool) dial() (*clientConn, error) {
	nc, err := net.DialTimeout("tcp", p.addr, dialTimeout)
	if err != nil {
		return nil, errConnect
	}
	c := &clientConn{Conn: nc, reader: bufio.NewReader(nc)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all == nil {
		p.all = map[*clientConn]bool{}
	}
	p.all[c] = true
	return c, nil
}

// release returns a connection to the pool as idle.
func (p *connPool) release(c *clientConn) {
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// closeConn closes a connection that is not idle.
func (p *connPool) closeConn(c *clientConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, c)
}

// close closes all connections, also those in use.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.all {
		c.Close()
	}
	p.all = nil
	p.idle = nil
}

// isTimeout reports whether an error means that the deadline of a connection has passed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// exchange sends a request and reads its response, both before the deadline. If no response
// arrives, the error is errTimeout or errClosed.
func (c *clientConn) exchange(m *request, deadline time.Time) (response, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return response{}, errClosed
	}
	if _, err := c.Write(m.bytes()); err != nil {
		return response{}, errClosed
	}
	if _, err := c.reader.Peek(1); err != nil {
		if isTimeout(err) {
			return response{}, errTimeout
		}
		return response{}, errClosed
	}
	head, err := http.ReadResponse(c.reader, &http.Request{Method: m.method})
	if err != nil {
		return response{truncated: true}, nil
	}
	defer head.Body.Close()
	resp := response{status: head.StatusCode}
	if seconds, err := strconv.ParseFloat(head.Header.Get("Retry-After"), 64); err == nil {
		resp.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if resp.body, err = io.ReadAll(io.LimitReader(head.Body, maxBody+1)); err != nil {
		resp.truncated = true
		return resp, nil
	}
	resp.reusable = !head.Close
	return resp, nil
}
