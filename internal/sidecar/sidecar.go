// Package sidecar runs the platform's sidecar: it accepts clients' requests, has the balancer
// choose an endpoint for each, and follows the endpoint list of the platform's discovery. It
// carries out what the balancer decides and decides nothing itself.
//
// Two processes of one sidecar run during a process handover; handover.go is the part of each in
// it.
package sidecar

import (
	"fmt"
	"log/slog"
	"net"
	"time"

	"rowancart/internal/admin"
	"rowancart/internal/discovery/watch"
	"rowancart/internal/hotrestart"
	"rowancart/internal/httpserver"
	"rowancart/internal/metrics"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
)

const (
	// responseQuarantine is for how long a connection to an endpoint rests after a response. A
	// second response may come some milliseconds late, 6 at most so far, and so may a close.
	responseQuarantine = 20 * time.Millisecond
	// serverName names the sidecar in Proxy-Status headers. It is on the wire and keeps its form.
	serverName = "tuliprock"
)

// Sidecar is one process of a sidecar, with its listeners open.
type Sidecar struct {
	server    *httpserver.Server
	listener  *httpserver.Listener
	pool      *proxy.Pool
	discovery *watch.Client
	admin     *admin.Server // nil: there is no admin interface
	counters  *metrics.Counters
	readiness *readiness
	handover  *handover
	killDelay time.Duration // the platform sends SIGKILL no sooner after SIGTERM
}

// Start opens the listeners and connects the parts. Serve does the work.
func Start(c Config, log *slog.Logger) (*Sidecar, error) {
	clients, operators, err := openListeners(c)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{readiness: newReadiness(), killDelay: killDelay(c)}
	s.connectDiscovery(c, log)

	log.Info("listening", "addr", clients.Addr().String())
	maxConns := c.Limits.maxConns(processesAlone)
	s.listener = httpserver.NewWaitingListener(clients, maxConns, maxConns+spareClientConns)
	router := newRequestRouter(s.pool, c.Settings.Classes)
	s.counters = router.counters
	s.server = httpserver.New(router, serverName, c.Listen, log)

	operations := &operations{
		pool:      s.pool,
		counters:  s.counters,
		readiness: s.readiness,
		log:       log,
		disabled:  map[string]bool{},
		unstored:  map[string]bool{},
	}
	s.joinHandover(c, operations, log)
	if operators != nil {
		log.Info("console", "addr", operators.Addr().String())
		s.admin = admin.New(operators, operations, log)
	}
	return s, nil
}

// openListeners opens the listener for clients, and that for operators where the configuration
// names an address for them; otherwise it is nil.
func openListeners(c Config) (clients, operators net.Listener, err error) {
	clients, err = openClientListener(c)
	if err != nil {
		return nil, nil, err
	}
	if c.AdminAddr == "" {
		return clients, nil, nil
	}
	operators, err = listenTCP(c.AdminAddr)
	if err != nil {
		clients.Close()
		return nil, nil, fmt.Errorf("console: %w", err)
	}
	return clients, operators, nil
}

// openClientListener opens the listener for clients, or returns the one that the platform holds.
func openClientListener(c Config) (net.Listener, error) {
	if c.AcceptFD != "" {
		l, err := hotrestart.InheritedListener(c.AcceptFD)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", platform.EnvAcceptFD, err)
		}
		return l, nil
	}
	l, err := listenTCP(c.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// listenTCP opens a listener, for which it waits a moment where the address is still in use.
func listenTCP(addr string) (net.Listener, error) {
	return retryTransient(func() (net.Listener, error) { return net.Listen("tcp", addr) })
}

// connectDiscovery creates the pool and the discovery client, which refer to each other.
func (s *Sidecar) connectDiscovery(c Config, log *slog.Logger) {
	s.discovery = watch.New(watch.Options{
		Addr:             c.Discovery,
		WaitForSubscribe: c.Settings.SubscribeRequired,
		Version:          c.KnownEndpoints.Version,
		DrainGrace:       c.Settings.DrainGrace,
		OnUpdate:         func(list platform.EndpointList) { s.pool.UpdateEndpoints(watch.PoolList(list)) },
		OnCurrent: func() {
			s.pool.MarkListCurrent()
			s.readiness.markListReceived()
		},
		Log: log,
	})
	known := c.KnownEndpoints
	known.Complete = true // the latest list that the platform had, and the first that the pool receives
	s.pool = proxy.New(c.Settings.Settings, watch.PoolList(known), proxy.Options{
		IdleTimeout: c.Settings.ConnIdle,
		DialTimeout: c.Settings.DialTimeout,
		MaxConns:    c.Limits.maxConns(processesAlone),
		Quarantine:  responseQuarantine,
		Subscribe:   s.discovery.Subscribe,
		Log:         log,
	})
}

// joinHandover applies the limits and registers this process with the processes of its sidecar.
func (s *Sidecar) joinHandover(c Config, operations *operations, log *slog.Logger) {
	s.handover = &handover{
		limits:     &limitEnforcer{limits: c.Limits, pool: s.pool, server: s.server, listener: s.listener},
		server:     s.server,
		listener:   s.listener,
		operations: operations,
		readiness:  s.readiness,
		log:        log,
	}
	sharedDir := c.SharedDir
	if c.AdminAddr == "" && c.AcceptFD == "" {
		sharedDir = "" // no operator disables an endpoint, and there is no process handover
	}
	s.handover.join(sharedDir, c.Name)
}

// Addr returns the address on which clients' connections are accepted.
func (s *Sidecar) Addr() net.Addr { return s.listener.Addr() }

// Reload applies what may change in a configuration while requests are served: the address of
// discovery.
func (s *Sidecar) Reload(c Config) {
	s.discovery.SetAddress(c.Discovery)
	s.counters.Reloads.Add(1)
}

// RecordFailedReload counts a new configuration that could not be loaded.
func (s *Sidecar) RecordFailedReload() { s.counters.FailedReloads.Add(1) }
