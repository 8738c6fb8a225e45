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

// movedDiscovery gives a daemon a new configuration with another address of discovery, which tells
// that the old endpoints drain. Connections are reset under requests that had begun before. No
// endpoint may get a request later than the grace after the time at which its drain counts as told.
func movedDiscovery(r *run) error {
	const (
		requests  = 6
		deadline  = 6 * time.Second
		toldAfter = 4 * time.Second // SIGHUP
		grace     = 1050 * time.Millisecond
		resetAt   = 5300 * time.Millisecond // after SIGHUP
	)
	var hang, drained atomic.Bool
	var hup time.Time
	var late atomic.Int64
	serve := func(e *endpoint, q arrival, nc net.Conn) bool {
		since := time.Duration(0)
		if drained.Load() {
			since = q.at.Sub(hup)
		}
		r.logf("%s: %s has come, %v after SIGHUP", e.id, q.id, since.Round(time.Millisecond))
		if e.id[0] == 'a' && since > toldAfter+grace {
			late.Add(1)
			r.breakRule("%s got %s %v after the new configuration; its drain counted as told after %v",
				e.id, q.id, since.Round(time.Millisecond), toldAfter)
		}
		if hang.Load() && e.id[0] == 'a' && !drained.Load() {
			_, _ = io.Copy(io.Discard, nc) // until it is reset
			return false
		}
		time.Sleep(50 * time.Millisecond)
		_, err := io.WriteString(nc, okAnswer("answer to "+q.id))
		return err == nil
	}
	var old, next []*endpoint
	for i := range 4 {
		a, err := startEndpoint(fmt.Sprintf("a-%d", i), serve)
		if err != nil {
			return err
		}
		b, err := startEndpoint(fmt.Sprintf("b-%d", i), serve)
		if err != nil {
			return err
		}
		old, next = append(old, a), append(next, b)
	}
	list := func(endpoints []*endpoint, state string) []member {
		var members []member
		for _, e := range endpoints {
			members = append(members, member{e.id, e.addr(), state, 0})
		}
		return members
	}
	first, err := startDiscovery(list(old, "Ready"))
	if err != nil {
		return err
	}
	second, err := startDiscovery(append(list(old, "Terminating"), list(next, "Ready")...))
	if err != nil {
		return err
	}
	p, addr, err := r.startDaemon("daemon", daemonConfig("10s", platformRoster(first.addr())))
	if err != nil {
		return err
	}
	send := func(name string, group *sync.WaitGroup) {
		group.Go(func() {
			c, err := dialClient(addr)
			if err != nil {
				r.logf("%s: %v", name, err)
				return
			}
			defer c.close()
			id := newID()
			sent := time.Now()
			a := c.exchange(requestText("GET", "form-lookup", id, deadline, ""), sent.Add(deadline+time.Second))
			r.logf("%s: %s: status %d, %v, after %v", name, id, a.status, a.err, a.at.Sub(sent).Round(time.Millisecond))
		})
	}
	var group sync.WaitGroup
	for range 5 {
		send("before", &group)
		group.Wait()
	}
	hang.Store(r.trouble)
	for range requests {
		send("hung", &group)
	}
	time.Sleep(100 * time.Millisecond)
	hup = time.Now()
	drained.Store(true)
	if err := r.configureDaemon("daemon", daemonConfig("10s", platformRoster(second.addr()))); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	first.close()
	time.Sleep(time.Second)
	for range 5 {
		send("after", &group)
	}
	time.Sleep(time.Until(hup.Add(resetAt)))
	r.logf("connections to the old endpoints are reset")
	for _, e := range old {
		e.resetAll()
	}
	group.Wait()
	return nil
}
