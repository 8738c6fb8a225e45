package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["3"] = idlePeers }

// The load of case 3.
const (
	case3Endpoints = 10
	case3Work      = 20 * time.Millisecond
	case3Clients   = 8
	case3Pause     = 140 * time.Millisecond
	case3Seconds   = 9
	case3PeersAt   = 2 * time.Second
	case3Peers     = 120
	case3Sockets   = 256

	case3Deadline = time.Second
	lateSlack     = 500 * time.Millisecond // after its deadline, an answer only earns nothing
)

// case3Counts counts how the clients' requests ended.
type case3Counts struct {
	mu                                  sync.Mutex
	served, refused, failed, shut, lost int
}

// add counts one end.
func (c *case3Counts) add(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

// idlePeers: peers fill the sidecar's descriptors with connections on which they send nothing. Each
// request that was written whole must have its final answer half a second after its deadline at the
// latest. A connection that is shut with the request unread is excused.
func idlePeers(e *environment) (string, error) {
	var addrs []string
	for i := range case3Endpoints {
		s := &echoEndpoint{env: e, name: fmt.Sprintf("endpoint %d", i), work: case3Work}
		addr, err := s.listen()
		if err != nil {
			return "", err
		}
		addrs = append(addrs, addr)
	}
	d, err := startDiscovery(addrs...)
	if err != nil {
		return "", err
	}
	shortDeadlines := strings.NewReplacer(
		`"HardLimitUs":6000000`, fmt.Sprintf(`"HardLimitUs":%d`, case3Deadline.Microseconds()),
		`"OnTimeUs":2500000`, fmt.Sprintf(`"OnTimeUs":%d`, (2*case3Deadline/5).Microseconds()),
	).Replace(settings)
	addr, _, err := e.startSidecar(d, shortDeadlines, sidecarLimits{Cores: 1, MemoryMB: 64, Sockets: case3Sockets})
	if err != nil {
		return "", err
	}
	var counts case3Counts
	var clients sync.WaitGroup
	start := time.Now()
	for i := range case3Clients {
		clients.Go(func() {
			c := &case3Client{env: e, addr: addr, counts: &counts, name: fmt.Sprintf("client%d", i)}
			time.Sleep(time.Duration(i) * case3Pause / case3Clients)
			for n := 0; time.Since(start) < case3Seconds*time.Second; n++ {
				c.request(n)
				time.Sleep(case3Pause)
			}
		})
	}
	if e.trouble {
		time.Sleep(case3PeersAt)
		for range case3Peers {
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				return "", err
			}
			clients.Go(func() {
				defer nc.Close()
				_, _ = io.Copy(io.Discard, nc) // until the sidecar closes it
			})
		}
		e.logf("%d peers have connected and send nothing", case3Peers)
	}
	clients.Wait()
	e.logf("served %d, refused %d, failed %d, shut unread %d, no final answer half a second after the deadline %d",
		counts.served, counts.refused, counts.failed, counts.shut, counts.lost)
	if counts.served < 100 {
		return "", fmt.Errorf("only %d requests were served", counts.served)
	}
	if counts.lost > 0 {
		return fmt.Sprintf("%d requests had no final answer half a second after their deadline", counts.lost), nil
	}
	return "", nil
}

// case3Client is a client that keeps its connection.
type case3Client struct {
	env    *environment
	addr   string
	counts *case3Counts
	name   string
	nc     net.Conn // nil: none is open
	reader *bufio.Reader
}

// errShut says that a connection ended before anything of an answer came.
var errShut = errors.New("the connection was closed with no answer")

// request sends one request. If its kept connection has been closed, it sends it once more on a new
// one.
func (c *case3Client) request(n int) {
	id := fmt.Sprintf("%s-%03d", c.name, n)
	text := "GET /form-lookup/household HTTP/1.1\r\n"
	if n%3 == 0 {
		text = "POST /return-submit/household HTTP/1.1\r\nContent-Length: 6\r\n"
	}
	text += "Host: api.internal\r\nReq-Id: " + id + "\r\nReq-Owner: erie-county\r\n" +
		fmt.Sprintf("Req-Deadline-Ms: %d\r\n\r\n", case3Deadline.Milliseconds())
	if n%3 == 0 {
		text += "return"
	}
	sentAt := time.Now()
	isKept := c.nc != nil
	status, err := c.exchange(text)
	if isKept && errors.Is(err, errShut) {
		c.env.logf("%s: its kept connection is closed: sent again on a new one", id)
		sentAt = time.Now()
		status, err = c.exchange(text)
	}
	after := time.Since(sentAt).Round(time.Millisecond)
	switch {
	case errors.Is(err, errShut):
		c.counts.add(&c.counts.shut)
		c.env.logf("%s: shut unread after %v", id, after)
	case err != nil || after > case3Deadline+lateSlack:
		c.counts.add(&c.counts.lost)
		c.env.logf("%s: LOST: no final answer after %v", id, after)
	case status == http.StatusOK:
		c.counts.add(&c.counts.served)
		c.env.logf("%s: served after %v", id, after)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		c.counts.add(&c.counts.refused)
		c.env.logf("%s: refused after %v", id, after)
	default:
		c.counts.add(&c.counts.failed)
		c.env.logf("%s: failed with %d after %v", id, status, after)
	}
}

// exchange writes a request and reads its answer. It waits until half a second after the deadline.
func (c *case3Client) exchange(text string) (status int, err error) {
	defer func() {
		if err != nil && c.nc != nil {
			c.nc.Close()
			c.nc = nil
		}
	}()
	if c.nc == nil {
		if c.nc, err = net.Dial("tcp", c.addr); err != nil {
			return 0, errShut
		}
		c.reader = bufio.NewReader(c.nc)
	}
	_ = c.nc.SetDeadline(time.Now().Add(case3Deadline + lateSlack))
	if _, err := io.WriteString(c.nc, text); err != nil {
		return 0, errShut
	}
	if _, err := c.reader.Peek(1); err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return 0, err
		}
		return 0, errShut
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.Close {
		c.nc.Close()
		c.nc = nil
	}
	return resp.StatusCode, nil
}
