package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// stopWithHung ends a daemon with SIGTERM while its endpoints hang, and checks that each request
// that it has read gets a whole answer before the process ends.
func stopWithHung(r *run) error {
	const (
		endpoints  = 4
		requests   = 12
		deadline   = 6 * time.Second
		stopWithin = "3500ms" // SIGKILL comes 3.7 s after SIGTERM at the earliest
	)
	var hang atomic.Bool
	var mu sync.Mutex
	forwarded := map[string]bool{} // by request id
	serve := func(e *endpoint, q arrival, nc net.Conn) bool {
		r.logf("%s: %s %s has come", e.id, q.target, q.id)
		mu.Lock()
		forwarded[q.id] = true
		mu.Unlock()
		for hang.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		_, err := io.WriteString(nc, okAnswer("answer to "+q.id))
		return err == nil
	}
	var all []*endpoint
	for i := range endpoints {
		e, err := startEndpoint(fmt.Sprintf("s-%d", i), serve)
		if err != nil {
			return err
		}
		all = append(all, e)
	}
	p, addr, err := r.startDaemon("daemon", daemonConfig(stopWithin, staticRoster(all)))
	if err != nil {
		return err
	}
	var kept []*client // each has carried a request before the trouble
	for range requests {
		c, err := dialClient(addr)
		if err != nil {
			return err
		}
		defer c.close()
		a := c.exchange(requestText("GET", "form-lookup", newID(), deadline, ""), time.Now().Add(deadline))
		if a.status != 200 || a.last {
			return fmt.Errorf("a request before the trouble got %d, %v", a.status, a.err)
		}
		kept = append(kept, c)
	}
	hang.Store(r.trouble)
	var group sync.WaitGroup
	for i, c := range kept {
		group.Go(func() {
			method, class, body := "GET", "form-lookup", ""
			if i%2 == 0 {
				method, class, body = "POST", "return-submit", "form"
			}
			id := newID()
			sent := time.Now()
			r.logf("client %d: sends %s %s %s", i, method, class, id)
			a := c.exchange(requestText(method, class, id, deadline, body), sent.Add(deadline+time.Second))
			after := a.at.Sub(sent).Round(time.Millisecond)
			r.logf("client %d: %s: status %d, %v, after %v", i, id, a.status, a.err, after)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 0 && forwarded[id] {
				r.breakRule("client %d: %s %s %s was read and forwarded, and got no answer: %v, %v after it was sent",
					i, method, class, id, a.err, after)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(3700 * time.Millisecond):
		r.logf("still running at the time of SIGKILL")
		_ = p.cmd.Process.Kill()
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(forwarded) < 2*requests { // a request before the trouble and one with it on each connection
		return fmt.Errorf("only %d of %d requests were forwarded", len(forwarded), 2*requests)
	}
	return nil
}
