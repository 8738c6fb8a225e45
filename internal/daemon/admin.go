package daemon

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rowancart/balancer"
	"rowancart/internal/httpserver"
	"rowancart/internal/logkey"
	"rowancart/internal/proxy"
)

const (
	adminHeaderTimeout = 5 * time.Second // for the head of a request to the admin interface
	maxEndpointsListed = 1000            // endpoints of a pool in one status
	adminListenerName  = "admin"         // in the log
)

// Values in the status and in labels of metrics.
const (
	endpointReady    = "ready"
	endpointDraining = "draining"
	trialInFlight    = "under way"
)

// Status is the daemon's state as the admin interface shows it. The names of its JSON members are
// part of the interface; docs/daemon.md maps them to the terms used here.
type Status struct {
	File                string           `json:"file"`
	Generation          int              `json:"generation"`
	DrainingGenerations int              `json:"draining_generations"` // older ones with requests in flight
	Reloads             ReloadStatus     `json:"reloads"`
	Warnings            []string         `json:"warnings,omitempty"`
	Listeners           []ListenerStatus `json:"listeners"`
	Pools               []PoolStatus     `json:"pools"`
	Routes              []RouteStatus    `json:"routes"`
}

// ListenerStatus is the state of a listener.
type ListenerStatus struct {
	Name                string `json:"name"`
	Address             string `json:"address"`
	Removed             bool   `json:"ending,omitempty"` // draining: the configuration no longer has it
	Connections         int    `json:"connections"`
	RejectedConnections int    `json:"turned_away"` // for which the limit left no capacity
}

// PoolStatus is the state of a pool.
type PoolStatus struct {
	Name    string `json:"name"`
	Removed bool   `json:"ending,omitempty"` // draining: the configuration no longer has it, or another of its name
	proxy.Stats
	SourceError string           `json:"roster_error,omitempty"` // for which the present endpoint list is not in force
	Endpoints   []EndpointStatus `json:"endpoints"`              // at most maxEndpointsListed of them
	Unlisted    int              `json:"endpoints_unlisted,omitempty"`
}

// EndpointStatus is the state of an endpoint.
type EndpointStatus struct {
	ID             string  `json:"id"`
	Address        string  `json:"address"`
	State          string  `json:"state"`              // endpointReady or endpointDraining, as listed
	InactiveReason string  `json:"out,omitempty"`      // for which it gets no requests but trials
	NextTrial      string  `json:"trial_in,omitempty"` // a duration, or trialInFlight
	Weight         float64 `json:"weight"`             // its smoothed latency ratio
	ErrorRate      float64 `json:"errors"`             // of recent outcomes, from 0 to 1
	InFlight       int     `json:"in_flight"`
	IdleConns      int     `json:"idle_connections"`
	CapacityShare  float64 `json:"warmth"`
	SinceResponse  string  `json:"answered_ago,omitempty"` // absent: it has never responded
	LastFailure    string  `json:"fault,omitempty"`        // of the latest attempt, until one succeeds
}

// RouteStatus is the state of a route.
type RouteStatus struct {
	Name     string `json:"name"`
	Class    string `json:"class"`
	Pool     string `json:"pool"`
	InFlight int    `json:"under_way"`
	Tenants  int    `json:"tenants"` // tracked separately at present
}

// Status returns the daemon's state.
func (d *Daemon) Status() Status { return d.status((*pool).status) }

// Summary returns the daemon's state without those of its endpoints.
func (d *Daemon) Summary() Status { return d.status((*pool).summary) }

// status returns the daemon's state, with the state of each pool as poolStatus returns it.
func (d *Daemon) status(poolStatus func(*pool) PoolStatus) Status {
	d.reloadMu.Lock()
	pools, current := slices.Clone(d.pools), d.current
	s := Status{DrainingGenerations: len(d.retired.generations)}
	d.reloadMu.Unlock()
	slices.SortStableFunc(pools, func(x, y *pool) int { return strings.Compare(x.name, y.name) })
	for _, p := range pools {
		ps := poolStatus(p)
		ps.Removed = !current.hasPool(p)
		s.Pools = append(s.Pools, ps)
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	c := d.current.config
	s.File = d.source.path
	s.Generation = d.current.number
	s.Reloads = d.reloads
	s.Warnings = c.Warnings
	for _, l := range d.listeners {
		s.Listeners = append(s.Listeners, l.status())
	}
	for _, r := range c.Routes {
		inFlight, tenants := d.limiters[r.Name].usage()
		s.Routes = append(s.Routes, RouteStatus{
			Name: r.Name, Class: r.Class.Name, Pool: r.Pool, InFlight: inFlight, Tenants: tenants,
		})
	}
	return s
}

// status returns the state of a listener. The caller must hold Daemon.mu.
func (l *listener) status() ListenerStatus {
	open, rejected := l.conns.Counts()
	return ListenerStatus{
		Name:                l.name,
		Address:             l.conns.Addr().String(),
		Removed:             l.isRemoved(),
		Connections:         open,
		RejectedConnections: rejected,
	}
}

// summary returns the state of a pool without those of its endpoints.
func (p *pool) summary() PoolStatus {
	return PoolStatus{Name: p.name, Stats: p.proxy.Stats(), SourceError: p.source.get()}
}

// status returns the state of a pool.
func (p *pool) status() PoolStatus {
	s := p.summary()
	for _, e := range p.proxy.Endpoints() {
		if len(s.Endpoints) == maxEndpointsListed {
			s.Unlisted++
			continue
		}
		s.Endpoints = append(s.Endpoints, endpointStatus(e))
	}
	return s
}

// endpointStatus returns the state of an endpoint.
func endpointStatus(e proxy.EndpointStatus) EndpointStatus {
	s := EndpointStatus{
		ID:             e.ID,
		Address:        e.Addr,
		State:          endpointReady,
		InactiveReason: string(e.Inactive),
		Weight:         roundThousandths(e.Weight),
		ErrorRate:      roundThousandths(e.Errors),
		InFlight:       e.InFlight,
		IdleConns:      e.IdleConns,
		CapacityShare:  roundThousandths(e.CapacityShare),
		LastFailure:    e.LastFailure,
	}
	if e.State != balancer.Ready {
		s.State = endpointDraining
	}
	if e.SinceResponse >= 0 {
		s.SinceResponse = e.SinceResponse.Round(time.Millisecond).String()
	}
	isEjected := e.Inactive != "" && e.Inactive != balancer.InactiveOutsideSubset
	switch {
	case isEjected && e.NextTrial < 0:
		s.NextTrial = trialInFlight
	case isEjected:
		s.NextTrial = e.NextTrial.Round(time.Millisecond).String()
	}
	return s
}

func roundThousandths(x float64) float64 { return math.Round(x*1000) / 1000 }

// serveAdmin serves the admin interface. The function that it returns closes it and waits for all
// goroutines of the daemon.
func (d *Daemon) serveAdmin() (stop func()) {
	server := &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: adminHeaderTimeout}
	d.log.Info("listening", logkey.Listener, adminListenerName, logkey.Addr, d.admin.Addr().String())
	retrying := httpserver.NewRetryingListener(d.admin, d.log)
	d.tasks.Go(func() error { return ignoreClosed(server.Serve(retrying)) })
	return func() {
		server.Close()
		_ = d.tasks.Wait()
	}
}

// adminHandler returns the handler of the admin interface.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(d.Status()) // an error means that the client has disconnected
	})
	mux.HandleFunc("POST /reload", func(w http.ResponseWriter, _ *http.Request) {
		if err := d.Reload(); err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		_, _ = w.Write([]byte("reloaded\n"))
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{}))
	return mux
}
