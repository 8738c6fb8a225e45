package stress

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

// Guards against attempts that begin after the client closed, where data stands before the close.
func TestNoAttemptBeginsAfterTheClientOfAnUploadLeft(t *testing.T) {
	const grace = 100 * time.Millisecond
	var mu sync.Mutex
	var begun []time.Time
	_, addrs := startEndpointsOn(t, func(conn net.Conn, r *http.Request) bool {
		mu.Lock()
		begun = append(begun, time.Now())
		mu.Unlock()
		_, _ = io.ReadFull(r.Body, make([]byte, 20<<10))
		time.Sleep(3 * midwayAfter)
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		return false
	}, func() net.Listener { return testpeer.ListenWithEthernetMSS(t) })
	p := start(t, options{program: sidecarProgram, descriptors: minDescriptors, endpoints: addrs})
	conn, err := p.dial()
	if err != nil {
		t.Fatal(err)
	}
	const size = 16 << 20 // more than the buffers on the way hold, so that the close stands behind data
	u := uploadRequest{id: "up", size: size, chunked: true, wait: 2 * stuckWait}
	go func() { _, _ = io.WriteString(conn, u.head()); _ = u.writeBody(conn) }()
	time.Sleep(midwayAfter)
	conn.Close()
	left := time.Now()
	time.Sleep(4 * midwayAfter)
	mu.Lock()
	defer mu.Unlock()
	for _, at := range begun {
		if after := at.Sub(left); after > grace {
			t.Errorf("an attempt began %v after its client left, want %v at most", after, grace)
		}
	}
}
