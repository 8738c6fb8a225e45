package sidecar

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"rowancart/balancer"
	"rowancart/internal/admin"
	"rowancart/internal/discovery/platform"
	"rowancart/internal/hotrestart"
	"rowancart/internal/httpserver"
	"rowancart/internal/metrics"
	"rowancart/internal/proxy"
	"rowancart/internal/route"
)

const (
	reservedDescriptors = 64                     // of the limit, for all but callers' and endpoints' connections
	spareClientConns    = 16                     // of them, for callers that have come before an idle one is closed
	responseQuarantine  = 20 * time.Millisecond  // a second answer may come some milliseconds late, 6 at most so far; some closes come then
	acceptAfterSIGTERM  = 600 * time.Millisecond // new connections go on coming for a while after SIGTERM
	minKillDelay        = 700 * time.Millisecond // SIGKILL comes no sooner after SIGTERM than this and the longest deadline,
	maxCountedDeadline  = 3 * time.Second        // which counts as this where it is longer
	finalResponseMargin = 100 * time.Millisecond // the last answers go out so long before it,
	finalCloseMargin    = 50 * time.Millisecond  // and what is still open is closed
)

// serverName names the sidecar in Proxy-Status headers, which are on the wire and keep it.
const serverName = "tuliprock"

// Sidecar is a sidecar that listens.
type Sidecar struct {
	server    *httpserver.Server
	listener  *httpserver.Listener
	pool      *proxy.Pool
	discovery *platform.Client
	admin     *admin.Server // nil: there is none
	counters  *metrics.Counters
	readiness *readiness
	handover  *handover
	killDelay time.Duration // after SIGTERM SIGKILL comes no sooner
}

// Start wires the parts and opens the listeners; Serve does the work.
func Start(c Config, log *slog.Logger) (*Sidecar, error) {
	listener, err := openListener(c)
	if err != nil {
		return nil, err
	}
	var door net.Listener
	if c.AdminAddr != "" {
		if door, err = net.Listen("tcp", c.AdminAddr); err != nil {
			listener.Close()
			return nil, fmt.Errorf("console: %w", err)
		}
	}
	settings := c.Settings.Settings
	each := c.Limits.maxConns(1)
	var e *proxy.Pool
	w := newReadiness()
	d := platform.New(platform.Options{Addr: c.Discovery, WaitForSubscribe: settings.SubscribeRequired, Version: c.KnownEndpoints.Version,
		DrainGrace: c.Settings.DrainGrace, OnUpdate: func(m platform.EndpointList) { e.UpdateEndpoints(m.ForPool()) }, OnCurrent: w.markListReceived, Log: log})
	known := c.KnownEndpoints
	known.Full = true // the list as it was last had, and the first that the module hears
	e = proxy.New(settings, known.ForPool(), proxy.Options{ConnIdle: c.Settings.ConnIdle, DialTimeout: c.Settings.DialTimeout,
		MaxConns: each, Quarantine: responseQuarantine, Subscribe: d.Subscribe, Log: log})

	log.Info("listening", "addr", listener.Addr().String())
	conns := httpserver.NewWaitingListener(listener, each, each+spareClientConns)

	at := &requestRouter{pool: e, repeatability: map[string]balancer.Repeatability{}}
	var names []string
	for _, class := range settings.Classes {
		at.repeatability[class.Name] = class.Repeat
		names = append(names, class.Name)
	}
	at.counters = metrics.New(names)
	o := &operations{pool: e, counters: at.counters, readiness: w, log: log, disabled: map[string]bool{}}
	s := &Sidecar{server: httpserver.New(at, serverName, c.Listen, log), listener: conns, pool: e, discovery: d, counters: at.counters, readiness: w}
	s.killDelay = killDelay(c)
	s.handover = &handover{limits: c.Limits, pool: e, server: s.server, listener: conns, operations: o, log: log}
	if c.AdminAddr == "" && c.AcceptFD == "" {
		c.SharedDir = "" // nobody bans, and nobody takes over
	}
	s.handover.join(c.SharedDir, c.Name)
	if door != nil {
		log.Info("console", "addr", door.Addr().String())
		s.admin = admin.New(door, o, log)
	}
	return s, nil
}

