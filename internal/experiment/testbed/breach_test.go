package testbed

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
)

// proxy is a small sidecar that keeps every rule, but for the one breach that it is told to commit.
type proxy struct {
	breach string

	mu      sync.Mutex
	members []entry      // ready ones, the newest last
	turn    atomic.Int64 // of the boxes
	served  atomic.Int64
	over    atomic.Int64 // requests whose answer is written
	server  *http.Server
	done    chan struct{}
	stop    context.CancelFunc
}

// planted starts proxies with a breach.
type planted string

func (b planted) Start(c Config) (Running, error) {
	p, err := b.start(c)
	if err != nil {
		return nil, err
	}
	return p, nil
}

func (b planted) start(c Config) (*proxy, error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &proxy{breach: string(b), done: make(chan struct{}), stop: stop}
	var known list
	if err := json.Unmarshal(c.Known, &known); err != nil {
		return nil, err
	}
	p.members = known.Servers
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: 500 * time.Millisecond}
	if b == "holds improper peers" {
		p.server.ReadHeaderTimeout = 0
	}
	go func() {
		defer close(p.done)
		go p.follow(ctx, c.Discovery)
		_ = p.server.Serve(l)
	}()
	return p, nil
}

func (p *proxy) Reload(Config) error   { return nil }
func (p *proxy) Term()                 { p.Kill() }
func (p *proxy) Done() <-chan struct{} { return p.done }
func (p *proxy) How() string           { return "told to" }
func (p *proxy) Kill()                 { p.stop(); p.server.Close(); <-p.done }

// Usage stands in for the kernel's figures: an instance within the test process has none of its own.
func (p *proxy) Usage() (invariant.Usage, time.Duration, bool) {
	if p.breach == "uses too much" {
		return invariant.Usage{MemoryMB: 65}, 0, true
	}
	return invariant.Usage{MemoryMB: 1}, 0, true
}

