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

// Request is an HTTP/1.1 request of a client, with the platform's header fields.
type Request struct {
	Method         string
	Path           string
	ID             string
	Deadline       time.Duration
	IdempotencyKey string // no header field if empty
	Body           string // sent with a Content-Length or in chunks, unless the method is GET
	Chunked        bool   // the body is sent in chunks of chunkSize
}

const chunkSize = 16 << 10 // bytes

// Text returns the request as it is sent on a connection.
func (r Request) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\n", r.Method, r.Path)
	fmt.Fprintf(&b, "%s: %s\r\n", platform.RequestIDHeader, r.ID)
	fmt.Fprintf(&b, "%s: %d\r\n", platform.DeadlineHeader, r.Deadline.Milliseconds())
	if r.IdempotencyKey != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", platform.IdempotencyKeyHeader, r.IdempotencyKey)
	}
	switch {
	case r.Method == http.MethodGet:
		b.WriteString("\r\n")
	case r.Chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		r.writeChunks(&b)
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	}
	return b.String()
}

// writeChunks writes the body in chunks.
func (r Request) writeChunks(b *strings.Builder) {
	for body := r.Body; len(body) > 0; {
		n := min(len(body), chunkSize)
		fmt.Fprintf(b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
}

// ClientConn is a connection of a client. It can carry several requests in sequence.
type ClientConn struct {
	*net.TCPConn
	Responses int // number of responses whose heads were read

	reader *bufio.Reader
}

// Dial opens a connection to a TCP address.
func Dial(addr string) (*ClientConn, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &ClientConn{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}, nil
}

// ReadResponse reads the head of the next response. The whole response must arrive within the
// timeout. Its body must be read before the next call.
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

// ResetOnClose makes Close reset the connection.
func (c *ClientConn) ResetOnClose() { _ = c.SetLinger(0) }
