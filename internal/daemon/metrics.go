package daemon

import (
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rowancart/balancer"
	"rowancart/internal/httpserver"
	"rowancart/internal/proxy"
	"rowancart/internal/ratelimit"
)

// metrics are the daemon's counters and histograms. No label value comes from a request, so that
// clients cannot add time series.
type metrics struct {
	registry *prometheus.Registry
	results  *prometheus.CounterVec
	limited  *prometheus.CounterVec
	unserved *prometheus.CounterVec
	latency  *prometheus.HistogramVec

	// weightedResults sums the priority weights of the results' classes.
	weightedResults *prometheus.CounterVec
}

// resultLabels maps each kind of result to the value of the label "kind".
var resultLabels = map[proxy.ResultKind]string{
	proxy.Served:    "served",
	proxy.Rejected:  "refused",
	proxy.Failed:    "failed",
	proxy.Duplicate: "duplicate",
}

// resultLabelNotForwarded is the value of the label "kind" for requests that had a route and
// exceeded no limit, but were rejected before they were passed to the pool, for example as invalid.
const resultLabelNotForwarded = "improper"

func newMetrics(d *Daemon) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		results:  counter("rowancart_answers_total", "Final answers, by route and kind.", "route", "kind"),
		limited: counter(
			"rowancart_limited_total",
			"Requests turned away by a limit, by route and limit.",
			"route",
			"limit",
		),
		unserved: counter("rowancart_unserved_total", "Requests refused or failed, by route and reason.", "route", "reason"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "rowancart_answer_seconds",
			Help:    "Time from a request's arrival to its final answer, by route.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 15),
		}, []string{"route"}),
		weightedResults: counter("rowancart_worth_total",
			"Worth of final answers as their classes state it, by route and kind.", "route", "kind"),
	}
	m.registry.MustRegister(m.results, m.unserved, m.limited, m.latency, m.weightedResults, &statusCollector{d})
	return m
}

// routeMetrics are the metrics of one route. All but the limited counter are looked up in advance.
type routeMetrics struct {
	metrics         *metrics
	route           string
	weight          float64 // priority weight: what each result adds to weightedResults
	results         map[proxy.ResultKind]prometheus.Counter
	weightedResults map[proxy.ResultKind]prometheus.Counter
	notForwarded    prometheus.Counter
	unserved        map[balancer.Reason]prometheus.Counter
	latency         prometheus.Observer
}

// forRoute returns the metrics of a route; weight is the priority weight of its class.
func (m *metrics) forRoute(route string, weight float64) *routeMetrics {
	r := &routeMetrics{
		metrics:         m,
		route:           route,
		weight:          weight,
		results:         map[proxy.ResultKind]prometheus.Counter{},
		weightedResults: map[proxy.ResultKind]prometheus.Counter{},
		notForwarded:    m.results.WithLabelValues(route, resultLabelNotForwarded),
		unserved:        map[balancer.Reason]prometheus.Counter{},
		latency:         m.latency.WithLabelValues(route),
	}
	for _, reason := range append([]balancer.Reason{proxy.BodyNotReplayable}, balancer.Reasons...) {
		r.unserved[reason] = m.unserved.WithLabelValues(route, string(reason))
	}
	for kind, label := range resultLabels {
		r.results[kind] = m.results.WithLabelValues(route, label)
		r.weightedResults[kind] = m.weightedResults.WithLabelValues(route, label)
	}
	return r
}

// deleteRoute removes the metrics of a route that no longer exists.
func (m *metrics) deleteRoute(route string) {
	labels := prometheus.Labels{"route": route}
	m.results.DeletePartialMatch(labels)
	m.limited.DeletePartialMatch(labels)
	m.unserved.DeletePartialMatch(labels)
	m.latency.DeletePartialMatch(labels)
	m.weightedResults.DeletePartialMatch(labels)
}

