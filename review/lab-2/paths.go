package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// improperPaths are request targets with a byte that no target may have (RFC 9112, section 3.2, and
// RFC 3986, section 3.3).
var improperPaths = []string{
	`return-submit/erie%2F17|2`,
	`return-submit/erie%2F17^2`,
	`return-submit/erie%2F17"2`,
	`return-submit/erie%2F17#2`,
}

// properPaths are the same with these bytes percent-encoded.
var properPaths = []string{
	`return-submit/erie%2F17%7C2`,
	`return-submit/erie%2F17%5E2`,
	`return-submit/erie%2F17%222`,
	`return-submit/erie%2F17%232`,
}

// improperPeers plays some peers that send improper requests beside proper clients, and checks that
// an endpoint gets only requests in the form in which they were sent.
func improperPeers(r *run) error {
	const (
		endpoints = 3
		clients   = 5
		length    = 8 * time.Second
		deadline  = 2 * time.Second
		pause     = 100 * time.Millisecond // of a client between two requests
		badPause  = 500 * time.Millisecond
	)
	var mu sync.Mutex
	sent := map[string]string{} // target, by request id
	counts := map[string]int{}
	serve := func(e *endpoint, q arrival, nc net.Conn) bool {
		mu.Lock()
		target, known := sent[q.id]
		counts["attempts"]++
		mu.Unlock()
		if !known || target != q.target {
			r.breakRule("%s runs %s with the target %q; it was sent with %q", e.id, q.id, q.target, target)
		}
		time.Sleep(10 * time.Millisecond)
		_, err := io.WriteString(nc, okAnswer("answer to "+q.id))
		return err == nil
	}
	var members []member
	for i := range endpoints {
		e, err := startEndpoint(fmt.Sprintf("s-%d", i), serve)
		if err != nil {
			return err
		}
		members = append(members, member{e.id, e.addr(), "Ready", 0})
	}
	d, err := startDiscovery(members)
	if err != nil {
		return err
	}
	_, addr, err := r.startSidecar("sidecar", sidecarConfig(d.addr(), 64, 1024, members))
	if err != nil {
		return err
	}
	send := func(name, path, body string) {
		c, err := dialClient(addr)
		if err != nil {
			r.logf("%s: %v", name, err)
			return
		}
		defer c.close()
		id := newID()
		mu.Lock()
		sent[id] = "/" + path
		mu.Unlock()
		a := c.exchange(requestText("POST", path, id, deadline, body), time.Now().Add(deadline+time.Second))
		mu.Lock()
		counts[fmt.Sprint(name, " got ", a.status)]++
		mu.Unlock()
		if name != "client" {
			r.logf("%s: %s %q: status %d, %v", name, id, "/"+path, a.status, a.err)
		}
	}
	var group sync.WaitGroup
	until := time.Now().Add(length)
	for range clients {
		group.Go(func() {
			for time.Now().Before(until) {
				send("client", "return-submit/erie/17", "form")
				time.Sleep(pause)
			}
		})
	}
	paths := improperPaths
	if !r.trouble {
		paths = properPaths
	}
	group.Go(func() {
		for n := 0; time.Now().Before(until); n++ {
			send("peer", paths[n%len(paths)], "form")
			time.Sleep(badPause)
		}
	})
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.logf("counts: %v", counts)
	if counts["client got 200"] < 100 {
		return fmt.Errorf("too few requests of proper clients were served: %v", counts)
	}
	return nil
}
