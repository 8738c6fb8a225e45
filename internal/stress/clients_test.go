package stress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rowancart/internal/testpeer"
)

const (
	endpointTime   = 20 * time.Millisecond
	politeClients  = 8
	politeInterval = 100 * time.Millisecond // between two requests of a polite client
	politeDeadline = time.Second
	deadlineSlack  = 50 * time.Millisecond // of each time limit of the operators' pages
)

// results are the responses that polite clients got.
type results struct {
	mu        sync.Mutex
	statuses  map[int]int // 0: none in time
	latencies []time.Duration
}

func (r *results) add(status int, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.statuses == nil {
		r.statuses = map[int]int{}
	}
	r.statuses[status]++
	r.latencies = append(r.latencies, latency)
}

// summary returns the statuses and some percentiles of the latency.
func (r *results) summary() string {
	slices.Sort(r.latencies)
	at := func(share float64) time.Duration {
		return r.latencies[int(share*float64(len(r.latencies)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("statuses %v, latency p50 %v, p99 %v, longest %v", r.statuses, at(0.5), at(0.99), at(1))
}

// politeSerial numbers the requests of polite clients.
var politeSerial atomic.Int64

// bePolite lets clients send one request at a time until the end, each on a connection that it
// keeps.
func (p *process) bePolite(end time.Time) *results {
	r := &results{}
	var group sync.WaitGroup
	for range politeClients {
		group.Go(func() {
			client := politeClient{addr: p.addr}
			defer client.close()
			for time.Now().Before(end) {
				start := time.Now()
				r.add(client.request(), time.Since(start))
				time.Sleep(politeInterval)
			}
		})
	}
	group.Wait()
	return r
}

// politeClient sends one request after the other, and one that crosses the close of its connection
// once more, as the operators' pages say.
type politeClient struct {
	addr   string
	conn   *testpeer.ClientConn
	isKept bool // conn has carried a request
}

func (c *politeClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends a request and returns the status of its response, or 0 if there was none in time.
func (c *politeClient) request() (status int) {
	id := fmt.Sprint("polite-", politeSerial.Add(1))
	text := strings.Replace(headText("GET", "/look/a", id), "6000", fmt.Sprint(politeDeadline.Milliseconds()), 1) + "\r\n"
	start := time.Now()
	for {
		if c.conn == nil {
			conn, err := testpeer.Dial(c.addr)
			if err != nil {
				return 0
			}
			c.conn, c.isKept = conn, false
		}
		wasKept := c.isKept
		_, _ = io.WriteString(c.conn, text)
		resp, err := c.conn.ReadResponse(time.Until(start.Add(politeDeadline + deadlineSlack)))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		c.isKept = true
		if err == nil {
			if resp.Close {
				c.close()
			}
			return resp.StatusCode
		}
		c.close()
		if !wasKept || time.Since(start) > politeDeadline {
			return 0
		}
	}
}

// exchange sends a request and returns the status of its response, or 0 if there is none.
func exchange(conn net.Conn, text string) (status int) {
	const timeout = 10 * time.Second
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