// observe counts a request that has been answered. Only a request that was forwarded to a pool
// has a result; the latency of other requests is not recorded.
func (r *routeMetrics) observe(outcome httpserver.Outcome, latency time.Duration) {
	if !outcome.Forwarded {
		r.notForwarded.Inc()
		return
	}
	result := outcome.Result
	r.results[result.Kind].Inc()
	r.weightedResults[result.Kind].Add(r.weight)
	if counter := r.unserved[result.Reason]; counter != nil {
		counter.Inc()
	}
	r.latency.Observe(latency.Seconds())
}

// countLimited counts a request rejected by a limit.
func (r *routeMetrics) countLimited(limit ratelimit.Limit) {
	r.metrics.limited.WithLabelValues(r.route, strings.ReplaceAll(string(limit), " ", "_")).Inc()
}

// statusCollector is a prometheus.Collector that reads the daemon's status at each scrape. The help
// texts of its metrics are part of the metrics interface, like their names.
type statusCollector struct{ daemon *Daemon }

var (
	generationDesc = newDesc("rowancart_generation", "Number of the configuration in force.")
	reloadsDesc    = newDesc("rowancart_reloads_total", "Reloads, by whether the file was good.", "good")
	endpointsDesc  = newDesc("rowancart_endpoints", "Endpoints of a pool, by state.", "pool", "state")
	requestsDesc   = newDesc("rowancart_calls", "Requests that a pool is at work on.", "pool")
	poolConnsDesc  = newDesc("rowancart_pool_connections", "Connections open to the endpoints of a pool.", "pool")
	conflictsDesc  = newDesc("rowancart_body_conflicts_total",
		"Attempts that found the body of their request in use by another attempt, by pool.", "pool")
	memoryDesc = newDesc("rowancart_request_memory_bytes",
		"Memory that requests have reserved, and the limit for that.", "kind")
	memoryRefusedDesc = newDesc("rowancart_request_memory_refused_total",
		"Reservations of memory that were refused: the request did with less, or was turned away.")
	connsDesc    = newDesc("rowancart_connections", "Callers' connections, by listener.", "listener")
	rejectedDesc = newDesc("rowancart_turned_away_total", "Connections turned away for lack of places, by listener.",
		"listener")
)

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

// Describe implements prometheus.Collector.
func (c *statusCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		generationDesc, reloadsDesc, endpointsDesc, requestsDesc, poolConnsDesc, conflictsDesc, connsDesc,
		rejectedDesc, memoryDesc, memoryRefusedDesc,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector. It omits pools and listeners that a reload has removed,
// since pools and listeners of the current configuration may have the same names, and thus labels.
func (c *statusCollector) Collect(out chan<- prometheus.Metric) {
	s := c.daemon.Summary()
	gauge := func(d *prometheus.Desc, v int, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v), labels...)
	}
	counter := func(d *prometheus.Desc, v int, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge(generationDesc, s.Generation)
	counter(reloadsDesc, s.Reloads.Succeeded, strconv.FormatBool(true))
	counter(reloadsDesc, s.Reloads.Failed, strconv.FormatBool(false))
	memory := c.daemon.memory.Usage()
	gauge(memoryDesc, int(memory.Used), "reserved")
	gauge(memoryDesc, int(memory.Limit), "limit")
	counter(memoryRefusedDesc, int(memory.Refused))
	for _, p := range s.Pools {
		if p.Removed {
			continue
		}
		gauge(endpointsDesc, p.Ready, p.Name, endpointReady)
		gauge(endpointsDesc, p.Draining, p.Name, endpointDraining)
		gauge(requestsDesc, p.Calls, p.Name)
		gauge(poolConnsDesc, p.Connections, p.Name)
		counter(conflictsDesc, int(p.BodyConflicts), p.Name)
	}
	for _, l := range s.Listeners {
		if !l.Removed {
			gauge(connsDesc, l.Connections, l.Name)
			counter(rejectedDesc, l.RejectedConnections, l.Name)
		}
	}
}