// killDelay is how soon after SIGTERM SIGKILL may come.
func killDelay(c Config) time.Duration {
	return min(cmp.Or(c.Settings.MaxDeadline, maxCountedDeadline), maxCountedDeadline) + minKillDelay
}

// openListener opens the listener for callers, or takes the one that the platform holds.
func openListener(c Config) (net.Listener, error) {
	if c.AcceptFD != "" {
		l, err := hotrestart.InheritedListener(c.AcceptFD)
		if err != nil {
			return nil, fmt.Errorf("ROUTER_ACCEPT_FD: %w", err)
		}
		return l, nil
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// Addr is where the sidecar listens.
func (s *Sidecar) Addr() net.Addr { return s.listener.Addr() }

// Reload takes up what of a new configuration may change while requests are served: where discovery is.
func (s *Sidecar) Reload(c Config) {
	s.discovery.SetAddress(c.Discovery)
	s.counters.Reloads.Add(1)
}

// RecordFailedReload notes that a new configuration could not be read.
func (s *Sidecar) RecordFailedReload() { s.counters.FailedReloads.Add(1) }

// Serve serves until ctx ends and then until all that was taken has been answered.
func (s *Sidecar) Serve(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	runs := []func(context.Context){s.pool.Run, s.discovery.Run, s.handover.run}
	if s.admin != nil {
		runs = append(runs, s.admin.Run)
	}
	for _, run := range runs {
		parts.Go(func() { run(work) })
	}
	defer parts.Wait()
	defer stop()

	if s.handover.hasPeer() { // the process that serves goes on doing so until this one can do it as well
		s.readiness.waitForList(ctx.Done())
	}
	s.handover.restoreSnapshot()
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listener) }()
	s.handover.markServing() // before the yes: who sends SIGTERM at the yes finds a predecessor that can know
	s.readiness.accepting.Store(true)
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	return s.drain(served)
}

// drain ends the callers' side. It guards against losing what the kernel has accepted: unless a successor takes it, for a
// while new connections are taken as before; then answers say Connection: close, and idle connections are closed. All of it ends
// before SIGKILL can come: requests whose deadlines are later are given up on, and connections that bring none by then are closed.
func (s *Sidecar) drain(served <-chan error) error {
	kill := time.Now().Add(s.killDelay)
	s.pool.SetFinalDeadline(s.pool.Now() + s.killDelay - finalResponseMargin)
	busy := recentUseWindow
	if !s.handover.beginShutdown() {
		time.Sleep(acceptAfterSIGTERM)
		busy = 0
	}
	s.server.StartDraining()
	err := s.listener.Drain(busy, kill.Add(-finalCloseMargin))
	<-served // the listener is closed
	return err
}

// requestRouter finds a request's class in the first segment of its path; the one engine serves all classes that are listed.
type requestRouter struct {
	pool          *proxy.Pool
	repeatability map[string]balancer.Repeatability
	counters      *metrics.Counters
}

// Route implements plain.Desk.
func (r *requestRouter) Route(req *http.Request) (httpserver.Target, *httpserver.Rejection) {
	class, err := route.FirstSegment(req.URL.EscapedPath())
	if err != nil { // a server might read another class than we do
		return httpserver.Target{}, &httpserver.Rejection{Status: http.StatusBadRequest, Reason: err.Error(), Close: true}
	}
	effect, listed := r.repeatability[class]
	if !listed {
		return httpserver.Target{}, &httpserver.Rejection{Status: http.StatusNotFound, Reason: fmt.Sprintf("class %.40q is not served", class), Close: true}
	}
	r.counters.RequestStarted()
	return httpserver.Target{Pool: r.pool, Class: class, Effect: effect, Tenant: req.Header.Get("Req-Owner"),
		Done: func(taken bool, a proxy.Result) { r.countOutcome(class, taken, a) }}, nil
}

// outcomes are what answers count as. A request that came twice was answered the first time.
var outcomes = map[proxy.ResultKind]metrics.Outcome{proxy.Served: metrics.Success, proxy.Rejected: metrics.Overload}

// countOutcome counts a request whose answer is written.
func (r *requestRouter) countOutcome(class string, taken bool, a proxy.Result) {
	if !taken || a.Kind == proxy.Duplicate {
		r.counters.RequestDropped()
		return
	}
	end, ok := outcomes[a.Kind]
	if !ok {
		end = metrics.Error
	}
	r.counters.RequestFinished(class, end)
}
