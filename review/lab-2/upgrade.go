package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// consoleCall sends a line to the door for operators and returns the answer.
func consoleCall(addr, line string) (string, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(nc, line+"\n"); err != nil {
		return "", err
	}
	return bufio.NewReader(nc).ReadString('\n')
}

// upgradable is a sidecar of which a second process can be started beside the first.
type upgradable struct {
	run    *run
	socket *os.File // the clients' listening socket, which the platform holds
	addr   string   // of the socket
	config string   // path of the configuration, the same for all processes
	tmp    string
}

// newUpgradable opens the clients' socket and writes the configuration of a sidecar.
func newUpgradable(r *run, config func(listen string) string) (*upgradable, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	u := &upgradable{run: r, addr: l.Addr().String()}
	if u.socket, err = l.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	u.config = filepath.Join(r.scratch, "sidecar.json")
	u.tmp = filepath.Join(r.scratch, "tmp")
	if err := os.Mkdir(u.tmp, 0o700); err != nil {
		return nil, err
	}
	return u, os.WriteFile(u.config, []byte(config(u.addr)), 0o600)
}

// start starts a process and waits until it says yes at its door for operators, for 6 s at most.
func (u *upgradable) start(name string) (*process, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	console := l.Addr().String()
	l.Close()
	inherited := []*os.File{nil, nil, nil, nil, u.socket} // descriptor 7
	p, err := u.run.startInheriting(name, "exec bin/sidecar", inherited,
		"ROUTER_CONFIG="+u.config, "ROUTER_CONSOLE="+console, "ROUTER_ACCEPT_FD=7", "TMPDIR="+u.tmp)
	if err != nil {
		return nil, err
	}
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if text, err := consoleCall(console, "ready"); err == nil && strings.HasPrefix(text, "SUCCESS") {
			u.run.logf("%s: says yes", name)
			return p, nil
		}
	}
	return nil, fmt.Errorf("%s did not say yes within 6 s", name)
}

// upgrade replaces a sidecar's process while discovery is down. The first process was told that one
// endpoint drains; the list in the configuration is older. The endpoint may get nothing new.
func upgrade(r *run) error {
	const (
		outage       = 8 * time.Second
		grace        = 1050 * time.Millisecond
		upgradeGrace = 2 * time.Second // after the yes
		deadline     = 2 * time.Second
	)
	var told, yes atomic.Int64 // Unix time in ns
	after := func(at time.Time, mark *atomic.Int64) time.Duration {
		if mark.Load() == 0 {
			return -1
		}
		return at.Sub(time.Unix(0, mark.Load()))
	}
	var mu sync.Mutex
	sent := map[string]int{}
	serve := func(e *endpoint, q arrival, nc net.Conn) bool {
		sinceTold, sinceYes := after(q.at, &told), after(q.at, &yes)
		mu.Lock()
		sent[e.id]++
		mu.Unlock()
		if e.id == "s-0" && sinceTold > grace {
			r.logf("s-0: %s %s has come, %v after the sidecar was told of the drain, %v after the yes",
				q.target, q.id, sinceTold.Round(time.Millisecond), sinceYes.Round(time.Millisecond))
			if sinceYes < 0 || sinceYes > upgradeGrace+grace {
				r.breakRule("s-0 got %s %s %v after the sidecar was told that it drains", q.target, q.id,
					sinceTold.Round(time.Millisecond))
			}
		}
		time.Sleep(50 * time.Millisecond)
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
	u, err := newUpgradable(r, func(listen string) string {
		return strings.Replace(sidecarConfig(d.addr(), 64, 1024, members), "127.0.0.1:0", listen, 1)
	})
	if err != nil {
		return err
	}
	first, err := u.start("first")
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	counts := map[string]int{}
	for range 6 {
		clients.Go(func() {
			var c *client
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if c == nil {
					next, err := dialClient(u.addr)
					if err != nil {
						continue
					}
					c = next
				}
				a := c.exchange(requestText("GET", "form-lookup", newID(), deadline, ""), time.Now().Add(deadline+time.Second))
				mu.Lock()
				counts[fmt.Sprint(a.status)]++
				mu.Unlock()
				if a.last {
					c.close()
					c = nil
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	drained := append([]member{{members[0].id, members[0].addr, "Terminating", 0}}, members[1:]...)
	d.publish(drained)
	told.Store(time.Now().UnixNano())
	r.logf("discovery tells that s-0 drains")
	time.Sleep(2500 * time.Millisecond)
	if len(r.violations()) > 0 {
		return nil
	}
	if r.trouble {
		r.logf("discovery is down for %v", outage)
		d.setDown(true)
		time.AfterFunc(outage, func() {
			d.setDown(false)
			r.logf("discovery is back")
		})
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	if _, err = u.start("second"); err != nil {
		return err
	}
	yes.Store(time.Now().UnixNano())
	first.signal(syscall.SIGTERM)
	time.AfterFunc(3700*time.Millisecond, func() {
		if !first.hasExited() {
			first.signal(syscall.SIGKILL)
		}
	})
	time.Sleep(time.Until(began.Add(outage + 2*time.Second)))
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.logf("requests by endpoint: %v; answers by status: %v", sent, counts)
	if sent["s-0"] == 0 || counts["200"] < 200 {
		return fmt.Errorf("too few requests were served: %v", counts)
	}
	return nil
}
