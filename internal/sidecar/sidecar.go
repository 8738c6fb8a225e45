// Package sidecar runs the platform's sidecar: it accepts requests from clients, forwards each to
// the endpoint that the balancer chooses, and watches the endpoint list of the platform's discovery
// service. All load-balancing decisions are made by the balancer.
//
// During a process handover, two processes of one sidecar run at the same time; handover.go
// implements the part that each of them has in it.
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
	"rowancart/internal/membudget"
	"rowancart/internal/metrics"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
	"rowancart/internal/recentids"
)

const (
	// responseQuarantine is how long a connection to an endpoint is not reused after a response. An
	// endpoint may send an unsolicited second response or close the connection some milliseconds
	// later; the longest delay observed is 6 ms.
	responseQuarantine = 20 * time.Millisecond
	// serverName identifies the sidecar in Proxy-Status headers. Clients see it: it must not change.
	serverName = "tuliprock"
)

// Sidecar is one process of a sidecar. Its listeners are open.
type Sidecar struct {
	server    *httpserver.Server
	listener  *httpserver.Listener
	pool      *proxy.Pool
	memory    *membudget.Budget // that all clients' connections share
	discovery *watch.Client
	admin     *admin.Server // nil: there is no admin interface
	counters  *metrics.Counters
	readiness *readiness
	handover  *handover
	killDelay time.Duration // the shortest time from SIGTERM to the platform's SIGKILL
}

// Start opens the listeners and creates the components of a sidecar, which Serve then runs. If a
// listener can't be opened, the error is a *platform.FieldError for the field or variable that
// configures it.
func Start(c Config, log *slog.Logger) (*Sidecar, error) {
	opened, err := openListeners(c)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{readiness: newReadiness(), killDelay: killDelay(c)}
	s.connectDiscovery(c, log)

	log.Info("listening", logkey.Addr, opened.clients.Addr().String())
	maxConns := c.Limits.maxConns(processesOutsideHandover)
	s.listener = httpserver.NewWaitingListener(opened.clients, maxConns, maxConns+spareClientConns)
	router := newRequestRouter(s.pool, c.Settings.Classes)
	s.counters = router.counters
	s.memory = membudget.New(c.Limits.requestBytes(processesOutsideHandover))
	s.server = httpserver.New(router, serverName, c.Listen, log)
	s.server.SetMemory(s.memory)

	operations := &operations{
		pool:      s.pool,
		counters:  s.counters,
		readiness: s.readiness,
		log:       log,
		disabled:  map[string]bool{},
		unstored:  map[string]bool{},
	}
	s.joinHandover(c, operations, log)
	if opened.admin != nil {
		log.Info("admin interface listening", logkey.Addr, opened.admin.Addr().String())
		s.admin = admin.New(opened.admin, operations, log)
	}
	return s, nil
}

// listeners are the open listeners of a process.
type listeners struct {
	clients net.Listener
	admin   net.Listener // nil: there is no admin interface
}

// openListeners opens the listeners that the configuration asks for. Every error is a
// *platform.FieldError.
func openListeners(c Config) (listeners, error) {
	clients, err := openClientListener(c)
	if err != nil {
		return listeners{}, err
	}
	if c.AdminAddr == "" {
		return listeners{clients: clients}, nil
	}
	adminListener, err := listenTCP(c.AdminAddr)
	if err != nil {
		clients.Close()
		return listeners{}, &platform.FieldError{Field: platform.AdminAddrField, Err: err}
	}
	return listeners{clients: clients, admin: adminListener}, nil
}

// openClientListener returns a listener on the inherited socket if there is one. Otherwise it opens
// the listener for clients.
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

// listenTCP opens a listener. It retries after transient errors, such as an address still in use.
func listenTCP(addr string) (net.Listener, error) {
	return retryTransient(func() (net.Listener, error) { return net.Listen("tcp", addr) })
}