// follow asks for the list again and again.
func (p *proxy) follow(ctx context.Context, addr string) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		if resp, err := http.Get("http://" + addr + membersPath); err == nil {
			var l list
			if json.NewDecoder(resp.Body).Decode(&l) == nil {
				l.Servers = slices.DeleteFunc(l.Servers, func(e entry) bool { return e.State != stateReady })
				slices.SortStableFunc(l.Servers, func(a, b entry) int { return int(a.StartedMs - b.StartedMs) })
				if p.breach != "heeds no roster" {
					p.mu.Lock()
					p.members = l.Servers
					p.mu.Unlock()
				}
			}
			resp.Body.Close()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (p *proxy) pick(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := p.members[len(p.members)-1]
	if p.breach == "buries a cold box" && newest.StartedMs > 0 {
		return newest.Addr
	}
	// A newcomer gets its share only once warm.
	i := (n + int(p.turn.Add(1))) % len(p.members)
	if e := p.members[i]; e.StartedMs > 0 && time.Now().UnixMilli()-e.StartedMs < 10_000 {
		return p.members[0].Addr
	}
	return p.members[i].Addr
}

// send makes one attempt on a connection of its own; 0 stands for no answer.
func send(addr, method, target, id string, body []byte, deadline time.Time) (int, []byte) {
	nc, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
	if err != nil {
		return 0, nil
	}
	defer nc.Close()
	_ = nc.SetDeadline(deadline)
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", method, target, idName, id, len(body), body)
	if _, err := nc.Write(b.Bytes()); err != nil {
		return 0, nil
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer p.over.Add(1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "no proper body", http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/_health" {
		return
	}
	ms, err := strconv.Atoi(r.Header.Get(deadlineName))
	if err != nil {
		http.Error(w, "no deadline", http.StatusBadRequest)
		return
	}
	id, target, method := r.Header.Get(idName), r.URL.RequestURI(), r.Method
	deadline := time.Now().Add(time.Duration(ms)*time.Millisecond - 50*time.Millisecond)
	n := p.served.Add(1)
	every := func(k int64) bool { return n%k == 0 }
	unsafe := method == http.MethodPost
	switch p.breach {
	case "crashes":
		if n == 60 {
			go p.server.Close()
		}
	case "answers by itself":
		if every(5) {
			fmt.Fprintln(w, "all is well")
			return
		}
	case "never answers":
		if every(20) {
			time.Sleep(time.Until(deadline) + time.Second)
		}
	case "smuggles":
		if every(5) {
			send(p.pick(0), http.MethodGet, target, id+"-of-mine", nil, deadline)
		}
	case "changes what it carries":
		if every(5) && unsafe {
			body = append(body, "!"...)
		}
	}
	status, answer := send(p.pick(0), method, target, id, body, deadline)
	if unsafe {
		switch p.breach {
		case "sends twice":
			status, answer = send(p.pick(1), method, target, id, body, deadline)
		case "refuses what has run":
			status = http.StatusServiceUnavailable
		}
	}
	if p.breach == "loses on close" && every(7) {
		nc, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			nc.Close()
		}
		return
	}
	switch {
	case status == http.StatusOK:
		_, _ = w.Write(answer)
	case status == http.StatusServiceUnavailable:
		http.Error(w, "refused", status)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

func small() *experiment.Experiment {
	class := experiment.Class{Name: "lookup", Share: 0.5, Work: 4 * time.Millisecond, Spread: experiment.Fixed, Aim: 300 * time.Millisecond, Deadline: time.Second, Worth: 1}
	submit := class
	submit.Name, submit.Effect = "submit", balancer.NonIdempotent
	return &experiment.Experiment{Name: "small", Duration: 1500 * time.Millisecond,
		Site: experiment.Site{Balancers: 1, Attempts: 3, Classes: []experiment.Class{class, submit}, Limits: experiment.Limits{MemoryMB: 64},
			Roster: experiment.Roster{Delay: 50 * time.Millisecond},
			Tiers: []experiment.Tier{{Name: "box", Boxes: 4, Work: 1, Kinds: []experiment.Kind{{Name: "std", Share: 1, Cores: 1, Speed: 1, Slots: 8, Queue: 50}},
				Box: experiment.BoxSpec{ColdFrom: 0.05, ColdFor: 10 * time.Second}}},
			Rules: experiment.Rules{AnswerSlack: 20 * time.Millisecond, DrainGrace: time.Second, FallOver: 4, FallWindow: time.Second, ImproperFor: 1500 * time.Millisecond}},
		Load: experiment.Load{Rate: 80, Process: "poisson", Clients: experiment.Clients{PatienceLeast: 1}},
	}
}

func TestLedgerNamesPlantedBreaches(t *testing.T) {
	deploy := []experiment.Fault{{Kind: experiment.Deploy, At: 100 * time.Millisecond, For: time.Millisecond, Part: 0.25, Size: 0.25, Period: 1900 * time.Millisecond}}
	cold := []experiment.Fault{{Kind: experiment.Deploy, At: 100 * time.Millisecond, For: time.Millisecond, Part: 0.25, Size: 0.25, Period: 300 * time.Millisecond}}
	peers := []experiment.Fault{{Kind: experiment.SilentPeer, At: 100 * time.Millisecond, Count: 2, Period: 50 * time.Millisecond}, {Kind: experiment.HalfPeer, At: 100 * time.Millisecond, Count: 1}}
	long := 2500 * time.Millisecond
	for _, c := range []struct {
		breach string
		rule   invariant.Rule
		faults []experiment.Fault
		length time.Duration
	}{
		{breach: "none", faults: append(slices.Clone(deploy), peers...), length: long},
		{breach: "sends twice", rule: invariant.Duplicate},
		{breach: "answers by itself", rule: invariant.Invented},
		{breach: "heeds no roster", rule: invariant.Drain, faults: deploy, length: long},
		{breach: "loses on close", rule: invariant.Answer},
		{breach: "never answers", rule: invariant.Answer},
		{breach: "smuggles", rule: invariant.Foreign},
		{breach: "changes what it carries", rule: invariant.Foreign},
		{breach: "buries a cold box", rule: invariant.Cold, faults: cold},
		{breach: "refuses what has run", rule: invariant.Refusal},
		{breach: "holds improper peers", rule: invariant.Improper, faults: peers},
		{breach: "uses too much", rule: invariant.Limits},
		{breach: "crashes", rule: invariant.Limits},
	} {
		t.Run(c.breach, func(t *testing.T) {
			t.Parallel()
			e := small()
			e.Faults = c.faults
			if c.rule == invariant.Cold {
				for i := range e.Site.Classes {
					e.Site.Classes[i].Work = 15 * time.Millisecond
				}
			}
			if c.length > 0 {
				e.Duration = c.length
			}
			got, err := Run(t.Context(), e, experiment.Arm{Name: c.breach}, 1, Options{Program: planted(c.breach)})
			if err != nil {
				t.Fatal(err)
			}
			if n := got.Tally.Total.Offered(); n < 40 {
				t.Errorf("only %d requests were played", n)
			}
			for _, v := range got.Verdicts {
				if (v.Broken > 0) != (v.Rule == c.rule) {
					t.Errorf("rule %q: broken %d times: %s", v.Rule, v.Broken, v.Detail)
				}
			}
			if c.rule == "" && got.Tally.Total.Share(counters.InTime) < 0.9 {
				t.Errorf("a proxy that keeps the rules served %v", got.Tally.Total)
			}
		})
	}
}
