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
)

// Header names of PROTOCOL.
const (
	idHeader       = "Req-Id"
	tenantHeader   = "Req-Owner"
	deadlineHeader = "Req-Deadline-Ms"
	retryHeader    = "Req-Retry"
	rejectedHeader = "Srv-Declined"
	loadHeader     = "Srv-Load"
)

const maxBody = 64 << 10

// digest sums up all of a request that must reach servers unchanged.
func digest(method, target, id string, body []byte) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%s %s %s %d ", method, target, id, len(body))
	_, _ = h.Write(body)
	return h.Sum64()
}

// request is a request as a client sends it.
type request struct {
	id       string
	method   string
	target   string
	tenant   string
	patience time.Duration
	retry    bool
	body     []byte
}

func (m *request) digest() uint64 { return digest(m.method, m.target, m.id, m.body) }

func (m *request) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: api.internal\r\n%s: %s\r\n%s: %d\r\n", m.method, m.target, idHeader, m.id,
		deadlineHeader, max(m.patience.Milliseconds(), 1))
	if m.tenant != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", tenantHeader, m.tenant)
	}
	if m.retry {
		fmt.Fprintf(&b, "%s: 1\r\n", retryHeader)
	}
	if m.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.body))
	}
	b.WriteString("\r\n")
	b.Write(m.body)
	return b.Bytes()
}

// response is what came back.
type response struct {
	status     int
	retryAfter time.Duration
	body       []byte
	truncated  bool // begun and not whole, or not to be read
}

var (
	errConnect = errors.New("nobody takes connections")
	errTimeout = errors.New("no answer within the time")
	errClosed  = errors.New("closed without an answer")
)

// clientConn is a client's connection to a sidecar. It carries one request at a time.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

// connPool are one client's connections to one sidecar.
type connPool struct {
	addr string

	mu   sync.Mutex
	idle []*clientConn
	all  map[*clientConn]bool
}

// dialTimeout is for connections to programs on this machine.
const dialTimeout = 2 * time.Second

func (l *connPool) acquire(fresh bool) (*clientConn, error) {
	l.mu.Lock()
	if n := len(l.idle); n > 0 && !fresh {
		c := l.idle[n-1]
		l.idle = l.idle[:n-1]
		l.mu.Unlock()
		return c, nil
	}
	l.mu.Unlock()
	nc, err := net.DialTimeout("tcp", l.addr, dialTimeout)
	if err != nil {
		return nil, errConnect
	}
	c := &clientConn{Conn: nc, reader: bufio.NewReader(nc)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all == nil {
		l.all = map[*clientConn]bool{}
	}
	l.all[c] = true
	return c, nil
}

func (l *connPool) release(c *clientConn) {
	c.used = true
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = append(l.idle, c)
}

func (l *connPool) closeConn(c *clientConn) {
	c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, c)
}

// close closes all connections, also those in use.
func (l *connPool) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.all {
		c.Close()
	}
	l.all, l.idle = nil, nil
}

// exchange sends a request on one connection and reads its answer until the deadline. reusable says that the connection
// may carry another.
func (c *clientConn) exchange(text []byte, method string, deadline time.Time) (r response, reusable bool, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return r, false, errClosed
	}
	if _, err := c.Write(text); err != nil {
		return r, false, errClosed
	}
	if _, err := c.reader.Peek(1); err != nil {
		if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
			return r, false, errTimeout
		}
		return r, false, errClosed
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return response{truncated: true}, false, nil
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.retryAfter = time.Duration(s * float64(time.Second))
	}
	if r.body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody+1)); err != nil {
		r.truncated = true
		return r, false, nil
	}
	return r, !resp.Close, nil
}
