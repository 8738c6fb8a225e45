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
	"time"

	"rowancart/internal/platform"
)

// violation is the way in which a violatingProxy breaks a rule.
type violation string

// The violations.
const (
	noViolation          violation = "none"
	sendsTwice           violation = "sends twice"
	fabricatesResponses  violation = "fabricates responses"
	ignoresDiscovery     violation = "ignores discovery"
	closesWithoutReply   violation = "closes without a response"
	respondsTooLate      violation = "responds too late"
	sendsForeignRequests violation = "sends requests of its own"
	changesRequests      violation = "changes requests"
	overloadsNewServer   violation = "overloads a warming server"
	rejectsAfterRun      violation = "rejects what has run"
	keepsImproperPeers   violation = "keeps improper peers connected"
	exceedsMemory        violation = "exceeds its memory limit"
	exits                violation = "exits by itself"
)

const (
	pollInterval        = 50 * time.Millisecond
	proxyDialTimeout    = 200 * time.Millisecond
	proxyHeaderTimeout  = 500 * time.Millisecond
	proxyDeadlineMargin = 50 * time.Millisecond // the proxy gives up this long before its client
	warmupMs            = 10_000                // time after its start until a server has warmed up
	requestsBeforeExit  = 60
)

// violatingProxy is a minimal sidecar that follows all rules except the one that its violation
// breaks.
type violatingProxy struct {
	violation violation

	mu        sync.Mutex
	endpoints []platform.Endpoint // ready ones, the newest last
	next      atomic.Int64        // round-robin position in endpoints
	requests  atomic.Int64
	responses atomic.Int64 // written
	server    *http.Server
	done      chan struct{}
	ctx       context.Context // canceled when the proxy ends
	stop      context.CancelFunc

	draining atomic.Bool   // set by Terminate
	drained  chan struct{} // closed when the graceful shutdown has ended
}

// violatingProgram is a Program whose instances are proxies with the same violation.
type violatingProgram violation

// Start implements Program.
func (v violatingProgram) Start(c platform.ConfigFile) (Instance, error) {
	p, err := v.startProxy(c)
	if err != nil {
		return nil, err
	}
	return p, nil
}

// startProxy starts a proxy. Kill and Terminate stop it and its goroutines.
func (v violatingProgram) startProxy(c platform.ConfigFile) (*violatingProxy, error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &violatingProxy{
		violation: violation(v),
		endpoints: c.KnownEndpoints.Endpoints,
		done:      make(chan struct{}),
		ctx:       ctx,
		stop:      stop,
		drained:   make(chan struct{}),
	}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: proxyHeaderTimeout}
	if p.violation == keepsImproperPeers {
		p.server.ReadHeaderTimeout = 0
	}
	go func() {
		defer close(p.done)
		go p.pollEndpoints(ctx, c.Discovery)
		_ = p.server.Serve(l)
		if p.draining.Load() {
			<-p.drained
		}
	}()
	return p, nil
}

func (p *violatingProxy) Reload(platform.ConfigFile) error { return nil }
func (p *violatingProxy) Done() <-chan struct{}            { return p.done }
func (p *violatingProxy) ExitReason() string               { return "its server was closed" }
func (p *violatingProxy) Kill()                            { p.stop(); p.server.Close(); <-p.done }

// Terminate implements Instance. The proxy still responds to the requests that it has read.
func (p *violatingProxy) Terminate() {
	p.draining.Store(true)
	go func() {
		_ = p.server.Shutdown(p.ctx) // fails only if Kill cancels p.ctx
		p.stop()
		close(p.drained)
	}()
}

// Usage implements Instance. It returns fixed values, because a proxy runs within the test process.
func (p *violatingProxy) Usage() (Usage, error) {
	if p.violation == exceedsMemory {
		return Usage{MemoryMB: 65}, nil
	}
	return Usage{MemoryMB: 1}, nil
}

// pollEndpoints polls the endpoint list until ctx ends.
func (p *violatingProxy) pollEndpoints(ctx context.Context, addr string) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		endpoints, err := pollReadyEndpoints(addr)
		if err == nil && p.violation != ignoresDiscovery {
			p.mu.Lock()
			p.endpoints = endpoints
			p.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// pollReadyEndpoints returns the endpoints that are ready, the newest last.
func pollReadyEndpoints(addr string) ([]platform.Endpoint, error) {
	resp, err := http.Get("http://" + addr + platform.EndpointListPath)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var list platform.EndpointList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, err
	}
	ready := slices.DeleteFunc(list.Endpoints, func(e platform.Endpoint) bool {
		return e.State != platform.StateReady
	})
	slices.SortStableFunc(ready, func(a, b platform.Endpoint) int { return int(a.StartedMs - b.StartedMs) })
	return ready, nil
}

