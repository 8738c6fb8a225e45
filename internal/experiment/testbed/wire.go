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
	idName       = "Req-Id"
	ownerName    = "Req-Owner"
	deadlineName = "Req-Deadline-Ms"
	retryName    = "Req-Retry"
	declinedName = "Srv-Declined"
	loadName     = "Srv-Load"
)

const maxBody = 64 << 10

// digest sums up all of a request that must reach boxes unchanged.
func digest(method, target, id string, body []byte) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%s %s %s %d ", method, target, id, len(body))
	_, _ = h.Write(body)
	return h.Sum64()
}

// message is a request as a client sends it.
type message struct {
	id       string
	method   string
	target   string
	tenant   string
	patience time.Duration
	retry    bool
	body     []byte
}

func (m *message) digest() uint64 { return digest(m.method, m.target, m.id, m.body) }

func (m *message) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: api.internal\r\n%s: %s\r\n%s: %d\r\n", m.method, m.target, idName, m.id,
		deadlineName, max(m.patience.Milliseconds(), 1))
	if m.tenant != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", ownerName, m.tenant)
	}
	if m.retry {
		fmt.Fprintf(&b, "%s: 1\r\n", retryName)
	}
	if m.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(m.body))
	}
	b.WriteString("\r\n")
	b.Write(m.body)
	return b.Bytes()
}

// reply is what came back.
type reply struct {
	status     int
	retryAfter time.Duration
	body       []byte
	torn       bool // begun and not whole, or not to be read
}

var (
	errNobody = errors.New("nobody takes connections")
	errSilent = errors.New("no answer within the time")
	errClosed = errors.New("closed without an answer")
)

// link is a caller's connection to a sidecar. It carries one request at a time.
type link struct {
	net.Conn
	read *bufio.Reader
	used bool
}

// links are one caller's connections to one sidecar.
type links struct {
	addr string

	mu   sync.Mutex
	idle []*link
	all  map[*link]bool
}

// dialTimeout is for connections to programs on this machine.
const dialTimeout = 2 * time.Second

func (l *links) take(fresh bool) (*link, error) {
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
		return nil, errNobody
	}
	c := &link{Conn: nc, read: bufio.NewReader(nc)}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all == nil {
		l.all = map[*link]bool{}
	}
	l.all[c] = true
	return c, nil
}

func (l *links) put(c *link) {
	c.used = true
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = append(l.idle, c)
}

func (l *links) drop(c *link) {
	c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.all, c)
}

// close closes all connections, also those in use.
func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.all {
		c.Close()
	}
	l.all, l.idle = nil, nil
}

// exchange sends a request on one connection and reads its answer until the deadline. reusable says that the connection
// may carry another.
func (c *link) exchange(text []byte, method string, deadline time.Time) (r reply, reusable bool, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return r, false, errClosed
	}
	if _, err := c.Write(text); err != nil {
		return r, false, errClosed
	}
	if _, err := c.read.Peek(1); err != nil {
		if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
			return r, false, errSilent
		}
		return r, false, errClosed
	}
	resp, err := http.ReadResponse(c.read, &http.Request{Method: method})
	if err != nil {
		return reply{torn: true}, false, nil
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.retryAfter = time.Duration(s * float64(time.Second))
	}
	if r.body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody+1)); err != nil {
		r.torn = true
		return r, false, nil
	}
	return r, !resp.Close, nil
}
