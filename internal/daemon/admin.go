package daemon

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rowancart/balancer"
	"rowancart/internal/proxy"
	"rowancart/internal/ratelimit"
)

// Status is what the admin listener tells of a daemon.
type Status struct {
	File       string           `json:"file"`
	Generation int              `json:"generation"`
	Draining   int              `json:"draining_generations"` // older ones with requests under way
	Reloads    reloads          `json:"reloads"`
	Warnings   []string         `json:"warnings,omitempty"`
	Listeners  []ListenerStatus `json:"listeners"`
	Pools      []PoolStatus     `json:"pools"`
	Routes     []RouteStatus    `json:"routes"`
}

// ListenerStatus is what is told of a listener.
type ListenerStatus struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Ending      bool   `json:"ending,omitempty"` // the configuration has it no more
	Connections int    `json:"connections"`
	TurnedAway  int    `json:"turned_away"` // connections for which there was no place
}

// PoolStatus is what is told of a pool.
type PoolStatus struct {
	Name   string `json:"name"`
	Ending bool   `json:"ending,omitempty"` // the configuration has it no more, or another of its name
	proxy.Stats
	Roster    string           `json:"roster_error,omitempty"` // why the roster as it is now is not in force
	Endpoints []EndpointStatus `json:"endpoints"`              // the first endpointsMost of them
	Unlisted  int              `json:"endpoints_unlisted,omitempty"`
}

// endpointsMost bounds what one status tells of endpoints.
const endpointsMost = 1000

// EndpointStatus is what is told of an endpoint.
type EndpointStatus struct {
	ID       string  `json:"id"`
	Address  string  `json:"address"`
	State    string  `json:"state"`         // ready or draining, as the roster says
	Out      string  `json:"out,omitempty"` // why it gets no ordinary turns
	TrialIn  string  `json:"trial_in,omitempty"`
	Weight   float64 `json:"weight"` // what it takes, in multiples of what calls take when all is calm
	Errors   float64 `json:"errors"` // share of recent outcomes
	InFlight int     `json:"in_flight"`
	Idle     int     `json:"idle_connections"`
	Warmth   float64 `json:"warmth"`
	Answered string  `json:"answered_ago,omitempty"` // absent: it never has
	Fault    string  `json:"fault,omitempty"`        // how the latest attempt failed, until one succeeds
}

func endpointStatus(e proxy.EndpointStatus) EndpointStatus {
	s := EndpointStatus{ID: e.ID, Address: e.Addr, State: "ready", Out: string(e.Inactive), Weight: rounded(e.Weight), Errors: rounded(e.Errors),
		InFlight: e.InFlight, Idle: e.IdleConns, Warmth: rounded(e.Warmth), Fault: e.LastFailure}
	if e.State != balancer.Ready {
		s.State = "draining"
	}
	if e.SinceResponse >= 0 {
		s.Answered = e.SinceResponse.Round(time.Millisecond).String()
	}
	switch {
	case e.Inactive == "" || e.Inactive == balancer.InactiveOutsideSubset:
	case e.NextTrial < 0:
		s.TrialIn = "under way"
	default:
		s.TrialIn = e.NextTrial.Round(time.Millisecond).String()
	}
	return s
}

func rounded(x float64) float64 { return math.Round(x*1000) / 1000 }

// RouteStatus is what is told of a route.
type RouteStatus struct {
	Name     string `json:"name"`
	Class    string `json:"class"`
	Pool     string `json:"pool"`
	UnderWay int    `json:"under_way"`
	Tenants  int    `json:"tenants"` // told apart at present
}

// Status tells how the daemon is, and where asked how each endpoint stands.
func (d *Daemon) Status(endpoints bool) Status {
	d.reloading.Lock()
	pools, now := slices.Clone(d.pools), d.now
	s := Status{Draining: len(d.retired)}
	d.reloading.Unlock()
	slices.SortStableFunc(pools, func(x, y *pool) int { return strings.Compare(x.name, y.name) })
	for _, p := range pools {
		ps := PoolStatus{Name: p.name, Ending: now.pools[p.name] != p, Stats: p.engine.Stats(), Roster: p.fault()}
		if endpoints {
			for _, e := range p.engine.Endpoints() {
				if len(ps.Endpoints) == endpointsMost {
					ps.Unlisted++
					continue
				}
				ps.Endpoints = append(ps.Endpoints, endpointStatus(e))
			}
		}
		s.Pools = append(s.Pools, ps)
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	s.File, s.Generation, s.Reloads, s.Warnings = d.path, d.now.n, d.reloads, d.now.conf.Warnings
	for _, l := range d.listeners {
		open, shed := l.conns.Counts()
		s.Listeners = append(s.Listeners, ListenerStatus{Name: l.name, Address: l.conns.Addr().String(), Ending: l.last != nil,
			Connections: open, TurnedAway: shed})
	}
	for _, r := range d.now.conf.Routes {
		g := d.gates[r.Name]
		g.mu.Lock()
		out, tenants := g.l.Usage()
		g.mu.Unlock()
		s.Routes = append(s.Routes, RouteStatus{Name: r.Name, Class: r.Class.Name, Pool: r.Pool, UnderWay: out, Tenants: tenants})
	}
	return s
}

// handler serves the admin listener.
func (d *Daemon) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(d.Status(true)) // an error means that the reader has left
	})
	mux.HandleFunc("POST /reload", func(w http.ResponseWriter, _ *http.Request) {
		if err := d.Reload(); err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		_, _ = w.Write([]byte("reloaded\n"))
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.meter.registry, promhttp.HandlerOpts{}))
	return mux
}

