package stress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	endpointCount = 4
	pieceSize     = 16 << 10 // bytes that an endpoint or a client writes at once
	// endpointBuffer is the size of an endpoint's socket buffers, small enough that little data
	// waits in the kernel.
	endpointBuffer = 32 << 10
)

var piece = []byte(strings.Repeat("a", pieceSize))

// endpoint is a server whose responses are written by a test. It records which requests it has
// received completely.
type endpoint struct {
	addr string

	mu       sync.Mutex
	received map[string][]time.Time // when requests were received, by id
}

// responder writes the response to a request, and reads its body before. It reports whether the
// connection stays open.
type responder func(conn net.Conn, r *http.Request) (keepConn bool)

// startEndpoints starts endpoints that all respond in the same way, and returns them and their
// addresses.
func startEndpoints(t *testing.T, respond responder) (endpoints []*endpoint, addrs []string) {
	t.Helper()
	return startEndpointsOn(t, respond, func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l
	})
}

// startEndpointsOn is startEndpoints on listeners that listen returns.
func startEndpointsOn(t *testing.T, respond responder, listen func() net.Listener) (es []*endpoint, addrs []string) {
	t.Helper()
	for range endpointCount {
		l := listen()
		e := &endpoint{addr: l.Addr().String(), received: map[string][]time.Time{}}
		go e.accept(l, respond)
		es = append(es, e)
		addrs = append(addrs, e.addr)
	}
	return es, addrs
}

func (e *endpoint) accept(l net.Listener, respond responder) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(endpointBuffer)
		_ = conn.(*net.TCPConn).SetWriteBuffer(endpointBuffer)
		go e.serve(conn, respond)
	}
}

// record records a request that has been received completely.
func (e *endpoint) record(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := r.Header.Get("Req-Id")
	e.received[id] = append(e.received[id], time.Now())
}

// receivedTimes returns when the endpoints have received requests whose id begins with a prefix.
func receivedTimes(endpoints []*endpoint, prefix string) (times []time.Time) {
	for _, e := range endpoints {
		e.mu.Lock()
		for id, received := range e.received {
			if strings.HasPrefix(id, prefix) {
				times = append(times, received...)
			}
		}
		e.mu.Unlock()
	}
	return times
}

func (e *endpoint) serve(conn net.Conn, respond responder) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		hasBody := r.ContentLength != 0
		if !hasBody {
			e.record(r)
		}
		keepConn := respond(conn, r)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if hasBody {
			e.record(r)
		}
		if !keepConn {
			return
		}
	}
}

// respondOK reads the body and writes a short response.
func respondOK(conn net.Conn, r *http.Request) bool {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

// respondAfter is respondOK after a delay.
func respondAfter(delay time.Duration) responder {
	return func(conn net.Conn, r *http.Request) bool {
		time.Sleep(delay)
		return respondOK(conn, r)
	}
}

// respondWithManyFields writes a short response whose head has many short fields.
func respondWithManyFields(conn net.Conn, _ *http.Request) bool {
	time.Sleep(endpointTime)
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+manyFields(maxFields)+"\r\nok")
	return err == nil
}

// respondWithLength returns a responder that writes a response of known length.
func respondWithLength(length int) responder {
	return func(conn net.Conn, _ *http.Request) bool {
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length); err != nil {
			return false
		}
		for left := length; left > 0; left -= pieceSize {
			if _, err := conn.Write(piece[:min(left, pieceSize)]); err != nil {
				return false
			}
		}
		return true
	}
}

// respondInChunks returns a responder that writes a chunked response of the given length.
func respondInChunks(length int) responder {
	return func(conn net.Conn, _ *http.Request) bool {
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
			return false
		}
		for left := length; left > 0; left -= pieceSize {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", pieceSize, piece); err != nil {
				return false
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

// respondUntilClose returns a responder that writes a response of the given length, which ends with
// the connection.
func respondUntilClose(length int) responder {
	return func(conn net.Conn, _ *http.Request) bool {
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"); err != nil {
			return false
		}
		for left := length; left > 0; left -= pieceSize {
			if _, err := conn.Write(piece); err != nil {
				return false
			}
		}
		return false
	}
}
