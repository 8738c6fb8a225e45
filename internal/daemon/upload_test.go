package daemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

const (
	concurrentUploads = 4
	uploadPause       = 400 * time.Millisecond // for which an endpoint does not read, unless a hedged request comes
)

// uploadBody returns the body of an upload, which differs in each line from those of other uploads.
func uploadBody(id string, length int) []byte {
	line := id + strings.Repeat(".", 50) + "\n"
	return bytes.Repeat([]byte(line), length/len(line))
}

// pausingEndpoints are endpoints that compare the uploads that they receive with what the clients
// send. The first endpoint that receives the head of an upload does not read its body until another
// endpoint has received the head too, or uploadPause has passed.
type pausingEndpoints struct {
	length int
	addrs  []string

	mu      sync.Mutex
	hedged  map[string]chan bool // closed when a second head has been received, by request id
	changed []string             // descriptions of the complete requests that no client has sent
}

// startPausingEndpoints starts n endpoints for uploads of the given length. Their segments and
// receive buffers are small, so that the sockets hold little of a body.
func startPausingEndpoints(t *testing.T, n, length int) *pausingEndpoints {
	t.Helper()
	e := &pausingEndpoints{length: length, hedged: map[string]chan bool{}}
	for range n {
		l := testpeer.ListenWithSmallBuffer(t)
		e.addrs = append(e.addrs, l.Addr().String())
		go func() {
			for {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				go e.serve(nc)
			}
		}()
	}
	return e
}

func (e *pausingEndpoints) serve(nc net.Conn) {
	defer nc.Close()
	reader := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(platform.RequestIDHeader)
		e.pause(id)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // an incomplete request does not run
		}
		e.compare(id, body)
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	}
}

// pause blocks the first endpoint that receives the head of an upload.
func (e *pausingEndpoints) pause(id string) {
	e.mu.Lock()
	hedged, isSecond := e.hedged[id]
	if isSecond {
		if hedged != nil {
			close(hedged)
			e.hedged[id] = nil
		}
		e.mu.Unlock()
		return
	}
	hedged = make(chan bool)
	e.hedged[id] = hedged
	e.mu.Unlock()
	select {
	case <-hedged:
	case <-time.After(uploadPause):
	}
}

// compare records a complete request whose body is not the one that its client sends.
func (e *pausingEndpoints) compare(id string, body []byte) {
	want := uploadBody(id, e.length)
	if bytes.Equal(body, want) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changed = append(e.changed, fmt.Sprintf("%s: %d bytes, the client sent %d", id, len(body), len(want)))
}

// hedgingPolicy is the policy of a route whose requests are hedged early.
const hedgingPolicy = `methods = ["POST"]
policy {
  second_copy {
    after = "50ms"
  }
}`

// Long uploads meet endpoints that pause reading, so that hedged requests are due while the first
// attempts write their bodies. Endpoints ran uploads that were cut off and had bytes of other
// clients.
func TestHedgedUploadsArriveUnchanged(t *testing.T) {
	for name, length := range map[string]int{"in memory": 1 << 20, "received while it is forwarded": 6 << 20} {
		t.Run(name, func(t *testing.T) {
			e := startPausingEndpoints(t, 3, length)
			s := startDaemon(t, poolBlock("forms", e.addrs...)+routeBlock("forms", "/forms", "read", "forms", hedgingPolicy))
			var clients sync.WaitGroup
			for i := range concurrentUploads {
				clients.Go(func() {
					id := fmt.Sprintf("upload-%d", i)
					if got := s.upload(id, length); got.status != http.StatusOK {
						t.Errorf("%s: status %d, %s; want 200", id, got.status, got.header.Get("Proxy-Status"))
					}
				})
			}
			clients.Wait()
			e.mu.Lock()
			defer e.mu.Unlock()
			for _, description := range e.changed {
				t.Errorf("an endpoint ran a request that no client sent: %s", description)
			}
		})
	}
}

// upload sends an upload in chunks and returns the response.
func (s *testDaemon) upload(id string, length int) response {
	s.t.Helper()
	chunked := struct{ io.Reader }{bytes.NewReader(uploadBody(id, length))} // hides the length
	r, err := http.NewRequest(http.MethodPost, "http://"+s.Addr("front").String()+"/forms", chunked)
	if err != nil {
		s.t.Error(err)
		return response{}
	}
	r.Header.Set(platform.RequestIDHeader, id)
	r.Header.Set(platform.DeadlineHeader, "20000")
	return s.do(r)
}
