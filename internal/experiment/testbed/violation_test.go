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
	"rowancart/internal/platform"
)

// proxy is a small sidecar that keeps every rule but for one planted violation.
type proxy struct {
	violation string

	mu        sync.Mutex
	endpoints []platform.Endpoint // ready ones, the newest last
	next      atomic.Int64        // of the servers
	requests  atomic.Int64
	responses atomic.Int64 // written
	server    *http.Server
	done      chan struct{}
	ctx       context.Context // ends with the proxy
	stop      context.CancelFunc
}

// violatingProgram is a Program whose proxies have this violation, or "none".
type violatingProgram string

// Start implements Program.
func (v violatingProgram) Start(c platform.ConfigFile) (Instance, error) {
	p, err := v.startProxy(c)
	if err != nil {
		return nil, err
	}
	return p, nil
}

func (v violatingProgram) startProxy(c platform.ConfigFile) (*proxy, error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &proxy{violation: string(v), done: make(chan struct{}), ctx: ctx, stop: stop}
	p.endpoints = c.Known.Endpoints
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: 500 * time.Millisecond}
	if v == "holds improper peers" {
		p.server.ReadHeaderTimeout = 0
	}
	go func() {
		defer close(p.done)
		go p.pollEndpoints(ctx, c.Discovery)
		_ = p.server.Serve(l)
	}()
	return p, nil
}

func (p *proxy) Reload(platform.ConfigFile) error { return nil }
func (p *proxy) Terminate()                       { p.Kill() }
func (p *proxy) Done() <-chan struct{}            { return p.done }
func (p *proxy) ExitReason() string               { return "told to" }
func (p *proxy) Kill()                            { p.stop(); p.server.Close(); <-p.done }

// Usage implements Instance. A proxy runs within the test process, so its usage is made up.
func (p *proxy) Usage() (Usage, error) {
	if p.violation == "uses too much" {
		return Usage{MemoryMB: 65}, nil
	}
	return Usage{MemoryMB: 1}, nil
}

func isNotReady(e platform.Endpoint) bool { return e.State != platform.StateReady }

