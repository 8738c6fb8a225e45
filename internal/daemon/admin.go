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
	adminReadTimeout   = 5 * time.Second  // for reading a request to the admin interface
	adminWriteTimeout  = 30 * time.Second // for handling such a request and writing the response
	maxEndpointsListed = 1000             // endpoints per pool in one status response
	adminListenerName  = "admin"          // the listener's name in the log
)

// Values in the status. The states of endpoints are also values of metric labels.
const (
	endpointReady    = "ready"
	endpointDraining = "draining"
	trialInFlight    = "under way"
)

// Status is the daemon's state as the admin interface reports it. The JSON keys are part of that
// interface; docs/daemon.md maps them to the terms used here.
type Status struct {
	File                string           `json:"file"`
	Generation          int              `json:"generation"`
	DrainingGenerations int              `json:"draining_generations"` // older ones that are still in use
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
	Removed             bool   `json:"ending,omitempty"` // it is draining: a reload removed it
	Connections         int    `json:"connections"`
	RejectedConnections int    `json:"turned_away"` // rejected because of the connection limit
}

// PoolStatus is the state of a pool.
type PoolStatus struct {
	Name    string `json:"name"`
	Removed bool   `json:"ending,omitempty"` // it is draining: a reload removed or replaced it
	proxy.Stats
	SourceError string           `json:"roster_error,omitempty"`       // why the source's current list is not in force
	Endpoints   []EndpointStatus `json:"endpoints"`                    // at most maxEndpointsListed
	Unlisted    int              `json:"endpoints_unlisted,omitempty"` // number left out of Endpoints
}

// EndpointStatus is the state of an endpoint.
type EndpointStatus struct {
	ID             string  `json:"id"`
	Address        string  `json:"address"`
	State          string  `json:"state"`              // endpointReady or endpointDraining, as the endpoint list says
	InactiveReason string  `json:"out,omitempty"`      // why it gets no requests except trials
	NextTrial      string  `json:"trial_in,omitempty"` // the time until it, or trialInFlight
	Weight         float64 `json:"weight"`             // smoothed ratio of its latency to the baseline latency
	ErrorRate      float64 `json:"errors"`             // share of recent outcomes that were errors, from 0 to 1
	InFlight       int     `json:"in_flight"`
	IdleConns      int     `json:"idle_connections"`
	CapacityShare  float64 `json:"warmth"`                 // share of its full capacity: below 1 during slow start
	SinceResponse  string  `json:"answered_ago,omitempty"` // absent if it has never responded
	LastFailure    string  `json:"fault,omitempty"`        // of the latest failed attempt; absent once one succeeds
}

// RouteStatus is the state of a route.
type RouteStatus struct {
	Name     string `json:"name"`
	Class    string `json:"class"`
	Pool     string `json:"pool"`
	InFlight int    `json:"under_way"`
	Tenants  int    `json:"tenants"` // that are currently tracked
}

// Status returns the daemon's state.
func (d *Daemon) Status() Status { return d.status((*pool).status) }

// Summary returns the daemon's state without the state of each endpoint.
func (d *Daemon) Summary() Status { return d.status((*pool).summary) }

// status returns the daemon's state. It calls poolStatus for the state of each pool.
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

// status returns the listener's state. The caller must hold Daemon.mu.
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

// summary returns the pool's state without the state of each endpoint.
func (p *pool) summary() PoolStatus {
	return PoolStatus{Name: p.name, Stats: p.proxy.Stats(), SourceError: p.source.get()}
}

// status returns the pool's state, including that of its endpoints.
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

// endpointStatus converts the status of an endpoint to the form of the admin interface.
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

// serveAdmin starts serving the admin interface. The returned function closes the interface and
// waits for all goroutines of the daemon.
func (d *Daemon) serveAdmin() (stop func()) {
	server := &http.Server{
		Handler: d.adminHandler(), ReadTimeout: adminReadTimeout, WriteTimeout: adminWriteTimeout,
	}
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
