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
	serve := func(e *endpoint, q arrival, nc net.Conn) bool {
		r.logf("%s: %s %s has come", e.id, q.target, q.id)
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
	for range 20 { // ordinary traffic before the trouble
		c, err := dialClient(addr)
		if err != nil {
			return err
		}
		a := c.exchange(requestText("GET", "form-lookup", newID(), deadline, ""), time.Now().Add(deadline))
		c.close()
		if a.status != 200 {
			return fmt.Errorf("a request before the trouble got %d, %v", a.status, a.err)
		}
	}
	hang.Store(r.trouble)
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			c, err := dialClient(addr)
			if err != nil {
				r.logf("client %d: %v", i, err)
				return
			}
			defer c.close()
			method, class, body := "GET", "form-lookup", ""
			if i%2 == 0 {
				method, class, body = "POST", "return-submit", "form"
			}
			id := newID()
			sent := time.Now()
			r.logf("client %d: sends %s %s %s", i, method, class, id)
			a := c.exchange(requestText(method, class, id, deadline, body), sent.Add(deadline+time.Second))
			r.logf("client %d: %s: status %d, %v, after %v", i, id, a.status, a.err, a.at.Sub(sent).Round(time.Millisecond))
			if a.status == 0 {
				r.breakRule("client %d: %s %s %s was read and got no answer: %v, %v after it was sent",
					i, method, class, id, a.err, a.at.Sub(sent).Round(time.Millisecond))
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
	return nil
}
