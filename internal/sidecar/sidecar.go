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
	otherDescriptors = 64                     // of the limit, for all but callers' and endpoints' connections
	spareCallers     = 16                     // of them, for callers that have come before an idle one is closed
	settle           = 20 * time.Millisecond  // a second answer may come some milliseconds late, 6 at most so far; some closes come then
	acceptAfterTerm  = 600 * time.Millisecond // new connections go on coming for a while after SIGTERM
	killLeast        = 700 * time.Millisecond // SIGKILL comes no sooner after SIGTERM than this and the longest deadline,
	killDeadline     = 3 * time.Second        // which counts as this where it is longer
	answersBefore    = 100 * time.Millisecond // the last answers go out so long before it,
	closedBefore     = 50 * time.Millisecond  // and what is still open is closed
)

// serverName names the sidecar in Proxy-Status headers, which are on the wire and keep it.
const serverName = "tuliprock"

// Sidecar is a sidecar that listens.
type Sidecar struct {
	callers   *httpserver.Server
	conns     *httpserver.Listener
	engine    *proxy.Pool
	discovery *platform.Client
	console   *admin.Server // nil: there is none
	figures   *metrics.Counters
	welcome   *welcome
	shift     *shift
	kill      time.Duration // after SIGTERM SIGKILL comes no sooner
}

// Start wires the parts and opens the listeners; Serve does the work.
func Start(c Config, log *slog.Logger) (*Sidecar, error) {
	listener, err := listen(c)
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
	each := c.Limits.conns(1)
	var e *proxy.Pool
	w := newWelcome()
	d := platform.New(platform.Options{Addr: c.Discovery, WaitForSubscribe: settings.SubscribeRequired, Version: c.KnownEndpoints.Version,
		DrainGrace: c.Settings.DrainGrace, OnUpdate: func(m platform.EndpointList) { e.UpdateEndpoints(m.ForPool()) }, OnCurrent: w.hear, Log: log})
	known := c.KnownEndpoints
	known.Full = true // the list as it was last had, and the first that the module hears
	e = proxy.New(settings, known.ForPool(), proxy.Options{ConnIdle: c.Settings.ConnIdle, DialTimeout: c.Settings.DialTimeout,
		MaxConns: each, Quarantine: settle, Subscribe: d.Subscribe, Log: log})

	log.Info("listening", "addr", listener.Addr().String())
	conns := httpserver.NewWaitingListener(listener, each, each+spareCallers)

	at := &router{engine: e, effects: map[string]balancer.Repeatability{}}
	var names []string
	for _, class := range settings.Classes {
		at.effects[class.Name] = class.Repeat
		names = append(names, class.Name)
	}
	at.figures = metrics.New(names)
	o := &operator{engine: e, figures: at.figures, welcome: w, log: log, out: map[string]bool{}}
	s := &Sidecar{callers: httpserver.New(at, serverName, c.Listen, log), conns: conns, engine: e, discovery: d, figures: at.figures, welcome: w}
	s.kill = killAfter(c)
	s.shift = &shift{limits: c.Limits, engine: e, callers: s.callers, conns: conns, operator: o, log: log}
	if c.AdminAddr == "" && c.AcceptFD == "" {
		c.SharedDir = "" // nobody bans, and nobody takes over
	}
	s.shift.enter(c.SharedDir, c.Name)
	if door != nil {
		log.Info("console", "addr", door.Addr().String())
		s.console = admin.New(door, o, log)
	}
	return s, nil
}

// killAfter is how soon after SIGTERM SIGKILL may come.
func killAfter(c Config) time.Duration {
	return min(cmp.Or(c.Settings.MaxDeadline, killDeadline), killDeadline) + killLeast
}

// listen opens the listener for callers, or takes the one that the platform holds.
func listen(c Config) (net.Listener, error) {
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
func (s *Sidecar) Addr() net.Addr { return s.conns.Addr() }

// Reload takes up what of a new configuration may change while requests are served: where discovery is.
func (s *Sidecar) Reload(c Config) {
	s.discovery.SetAddress(c.Discovery)
	s.figures.Reloads.Add(1)
}

// ReloadFailed notes that a new configuration could not be read.
func (s *Sidecar) ReloadFailed() { s.figures.FailedReloads.Add(1) }

// Serve serves until ctx ends and then until all that was taken has been answered.
func (s *Sidecar) Serve(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	runs := []func(context.Context){s.engine.Run, s.discovery.Run, s.shift.run}
	if s.console != nil {
		runs = append(runs, s.console.Run)
	}
	for _, run := range runs {
		parts.Go(func() { run(work) })
	}
	defer parts.Wait()
	defer stop()

	if s.shift.isBeside() { // the process that serves goes on doing so until this one can do it as well
		s.welcome.wait(ctx.Done())
	}
	s.shift.recall()
	served := make(chan error, 1)
	go func() { served <- s.callers.Serve(s.conns) }()
	s.shift.serve() // before the yes: who sends SIGTERM at the yes finds a predecessor that can know
	s.welcome.open.Store(true)
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
	kill := time.Now().Add(s.kill)
	s.engine.SetFinalDeadline(s.engine.Now() + s.kill - answersBefore)
	busy := lately
	if !s.shift.end() {
		time.Sleep(acceptAfterTerm)
		busy = 0
	}
	s.callers.StartDraining()
	err := s.conns.Drain(busy, kill.Add(-closedBefore))
	<-served // the listener is closed
	return err
}

// router finds a request's class in the first segment of its path; the one engine serves all classes that are listed.
type router struct {
	engine  *proxy.Pool
	effects map[string]balancer.Repeatability
	figures *metrics.Counters
}

// Route implements plain.Desk.
func (d *router) Route(r *http.Request) (httpserver.Target, *httpserver.Rejection) {
	class, err := route.FirstSegment(r.URL.EscapedPath())
	if err != nil { // a server might read another class than we do
		return httpserver.Target{}, &httpserver.Rejection{Status: http.StatusBadRequest, Reason: err.Error(), Close: true}
	}
	effect, listed := d.effects[class]
	if !listed {
		return httpserver.Target{}, &httpserver.Rejection{Status: http.StatusNotFound, Reason: fmt.Sprintf("class %.40q is not served", class), Close: true}
	}
	d.figures.RequestStarted()
	return httpserver.Target{Pool: d.engine, Class: class, Effect: effect, Tenant: r.Header.Get("Req-Owner"),
		Done: func(taken bool, a proxy.Result) { d.over(class, taken, a) }}, nil
}

// ends are what answers count as. A request that came twice was answered the first time.
var ends = map[proxy.ResultKind]metrics.Outcome{proxy.Served: metrics.Success, proxy.Rejected: metrics.Overload}

// over counts a request whose answer is written.
func (d *router) over(class string, taken bool, a proxy.Result) {
	if !taken || a.Kind == proxy.Duplicate {
		d.figures.RequestDropped()
		return
	}
	end, ok := ends[a.Kind]
	if !ok {
		end = metrics.Error
	}
	d.figures.RequestFinished(class, end)
}
