package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["3"] = longHeads }

// The load of case 3: about 51 requests a second, as the site has, for some 80 seconds.
const (
	case3Endpoints  = 10
	case3Work       = 100 * time.Millisecond
	case3Clients    = 10
	case3Requests   = 400 // of each client
	case3Pause      = 93 * time.Millisecond
	case3MemoryMB   = 32
	case3Sockets    = 256
	case3LongHead   = 8000 // bytes of a head, about
	case3ShortHead  = 400
	case3PollMemory = 50 * time.Millisecond
	case3LogEvery   = 500 // requests
)

// tenants are those of the clients, by their shares of 70% and 30%.
var tenants = [...]string{
	"erie-county", "erie-county", "huron-county", "erie-county", "erie-county",
	"huron-county", "erie-county", "erie-county", "huron-county", "erie-county",
}

// longHeads: clients' requests have long heads. The platform kills a sidecar whose memory is over
// its limit, and that must not happen.
func longHeads(e *environment) (string, error) {
	var addrs []string
	for i := range case3Endpoints {
		s := &echoEndpoint{env: e, name: fmt.Sprintf("endpoint %d", i), work: case3Work, quiet: true}
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
	limits := sidecarLimits{Cores: 1, MemoryMB: case3MemoryMB, Sockets: case3Sockets}
	addr, sidecar, err := e.startSidecar(d, settings, limits)
	if err != nil {
		return "", err
	}
	size := case3ShortHead
	if e.trouble {
		size = case3LongHead
	}
	c := &lookupClients{env: e, addr: addr, headSize: size, stop: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run()
	}()
	peak, killed, err := e.enforceMemory(sidecar, done)
	close(c.stop)
	<-done
	if err != nil {
		return "", err
	}
	e.logf("served %d, not served %d; most memory %.1f MB, limit %d MB", c.served, c.others, peak, case3MemoryMB)
	switch {
	case killed:
		return fmt.Sprintf("after %d requests with heads of %d bytes the sidecar held %.1f MB, its limit is %d MB, "+
			"and the platform killed it", c.served+c.others, size, peak, case3MemoryMB), nil
	case c.served < case3Clients*case3Requests*9/10:
		return "", fmt.Errorf("only %d of %d requests were served", c.served, case3Clients*case3Requests)
	}
	return "", nil
}

// enforceMemory kills a process whose memory is over the limit, as the platform does, until done is
// closed. It counts only resident anonymous memory, which is less than the platform counts.
func (e *environment) enforceMemory(p *process, done <-chan struct{}) (peak float64, killed bool, err error) {
	for {
		select {
		case <-done:
			return peak, false, nil
		case <-p.exited:
			return peak, false, errors.New("the sidecar has ended")
		case <-time.After(case3PollMemory):
		}
		now, err := anonymousMB(p.command.Process.Pid)
		if err != nil {
			return peak, false, err
		}
		peak = max(peak, now)
		if now > case3MemoryMB {
			e.logf("the sidecar holds %.1f MB: the platform kills it", now)
			p.signal(syscall.SIGKILL)
			return peak, true, nil
		}
	}
}

// anonymousMB returns the resident anonymous memory of a process, in MB of 1,048,576 bytes.
func anonymousMB(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(text) {
		fields := strings.Fields(string(line))
		if len(fields) >= 2 && fields[0] == "RssAnon:" {
			kb, err := strconv.Atoi(fields[1])
			return float64(kb) / 1024, err
		}
	}
	return 0, errors.New("the process has ended")
}

// lookupClients are clients that look up forms, each on a connection that it keeps.
type lookupClients struct {
	env      *environment
	addr     string
	headSize int
	stop     chan struct{}

	mu             sync.Mutex
	served, others int
}

// run sends all requests, or returns once stop is closed.
func (c *lookupClients) run() {
	var clients sync.WaitGroup
	for i := range case3Clients {
		clients.Go(func() {
			client := &http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{DisableCompression: true}}
			for n := range case3Requests {
				c.lookUp(client, tenants[i%len(tenants)], fmt.Sprintf("client%d-%04d", i, n))
				select {
				case <-c.stop:
					return
				case <-time.After(case3Pause):
				}
			}
		})
	}
	clients.Wait()
}

// lookUp sends one request and counts its end.
func (c *lookupClients) lookUp(client *http.Client, tenant, id string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+c.addr+"/form-lookup/household", nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Owner", tenant)
	req.Header.Set("Req-Deadline-Ms", "6000")
	req.Header.Set("Cookie", "session="+strings.Repeat("0123456789abcdef", (c.headSize-case3ShortHead/2)/16))
	resp, err := client.Do(req)
	status := 0
	if err == nil {
		_ = readAll(resp.Body)
		resp.Body.Close()
		status = resp.StatusCode
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if status == http.StatusOK {
		c.served++
	} else {
		c.others++
		c.env.logf("%s: %d %v", id, status, err)
	}
	if (c.served+c.others)%case3LogEvery == 0 {
		c.env.logf("%s: %d; %d served, %d not served so far", id, status, c.served, c.others)
	}
}
