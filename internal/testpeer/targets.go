package testpeer

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TargetRecorder is an endpoint that records the targets of the requests that it receives.
type TargetRecorder struct {
	*FakeEndpoint

	mu      sync.Mutex
	targets map[string]string // by request id
}

// StartTargetRecorder starts a TargetRecorder, which responds with OKResponse.
func StartTargetRecorder(t *testing.T) *TargetRecorder {
	t.Helper()
	recorder := &TargetRecorder{targets: map[string]string{}}
	respond := RespondWith(OKResponse, KeepConn)
	recorder.FakeEndpoint = StartEndpoint(t, func(conn net.Conn, r *http.Request, n int) bool {
		recorder.mu.Lock()
		recorder.targets[r.Header.Get("Req-Id")] = r.RequestURI
		recorder.mu.Unlock()
		return respond(conn, r, n)
	})
	return recorder
}

// received returns the target with which a request was received.
func (r *TargetRecorder) received(id string) (target string, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target, found = r.targets[id]
	return target, found
}

// RequireTargetsWithEachByte calls RequireTarget with targets made from each format, in which %s is
// replaced by each of the 256 byte values. It returns how many of the requests were served.
func (r *TargetRecorder) RequireTargetsWithEachByte(t *testing.T, addr string, formats ...string) (served int) {
	t.Helper()
	var count atomic.Int32
	var senders sync.WaitGroup
	for i, format := range formats {
		senders.Go(func() {
			for c := range 256 {
				target := fmt.Sprintf(format, string([]byte{byte(c)}))
				if r.RequireTarget(t, addr, target, fmt.Sprintf("byte-%d-%d", c, i)) {
					count.Add(1)
				}
			}
		})
	}
	senders.Wait()
	return int(count.Load())
}

// RequireTarget sends a GET request to addr and fails the test unless the request is served and
// reaches the endpoint with the same target, or is rejected with 4xx and does not reach it. It
// reports whether the request was served.
func (r *TargetRecorder) RequireTarget(t *testing.T, addr, target, id string) (served bool) {
	t.Helper()
	conn, err := Dial(addr)
	if err != nil {
		t.Error(err)
		return false
	}
	defer conn.Close()
	request := Request{Method: http.MethodGet, Path: target, ID: id, Deadline: 5 * time.Second}
	if _, err := conn.Write([]byte(request.Text())); err != nil {
		t.Error(err)
		return false
	}
	resp, err := conn.ReadResponse(WaitTimeout)
	if err != nil {
		t.Errorf("target %q: %v", target, err)
		return false
	}
	received, found := r.received(id)
	switch isRejected := resp.StatusCode >= 400 && resp.StatusCode < 500; {
	case resp.StatusCode == http.StatusOK && received == target:
		return true
	case isRejected && !found:
	default:
		t.Errorf("target %q: status %d, the endpoint received %q", target, resp.StatusCode, received)
	}
	return false
}
