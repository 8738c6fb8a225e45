package testpeer

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"rowancart/internal/platform"
)

// Request is a client's HTTP/1.1 request with the platform's header fields.
type Request struct {
	Method         string
	Path           string
	ID             string
	Deadline       time.Duration
	IdempotencyKey string // empty: none
	Body           string // sent with its length, unless the method is GET
}

// Text returns the request as it is sent.
func (r Request) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\n", r.Method, r.Path)
	fmt.Fprintf(&b, "%s: %s\r\n", platform.RequestIDHeader, r.ID)
	fmt.Fprintf(&b, "%s: %d\r\n", platform.DeadlineHeader, r.Deadline.Milliseconds())
	if r.IdempotencyKey != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", platform.IdempotencyKeyHeader, r.IdempotencyKey)
	}
	if r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	if r.Method != http.MethodGet {
		b.WriteString(r.Body)
	}
	return b.String()
}

// ClientConn is a client's connection, which may carry several requests.
type ClientConn struct {
	*net.TCPConn
	Responses int // whose heads were read

	reader *bufio.Reader
}

// Dial opens a connection.
func Dial(addr string) (*ClientConn, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &ClientConn{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}, nil
}

// ReadResponse reads the head of the next response, all of which has to arrive within the timeout.
// Its body must be read before the next one.
func (c *ClientConn) ReadResponse(timeout time.Duration) (*http.Response, error) {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	c.Responses++
	return resp, nil
}

// ResetOnClose lets Close reset the connection.
func (c *ClientConn) ResetOnClose() { _ = c.SetLinger(0) }