// connectDiscovery creates the pool and the discovery client, which use each other. Both begin with
// the newest endpoint list that is known.
func (s *Sidecar) connectDiscovery(c Config, log *slog.Logger) {
	known := initialList(c, log)
	initial := proxy.EndpointList{Complete: true, Endpoints: known.Endpoints}
	logInitialList(log, known, initial)
	s.discovery = watch.New(watch.Options{
		Addr:             c.Discovery,
		WaitForSubscribe: c.Settings.SubscribeRequired,
		Known:            &known.Origin,
		DrainGrace:       c.Settings.DrainGrace,
		OnUpdate: func(list platform.EndpointList) {
			s.pool.UpdateEndpoints(watch.ProxyEndpointList(list))
			s.handover.endpointListChanged()
		},
		OnCurrent: func() {
			s.pool.MarkListCurrent()
			s.readiness.markListReceived()
		},
		Log: log,
	})
	recentIDs, err := openRecentIDs(c)
	if err != nil {
		log.Warn("recent ids not shared", logkey.Err, err)
	}
	s.pool = proxy.New(c.Settings.Settings, initial, proxy.Options{
		IdleTimeout: c.Settings.ConnIdle,
		DialTimeout: c.Settings.DialTimeout,
		MaxConns:    c.Limits.maxConns(processesOutsideHandover),
		Quarantine:  responseQuarantine,
		RecentIDs:   recentIDs,
		Subscribe:   s.discovery.Subscribe,
		Log:         log,
	})
}

// logInitialList logs the endpoint list that is in force until discovery sends one, if any.
func logInitialList(log *slog.Logger, known knownList, list proxy.EndpointList) {
	if len(list.Endpoints) > 0 {
		log.Info("endpoint list in force", "source", string(known.source), logkey.Version, known.Version, logkey.List, list)
	}
}

// joinHandover applies the limits and registers this process among the processes of its sidecar.
func (s *Sidecar) joinHandover(c Config, operations *operations, log *slog.Logger) {
	s.handover = &handover{
		limits:     &limitEnforcer{limits: c.Limits, pool: s.pool, server: s.server, listener: s.listener, memory: s.memory},
		server:     s.server,
		listener:   s.listener,
		discovery:  s.discovery,
		operations: operations,
		readiness:  s.readiness,
		log:        log,

		listChanged: make(chan struct{}, 1),
	}
	s.handover.join(sharedDirParent(c), c.Name)
}

// sharedDirParent returns the parent of the directory that the processes of this sidecar share. It
// is empty if nothing is shared: no endpoint can be disabled, and there is no process handover.
func sharedDirParent(c Config) string {
	if c.AdminAddr == "" && c.AcceptFD == "" {
		return ""
	}
	return c.SharedDirParent
}

// openRecentIDs returns the ids of recent requests that the processes of this sidecar share, or a
// set of this process alone if they share nothing or the shared set can't be opened. It returns the
// error too in that case.
func openRecentIDs(c Config) (*recentids.Set, error) {
	parent := sharedDirParent(c)
	if parent == "" {
		return recentids.New(), nil
	}
	file, err := hotrestart.NewSharedDir(parent, c.Name).OpenRecentIDs()
	if err != nil {
		return recentids.New(), err
	}
	defer file.Close()
	shared, err := recentids.Open(file)
	if err != nil {
		return recentids.New(), err
	}
	return shared, nil
}

// Addr returns the address of the listener for clients.
func (s *Sidecar) Addr() net.Addr { return s.listener.Addr() }

// Reload applies the only part of a configuration that can change while requests are served: the
// address of discovery.
func (s *Sidecar) Reload(c Config) {
	s.discovery.SetAddress(c.Discovery)
	s.counters.Reloads.Add(1)
}

// RecordFailedReload counts a failed reload of the configuration.
func (s *Sidecar) RecordFailedReload() { s.counters.FailedReloads.Add(1) }