// meter keeps the daemon's metrics. Labels come from the configuration alone, so that callers cannot make more of them.
type meter struct {
	registry *prometheus.Registry
	answers  *prometheus.CounterVec
	limits   *prometheus.CounterVec
	unserved *prometheus.CounterVec
	took     *prometheus.HistogramVec
	worth    *prometheus.CounterVec
}

// routeMeter has a route's at hand.
type routeMeter struct {
	m     *meter
	route string
	kinds map[proxy.ResultKind]prometheus.Counter
	bad   prometheus.Counter
	why   map[balancer.Reason]prometheus.Counter
	took  prometheus.Observer
	worth map[proxy.ResultKind]prometheus.Counter
	each  float64 // worth of an answer
}

var kindNames = map[proxy.ResultKind]string{proxy.Served: "served", proxy.Rejected: "refused", proxy.Failed: "failed", proxy.Duplicate: "duplicate"}

func newMeter(d *Daemon) *meter {
	m := &meter{registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rowancart_answers_total", Help: "Final answers, by route and kind."},
			[]string{"route", "kind"}),
		limits: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rowancart_limited_total",
			Help: "Requests turned away by a limit, by route and limit."}, []string{"route", "limit"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "rowancart_answer_seconds",
			Help: "Time from a request's arrival to its final answer, by route.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 15)}, []string{"route"}),
	}
	m.worth = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rowancart_worth_total",
		Help: "Worth of final answers as their classes state it, by route and kind."}, []string{"route", "kind"})
	m.unserved = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "rowancart_unserved_total",
		Help: "Requests refused or failed, by route and reason."}, []string{"route", "reason"})
	m.registry.MustRegister(m.answers, m.unserved, m.limits, m.took, m.worth, &collector{d})
	return m
}

func (m *meter) route(name string, worth float64) *routeMeter {
	r := &routeMeter{m: m, route: name, each: worth, worth: map[proxy.ResultKind]prometheus.Counter{}, kinds: map[proxy.ResultKind]prometheus.Counter{}, took: m.took.WithLabelValues(name),
		bad: m.answers.WithLabelValues(name, "improper")}
	r.why = map[balancer.Reason]prometheus.Counter{}
	for _, why := range balancer.Reasons {
		r.why[why] = m.unserved.WithLabelValues(name, string(why))
	}
	for kind, word := range kindNames {
		r.kinds[kind] = m.answers.WithLabelValues(name, word)
		r.worth[kind] = m.worth.WithLabelValues(name, word)
	}
	return r
}

// forget drops the metrics of a route that is gone.
func (m *meter) forget(route string) {
	labels := prometheus.Labels{"route": route}
	m.answers.DeletePartialMatch(labels)
	m.limits.DeletePartialMatch(labels)
	m.unserved.DeletePartialMatch(labels)
	m.took.DeletePartialMatch(labels)
	m.worth.DeletePartialMatch(labels)
}

func (r *routeMeter) over(taken bool, a proxy.Result, took time.Duration) {
	if !taken {
		r.bad.Inc()
		return
	}
	r.kinds[a.Kind].Inc()
	r.worth[a.Kind].Add(r.each)
	if c := r.why[a.Reason]; c != nil {
		c.Inc()
	}
	r.took.Observe(took.Seconds())
}

func (r *routeMeter) limited(why ratelimit.Limit) {
	r.m.limits.WithLabelValues(r.route, strings.ReplaceAll(string(why), " ", "_")).Inc()
}

// collector gives what is read off the daemon when metrics are asked for.
type collector struct{ d *Daemon }

var (
	generationDesc = prometheus.NewDesc("rowancart_generation", "Number of the configuration in force.", nil, nil)
	reloadsDesc    = prometheus.NewDesc("rowancart_reloads_total", "Reloads, by whether the file was good.", []string{"good"}, nil)
	endpointsDesc  = prometheus.NewDesc("rowancart_endpoints", "Endpoints of a pool, by state.", []string{"pool", "state"}, nil)
	callsDesc      = prometheus.NewDesc("rowancart_calls", "Requests that a pool is at work on.", []string{"pool"}, nil)
	poolConnsDesc  = prometheus.NewDesc("rowancart_pool_connections", "Connections open to the endpoints of a pool.", []string{"pool"}, nil)
	connsDesc      = prometheus.NewDesc("rowancart_connections", "Callers' connections, by listener.", []string{"listener"}, nil)
	turnedDesc     = prometheus.NewDesc("rowancart_turned_away_total", "Connections turned away for lack of places, by listener.", []string{"listener"}, nil)
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{generationDesc, reloadsDesc, endpointsDesc, callsDesc, poolConnsDesc, connsDesc, turnedDesc} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	s := c.d.Status(false)
	gauge := func(d *prometheus.Desc, v int, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v), labels...)
	}
	count := func(d *prometheus.Desc, v int, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge(generationDesc, s.Generation)
	count(reloadsDesc, s.Reloads.Good, strconv.FormatBool(true))
	count(reloadsDesc, s.Reloads.Bad, strconv.FormatBool(false))
	for _, p := range s.Pools {
		if p.Ending { // its successor may have its name
			continue
		}
		gauge(endpointsDesc, p.Ready, p.Name, "ready")
		gauge(endpointsDesc, p.Draining, p.Name, "draining")
		gauge(callsDesc, p.Calls, p.Name)
		gauge(poolConnsDesc, p.Connections, p.Name)
	}
	for _, l := range s.Listeners {
		if !l.Ending { // its successor may have its name
			gauge(connsDesc, l.Connections, l.Name)
			count(turnedDesc, l.TurnedAway, l.Name)
		}
	}
}
