// Package sidecar runs the platform's sidecar: it accepts clients' requests, has the balancer
// choose an endpoint for each, and follows the endpoint list of the platform's discovery. It
// carries out what the balancer decides and decides nothing itself.
//
// Two processes of one sidecar run during a process handover; handover.go is the part of each in
// it.
package sidecar

import (
	"log/slog"
	"net"
	"time"

	"rowancart/internal/admin"
	"rowancart/internal/discovery/watch"
	"rowancart/internal/hotrestart"
	"rowancart/internal/httpserver"
	"rowancart/internal/logkey"
	"rowancart/internal/metrics"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
)

const (
	// responseQuarantine is for how long a connection to an endpoint is not used after a response.
	// A second response may follow some milliseconds later, 6 at most as seen so far, and so may a
	// close.
	responseQuarantine = 20 * time.Millisecond
	// serverName names the sidecar in Proxy-Status headers. It is on the wire and must not change.
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

// Start opens the listeners and connects the parts. An error is a *platform.FieldError for the
// field or variable that names what can't be opened. Serve does the work.
func Start(c Config, log *slog.Logger) (*Sidecar, error) {
	opened, err := openListeners(c)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{readiness: newReadiness(), killDelay: killDelay(c)}
	s.connectDiscovery(c, log)

	log.Info("listening", logkey.Addr, opened.clients.Addr().String())
	maxConns := c.Limits.maxConns(processesAlone)
	s.listener = httpserver.NewWaitingListener(opened.clients, maxConns, maxConns+spareClientConns)
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
	if opened.operators != nil {
		log.Info("admin interface listening", logkey.Addr, opened.operators.Addr().String())
		s.admin = admin.New(opened.operators, operations, log)
	}
	return s, nil
}

// listeners are the open listeners of a process.
type listeners struct {
	clients   net.Listener
	operators net.Listener // nil: there is no admin interface
}

// openListeners opens the listeners of a configuration. An error is a *platform.FieldError.
func openListeners(c Config) (listeners, error) {
	clients, err := openClientListener(c)
	if err != nil {
		return listeners{}, err
	}
	if c.AdminAddr == "" {
		return listeners{clients: clients}, nil
	}
	operators, err := listenTCP(c.AdminAddr)
	if err != nil {
		clients.Close()
		return listeners{}, &platform.FieldError{Field: platform.AdminAddrField, Err: err}
	}
	return listeners{clients: clients, operators: operators}, nil
}

// openClientListener opens the listener for clients, or returns that of the inherited socket.
func openClientListener(c Config) (net.Listener, error) {
	if c.AcceptFD != "" {
		l, err := hotrestart.InheritedListener(c.AcceptFD)
		if err != nil {
			return nil, &platform.FieldError{Field: platform.EnvAcceptFD, Err: err}
		}
		return l, nil
	}
	l, err := listenTCP(c.Listen)
	if err != nil {
		return nil, &platform.FieldError{Field: platform.ListenField, Err: err}
	}
	return l, nil
}

// listenTCP opens a listener. It retries where the address is still in use.
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
		OnUpdate:         func(list platform.EndpointList) { s.pool.UpdateEndpoints(watch.ProxyEndpointList(list)) },
		OnCurrent: func() {
			s.pool.MarkListCurrent()
			s.readiness.markListReceived()
		},
		Log: log,
	})
	known := c.KnownEndpoints
	known.Complete = true // a complete list: the latest that the platform had
	s.pool = proxy.New(c.Settings.Settings, watch.ProxyEndpointList(known), proxy.Options{
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
