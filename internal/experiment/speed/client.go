package speed

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"rowancart/internal/platform"
)

// lastResponseTimeout is how long after the end of a measurement the last response may arrive.
const lastResponseTimeout = 10 * time.Second

// clientCounter makes request IDs unique across measurements.
var clientCounter atomic.Int64

// runClient sends requests over one connection, one at a time, until end. The returned sample has
// only the latencies and the number of failed requests.
func runClient(ctx context.Context, addr string, bodySize int, end time.Time, index int) (sample, error) {
	s := sample{latency: newLatencyHistogram()}
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return s, err
	}
	defer nc.Close()
	if err := nc.SetDeadline(end.Add(lastResponseTimeout)); err != nil {
		return s, err
	}
	in := bufio.NewReaderSize(nc, readBufferSize)
	id := fmt.Sprintf("r%d-%d", clientCounter.Add(1), index)
	body := bytes.Repeat([]byte("x"), bodySize)
	for n := 0; ctx.Err() == nil && time.Now().Before(end); n++ {
		head := requestHead(id, n, bodySize)
		start := time.Now()
		if _, err := nc.Write(append(head, body...)); err != nil {
			return s, err
		}
		statusLine, err := skipMessage(in)
		if err != nil {
			return s, err
		}
		if statusLine != "HTTP/1.1 200 OK" {
			s.failed++
			continue
		}
		if err := s.latency.RecordValue(time.Since(start).Microseconds()); err != nil {
			return s, err
		}
	}
	return s, nil
}

// requestHeaderFormat is the format of the header fields of a request. It takes the client's ID and
// the number of the request.
const requestHeaderFormat = "Host: box\r\n" +
	platform.RequestIDHeader + ": %s-%d\r\n" +
	platform.TenantHeader + ": speed\r\n" +
	platform.DeadlineHeader + ": 5000\r\n\r\n"

// requestHead returns the request line and header of a client's nth request.
func requestHead(id string, n, bodySize int) []byte {
	head := fmt.Appendf(nil, "GET /get/%d HTTP/1.1\r\n", n)
	if bodySize > 0 {
		head = fmt.Appendf(nil, "POST /post/%d HTTP/1.1\r\nContent-Length: %d\r\n", n, bodySize)
	}
	return fmt.Appendf(head, requestHeaderFormat, id, n)
}

// skipMessage reads an HTTP message, with its body if it has a Content-Length, and returns its
// first line.
func skipMessage(in *bufio.Reader) (first string, err error) {
	length := 0
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return "", err
		}
		line = bytes.TrimRight(line, "\r\n")
		if first == "" {
			first = string(line)
		}
		if len(line) == 0 {
			break
		}
		if name, value, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(name, []byte("Content-Length")) {
			if length, err = strconv.Atoi(string(bytes.TrimSpace(value))); err != nil {
				return "", err
			}
		}
	}
	_, err = in.Discard(length)
	return first, err
}
