package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// lateSecondAnswer plays endpoints of which a few answers are followed by a second one some
// milliseconds later, and checks that no client gets an answer that was made for another request.
func lateSecondAnswer(r *run) error {
	const (
		endpoints   = 4
		clients     = 12
		length      = 10 * time.Second
		deadline    = 2 * time.Second
		work        = 4 * time.Millisecond
		secondAfter = 3 * time.Millisecond
		spoiltEvery = 20
	)
	var mu sync.Mutex
	served := 0
	serve := func(e *endpoint, q arrival, nc net.Conn) bool {
		time.Sleep(work)
		mu.Lock()
		served++
		spoilt := r.trouble && served%spoiltEvery == 0
		mu.Unlock()
		text := okAnswer("answer to " + q.id)
		if _, err := io.WriteString(nc, text); err != nil {
			return false
		}
		if spoilt {
			r.logf("%s: second answer to %s follows in %v", e.id, q.id, secondAfter)
			time.AfterFunc(secondAfter, func() { _, _ = io.WriteString(nc, text) })
		}
		return true
	}
	var all []*endpoint
	for i := range endpoints {
		e, err := startEndpoint(fmt.Sprintf("s-%d", i), serve)
		if err != nil {
			return err
		}
		all = append(all, e)
	}
	var addr string
	var err error
	if os.Getenv("PROGRAM") == "sidecar" {
		var members []member
		for _, e := range all {
			members = append(members, member{e.id, e.addr(), "Ready", 0})
		}
		d, derr := startDiscovery(members)
		if derr != nil {
			return derr
		}
		_, addr, err = r.startSidecar("sidecar", sidecarConfig(d.addr(), 64, 1024, members))
	} else {
		_, addr, err = r.startDaemon("daemon", daemonConfig("10s", staticRoster(all)))
	}
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	counts := map[string]int{}
	until := time.Now().Add(length)
	for i := range clients {
		group.Go(func() {
			var c *client
			for n := 0; time.Now().Before(until); n++ {
				if c == nil {
					var err error
					if c, err = dialClient(addr); err != nil {
						continue
					}
				}
				method, class, body := "GET", "form-lookup", ""
				if (i+n)%3 == 0 {
					method, class, body = "POST", "return-submit", "form"
				}
				id := newID()
				a := c.exchange(requestText(method, class, id, deadline, body), time.Now().Add(deadline+time.Second))
				mu.Lock()
				counts[fmt.Sprint(class, " ", a.status)]++
				mu.Unlock()
				if a.status == 200 && a.err == nil && !strings.HasSuffix(a.body, id) {
					r.breakRule("client %d sent %s %s %s and got 200 %q", i, method, class, id, a.body)
				}
				if a.last {
					c.close()
					c = nil
				}
			}
		})
	}
	group.Wait()
	r.logf("answers by class and status: %v; %d answers of endpoints", counts, served)
	if counts["form-lookup 200"] < 100 {
		return fmt.Errorf("too few requests were served: %v", counts)
	}
	return nil
}
