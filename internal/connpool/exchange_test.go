package connpool

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/sharedbody"
	"rowancart/internal/testpeer"
)

func TestResponseDeterminesOutcome(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: "
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", 70000)
	declined := platform.RejectedHeader + ": " + platform.RejectedValue + "\r\nContent-Length: 0\r\n\r\n"
	for name, row := range map[string]struct {
		response string
		want     FailureKind
		after    testpeer.AfterResponse
	}{
		"200":                          {okResponse, succeeded, keepConn},
		"200 in chunks":                {chunked + "2\r\nhi\r\n0\r\n\r\n", succeeded, keepConn},
		"200 after interim":            {"HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, succeeded, keepConn},
		"500":                          {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", ErrorStatus, keepConn},
		"503 declined":                 {"HTTP/1.1 503 No\r\n" + declined, Declined, keepConn},
		"504 declined":                 {"HTTP/1.1 504 No\r\n" + declined, Declined, keepConn},
		"503 that may have run":        {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", ErrorStatus, keepConn},
		"500 with the declined header": {"HTTP/1.1 500 No\r\n" + declined, ErrorStatus, keepConn},
		"close without a response":     {"", Reset, closeConn},
		"incomplete head":              {head, Reset, closeConn},
		"incomplete body":              {head + "9\r\n\r\nhi", Reset, closeConn},
		"incomplete chunks":            {chunked + "2\r\nhi\r\n", Reset, closeConn},
		"no length":                    {"HTTP/1.1 200 OK\r\n\r\nhi", succeeded, closeConn},
		"error with a long body":       {"HTTP/1.1 500 No\r\nContent-Length: 70000\r\n\r\n" + long, ErrorStatus, keepConn},
		"length beyond the maximum":    {head + "3000000000\r\n\r\nhi", Reset, keepConn},
		"endless head":                 {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200000), Reset, keepConn},
		"not HTTP":                     {"\x00\x01\r\n\r\n", Reset, keepConn},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEndpoint(t, respondWith(row.response, row.after))
			kind, resp := roundTrip(t, newTestPool(t, e.Addr), attemptWithin(waitTimeout), "a", newRequest("/c"))
			if kind != row.want {
				t.Errorf("outcome %v, want %v", kind, row.want)
			}
			wantBody := ""
			if row.want == succeeded {
				wantBody = "hi"
			}
			if string(resp.Body) != wantBody {
				t.Errorf("body %q, want %q", resp.Body, wantBody)
			}
			if n := e.Requests.Load(); n != 1 {
				t.Errorf("the request was received %d times, want once", n)
			}
		})
	}
}

// A response of unknown length may never end. It is streamed up to the maximum length and then
// fails. A pool that passes responses through has no maximum.
func TestEndlessResponseIsCutOff(t *testing.T) {
	for _, passThrough := range []bool{false, true} {
		t.Run(fmt.Sprintf("pass through %v", passThrough), func(t *testing.T) {
			e := startEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				chunk := []byte("100000\r\n" + strings.Repeat("x", 1<<20) + "\r\n")
				for {
					if _, err := nc.Write(chunk); err != nil {
						return false
					}
				}
			})
			p := newTestPool(t, e.Addr)
			p.passThrough = passThrough
			kind, resp := roundTrip(t, p, attemptWithin(waitTimeout), "a", newRequest("/c"))
			if kind != succeeded || resp.Stream == nil {
				t.Fatalf("outcome %v, %d bytes; want success with a stream", kind, len(resp.Body))
			}
			var ended FailureKind
			resp.Stream.NotifyClose(func(err error) { ended = kindOf(t, err) })
			n, err := io.CopyN(io.Discard, resp.Stream, MaxStreamedBody+1<<20)
			want := errResponseTooLong
			if passThrough {
				want = nil
			}
			if !errors.Is(err, want) {
				t.Errorf("error after %d bytes: %v, want %v", n, err, want)
			}
			if resp.Stream.Close(); !passThrough && (n > MaxStreamedBody || ended != Reset) {
				t.Errorf("%d bytes were passed on before the stream ended with %v, want reset at the maximum", n, ended)
			}
		})
	}
}

// A request whose last byte was not written can't have run, so a reset while it is written is a
// ConnectFailed.
func TestResetWhileWritingIsConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		nc, err := l.Accept()
		if err == nil {
			io.ReadFull(nc, make([]byte, 10))
			nc.Close() // resets the connection, because bytes are unread
		}
	}()
	req := newRequest("/c")
	req.Method = http.MethodPost
	req.Body = sharedbody.New(make([]byte, 64<<20), nil) // more than socket buffers hold
	if r, _ := roundTrip(t, newTestPool(t, l.Addr().String()), attemptWithin(waitTimeout), "a", req); r != ConnectFailed {
		t.Errorf("outcome %v, want connect failed", r)
	}
}

// If an attempt times out or is canceled, its connection must be closed before RoundTrip returns.
// Otherwise, the next attempt would be in flight at the same time.
func TestTimeoutAndCancelCloseTheConn(t *testing.T) {
	for _, want := range []FailureKind{TimedOut, Canceled} {
		t.Run(want.String(), func(t *testing.T) {
			received, closed := make(chan bool, 1), make(chan error, 1)
			e := startEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
				received <- true
				_, err := nc.Read(make([]byte, 1))
				closed <- err
				return false
			})
			p := newTestPool(t, e.Addr)
			a := attemptWithin(waitTimeout)
			if want == TimedOut {
				a = attemptWithin(300 * time.Millisecond)
			} else {
				go func() { <-received; a.Cancel() }()
			}
			if kind, _ := roundTrip(t, p, a, "a", newRequest("/c")); kind != want {
				t.Errorf("outcome %v, want %v", kind, want)
			}
			if p.openConns != 0 {
				t.Error("the connection is still open")
			}
			if err := <-closed; err == nil {
				t.Error("the endpoint read more data instead of the end of the connection")
			}
		})
	}
}

// If a reused connection breaks after a request was written, the request may have run, so it must
// not be resent. net/http's Transport would resend such requests by itself.
func TestRequestOnBrokenReusedConnIsNotResent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			e := startEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
				if n > 1 {
					return false
				}
				io.WriteString(nc, okResponse)
				return true
			})
			p := newTestPool(t, e.Addr)
			req := newRequest("/c")
			req.Method = method
			req.Header.Set(platform.IdempotencyKeyHeader, "k")
			if kind, _ := roundTrip(t, p, attemptWithin(waitTimeout), "a", req); kind != succeeded {
				t.Fatalf("first request: outcome %v", kind)
			}
			if kind, _ := roundTrip(t, p, attemptWithin(waitTimeout), "a", req); kind != Reset {
				t.Errorf("request on a broken connection: outcome %v, want reset", kind)
			}
			if n, c := e.Requests.Load(), e.Connections.Load(); n != 2 || c != 1 {
				t.Errorf("%d requests were received on %d connections, want 2 on 1", n, c)
			}
		})
	}
}

// CancelUnlessWritten must not cancel an attempt whose request has been written completely.
func TestWrittenRequestIsNotCanceled(t *testing.T) {
	received, release := make(chan bool), make(chan bool)
	e := startEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		received <- true
		<-release
		io.WriteString(nc, okResponse)
		return true
	})
	p := newTestPool(t, e.Addr)
	a := attemptWithin(waitTimeout)
	ended := getAsync(t, p, a)
	<-received
	waitUntil(t, "the request is marked as written", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.requestWritten
	})
	a.CancelUnlessWritten()
	close(release)
	if kind := <-ended; kind != succeeded {
		t.Errorf("outcome %v, want success", kind)
	}
}