// pollEndpoints polls the endpoint list until ctx ends.
func (p *proxy) pollEndpoints(ctx context.Context, addr string) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		if resp, err := http.Get("http://" + addr + platform.EndpointListPath); err == nil {
			var l platform.EndpointList
			if json.NewDecoder(resp.Body).Decode(&l) == nil {
				l.Endpoints = slices.DeleteFunc(l.Endpoints, isNotReady)
				slices.SortStableFunc(l.Endpoints, func(a, b platform.Endpoint) int { return int(a.StartedMs - b.StartedMs) })
				if p.violation != "ignores discovery" {
					p.mu.Lock()
					p.endpoints = l.Endpoints
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

// pick returns the address for the nth attempt of a request.
func (p *proxy) pick(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := p.endpoints[len(p.endpoints)-1]
	if p.violation == "buries a cold server" && newest.StartedMs > 0 {
		return newest.Addr
	}
	// A new server is sent requests only once it is warm.
	i := (n + int(p.next.Add(1))) % len(p.endpoints)
	if e := p.endpoints[i]; e.StartedMs > 0 && time.Now().UnixMilli()-e.StartedMs < 10_000 {
		return p.endpoints[0].Addr
	}
	return p.endpoints[i].Addr
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
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, target, platform.RequestIDHeader, id, len(body), body)
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

// ServeHTTP forwards a request, with the planted violation.
func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer p.responses.Add(1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "no proper body", http.StatusBadRequest)
		return
	}
	if r.URL.Path == platform.HealthPath {
		return
	}
	ms, err := strconv.Atoi(r.Header.Get(platform.DeadlineHeader))
	if err != nil {
		http.Error(w, "no deadline", http.StatusBadRequest)
		return
	}
	id, target, method := r.Header.Get(platform.RequestIDHeader), r.URL.RequestURI(), r.Method
	deadline := time.Now().Add(time.Duration(ms)*time.Millisecond - 50*time.Millisecond)
	n := p.requests.Add(1)
	every := func(k int64) bool { return n%k == 0 }
	unsafe := method == http.MethodPost
	switch p.violation {
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
			select {
			case <-time.After(time.Until(deadline) + time.Second):
			case <-p.ctx.Done():
			}
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
		switch p.violation {
		case "sends twice":
			status, answer = send(p.pick(1), method, target, id, body, deadline)
		case "refuses what has run":
			status = http.StatusServiceUnavailable
		}
	}
	if p.violation == "loses on close" && every(7) {
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

// smallExperiment returns an experiment of 1.5 s with one sidecar and four servers.
func smallExperiment() *experiment.Experiment {
	lookup := experiment.Class{Name: "lookup", TrafficShare: 0.5, Work: 4 * time.Millisecond,
		Distribution: experiment.Fixed, LatencyObjective: 300 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1}
	submit := lookup
	submit.Name, submit.Idempotency = "submit", balancer.NonIdempotent
	kind := experiment.Kind{Name: "std", Fraction: 1, Cores: 1, Speed: 1, Slots: 8, QueueLimit: 50}
	tier := experiment.Tier{Name: "box", Servers: 4, WorkFraction: 1, Kinds: []experiment.Kind{kind},
		Server: experiment.ServerSpec{InitialCapacity: 0.05, WarmupTime: 10 * time.Second}}
	return &experiment.Experiment{Name: "small", Duration: 1500 * time.Millisecond,
		Site: experiment.Site{
			Balancers:   1,
			MaxAttempts: 3,
			Classes:     []experiment.Class{lookup, submit},
			Limits:      experiment.Limits{MemoryMB: 64},
			Discovery:   experiment.Discovery{Delay: 50 * time.Millisecond},
			Tiers:       []experiment.Tier{tier},
			Rules: experiment.Rules{ResponseSlack: 20 * time.Millisecond, DrainGrace: time.Second, WarmupOverload: 4,
				OverloadWindow: time.Second, ImproperPeerTimeout: 1500 * time.Millisecond},
		},
		Load: experiment.Load{Rate: 80, Process: experiment.Poisson, Clients: experiment.Clients{MinPatience: 1}},
	}
}

// rollingDeploy returns a replacement of one of four servers that takes a time.
func rollingDeploy(drain time.Duration) []experiment.Fault {
	return []experiment.Fault{{Kind: experiment.RollingDeploy, At: 100 * time.Millisecond, Duration: time.Millisecond,
		Fraction: 0.25, Size: 0.25, Period: drain}}
}

func TestCheckerFindsPlantedViolations(t *testing.T) {
	deploy, cold := rollingDeploy(1900*time.Millisecond), rollingDeploy(300*time.Millisecond)
	peers := []experiment.Fault{
		{Kind: experiment.SilentPeer, At: 100 * time.Millisecond, Count: 2, Period: 50 * time.Millisecond},
		{Kind: experiment.PartialRequestPeer, At: 100 * time.Millisecond, Count: 1},
	}
	long := 2500 * time.Millisecond
	for _, c := range []struct {
		violation string
		rule      invariant.Rule
		faults    []experiment.Fault
		length    time.Duration
	}{
		{violation: "none", faults: append(slices.Clone(deploy), peers...), length: long},
		{violation: "sends twice", rule: invariant.RuleDuplicate},
		{violation: "answers by itself", rule: invariant.RuleFabricatedResponse},
		{violation: "ignores discovery", rule: invariant.RuleDrain, faults: deploy, length: long},
		{violation: "loses on close", rule: invariant.RuleResponse},
		{violation: "never answers", rule: invariant.RuleResponse},
		{violation: "smuggles", rule: invariant.RuleForeignRequest},
		{violation: "changes what it carries", rule: invariant.RuleForeignRequest},
		{violation: "buries a cold server", rule: invariant.RuleWarmup, faults: cold},
		{violation: "refuses what has run", rule: invariant.RuleFalseRejection},
		{violation: "holds improper peers", rule: invariant.RuleImproperPeer, faults: peers},
		{violation: "uses too much", rule: invariant.RuleLimits},
		{violation: "crashes", rule: invariant.RuleLimits},
	} {
		t.Run(c.violation, func(t *testing.T) {
			t.Parallel()
			e := smallExperiment()
			e.Faults = c.faults
			if c.rule == invariant.RuleWarmup {
				for i := range e.Site.Classes {
					e.Site.Classes[i].Work = 15 * time.Millisecond
				}
			}
			if c.length > 0 {
				e.Duration = c.length
			}
			variant, options := experiment.Variant{Name: c.violation}, Options{Program: violatingProgram(c.violation)}
			got, err := Run(t.Context(), e, variant, 1, options)
			if err != nil {
				t.Fatal(err)
			}
			if n := got.Counters.Total.Offered(); n < 40 {
				t.Errorf("only %d requests were played", n)
			}
			for _, v := range got.Verdicts {
				if (v.Violations > 0) != (v.Rule == c.rule) {
					t.Errorf("rule %q: broken %d times: %s", v.Rule, v.Violations, v.Detail)
				}
			}
			if c.rule == "" && got.Counters.Total.Fraction(counters.ServedInTime) < 0.9 {
				t.Errorf("a proxy that keeps the rules served %v", got.Counters.Total)
			}
		})
	}
}