// pick returns the server address for the nth attempt of a request. Unless the violation is
// overloadsNewServer, it does not pick a new server until that has warmed up.
func (p *violatingProxy) pick(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := p.endpoints[len(p.endpoints)-1]
	if p.violation == overloadsNewServer && newest.StartedMs > 0 {
		return newest.Addr
	}
	e := p.endpoints[(n+int(p.next.Add(1)))%len(p.endpoints)]
	if e.StartedMs > 0 && time.Now().UnixMilli()-e.StartedMs < warmupMs {
		return p.endpoints[0].Addr
	}
	return e.Addr
}

// proxyRequest is a request as a violatingProxy forwards it.
type proxyRequest struct {
	method   string
	target   string
	id       string
	body     []byte
	deadline time.Time
}

// send makes one attempt on a new connection. Status 0 means that there was no response.
func (m proxyRequest) send(addr string) (status int, body []byte) {
	nc, err := net.DialTimeout("tcp", addr, proxyDialTimeout)
	if err != nil {
		return 0, nil
	}
	defer nc.Close()
	_ = nc.SetDeadline(m.deadline)
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		m.method, m.target, platform.RequestIDHeader, m.id, len(m.body), m.body)
	if _, err := nc.Write(b.Bytes()); err != nil {
		return 0, nil
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}

// isNonIdempotent reports whether the request must not run more than once.
func (m proxyRequest) isNonIdempotent() bool { return m.method == http.MethodPost }

// ServeHTTP forwards a request and commits the violation.
func (p *violatingProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer p.responses.Add(1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "invalid body", http.StatusBadRequest)
		return
	}
	if r.URL.Path == platform.HealthPath {
		return
	}
	ms, err := strconv.Atoi(r.Header.Get(platform.DeadlineHeader))
	if err != nil {
		http.Error(w, "invalid deadline", http.StatusBadRequest)
		return
	}
	m := proxyRequest{
		method:   r.Method,
		target:   r.URL.RequestURI(),
		id:       r.Header.Get(platform.RequestIDHeader),
		body:     body,
		deadline: time.Now().Add(time.Duration(ms)*time.Millisecond - proxyDeadlineMargin),
	}
	n := p.requests.Add(1)
	if p.violation == fabricatesResponses && n%5 == 0 {
		fmt.Fprintln(w, "fabricated")
		return
	}
	p.violateBefore(n, &m)
	status, response := p.forward(m)
	if p.violation == closesWithoutReply && n%7 == 0 {
		hijackAndClose(w)
		return
	}
	switch status {
	case http.StatusOK:
		_, _ = w.Write(response)
	case http.StatusServiceUnavailable:
		http.Error(w, "rejected", status)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

// violateBefore commits the violations that occur before the nth request is forwarded.
func (p *violatingProxy) violateBefore(n int64, m *proxyRequest) {
	switch {
	case p.violation == exits && n == requestsBeforeExit:
		go p.server.Close()
	case p.violation == respondsTooLate && n%20 == 0:
		select {
		case <-time.After(time.Until(m.deadline) + time.Second):
		case <-p.ctx.Done():
		}
	case p.violation == sendsForeignRequests && n%5 == 0:
		foreign := *m
		foreign.method = http.MethodGet
		foreign.id += "-foreign"
		foreign.body = nil
		foreign.send(p.pick(0))
	case p.violation == changesRequests && n%5 == 0 && m.isNonIdempotent():
		m.body = append(m.body, "!"...)
	}
}

// forward sends a request to a server. For a non-idempotent request it also commits the violations
// that concern attempts.
func (p *violatingProxy) forward(m proxyRequest) (status int, body []byte) {
	status, body = m.send(p.pick(0))
	switch {
	case p.violation == sendsTwice && m.isNonIdempotent():
		return m.send(p.pick(1))
	case p.violation == rejectsAfterRun && m.isNonIdempotent():
		return http.StatusServiceUnavailable, body
	}
	return status, body
}

// hijackAndClose closes the connection of a request without sending a response.
func hijackAndClose(w http.ResponseWriter) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		nc.Close()
	}
}
