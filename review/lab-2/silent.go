package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// silentPeers plays peers that connect and send nothing until the descriptors are full, beside a
// few proper clients, and checks that each request of theirs gets its final answer in time, or the
// connection on which it was sent is shut.
func silentPeers(r *run) error {
	const (
		memoryMB  = 64
		sockets   = 256
		peers     = 150
		clients   = 8 // a third of the descriptors would be 85
		hardLimit = 2 * time.Second
		deadline  = time.Second // of one try: 48% to 100% of the class's time
		late      = 550 * time.Millisecond
		length    = 9 * time.Second
		pause     = 150 * time.Millisecond
	)
	serve := func(e *endpoint, q arrival, nc net.Conn) bool {
		time.Sleep(20 * time.Millisecond)
		_, err := io.WriteString(nc, okAnswer("answer to "+q.id))
		return err == nil
	}
	var members []member
	for i := range 4 {
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
	config := strings.ReplaceAll(sidecarConfig(d.addr(), memoryMB, sockets, members),
		`"HardLimitUs":6000000`, fmt.Sprintf(`"HardLimitUs":%d`, hardLimit.Microseconds()))
	_, addr, err := r.startSidecar("sidecar", config)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	counts := map[string]int{}
	var group sync.WaitGroup
	until := time.Now().Add(length)
	for i := range clients {
		group.Go(func() {
			var c *client
			for time.Now().Before(until) {
				id := newID()
				var a answer
				sends := 0
				var sent time.Time
				for sends < 2 { // a close that crosses a request: once more on a new connection
					fresh := c == nil
					if fresh {
						var err error
						if c, err = dialClient(addr); err != nil {
							break
						}
					}
					sends++
					sent = time.Now()
					a = c.exchange(requestText("GET", "form-lookup", id, deadline, ""), sent.Add(deadline+late))
					if a.last {
						c.close()
						c = nil
					}
					if a.status != 0 || fresh {
						break
					}
				}
				mu.Lock()
				counts[fmt.Sprint("status ", a.status)]++
				mu.Unlock()
				if ne, ok := a.err.(net.Error); a.status == 0 && ok && ne.Timeout() {
					r.breakRule("client %d: %s has no answer %v after it was sent, with a time of %v, on an open connection",
						i, id, a.at.Sub(sent).Round(time.Millisecond), deadline)
				}
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.logf("%d peers connect and send nothing", peers)
		for range peers {
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				return err
			}
			defer nc.Close()
		}
	}
	group.Wait()
	r.logf("requests: %v", counts)
	if counts["status 200"] < 100 {
		return fmt.Errorf("too few requests were served: %v", counts)
	}
	return nil
}
