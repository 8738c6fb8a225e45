package daemon

import (
	"net/http"
	"strings"
	"time"

	"rowancart/internal/httpserver"
	"rowancart/internal/platform"
	"rowancart/internal/ratelimit"
	"rowancart/internal/route"
)

// concurrencyRetryAfter is the Retry-After of responses to requests over a concurrency limit, and
// the minimum for requests over a rate limit.
const concurrencyRetryAfter = 500 * time.Millisecond

// Route implements httpserver.Router. The route, limits and pool of a request all come from one
// generation, which stays in use until the request has been answered.
func (l *listener) Route(r *http.Request) (httpserver.Target, *httpserver.Rejection) {
	if err := route.CheckPath(r.URL.EscapedPath()); err != nil {
		rejection := &httpserver.Rejection{Status: http.StatusBadRequest, Message: err.Error(), Close: true}
		return httpserver.Target{}, rejection
	}
	arrived := time.Now()
	d := l.daemon
	d.mu.RLock()
	defer d.mu.RUnlock()
	g := d.current
	if l.isRemoved() {
		g = l.lastGeneration
	}
	entry, rejection := g.tables[l.name].find(r)
	if rejection != nil {
		return httpserver.Target{}, rejection
	}
	tenant := r.Header.Get(entry.TenantHeader)
	permit, rejection := entry.acquire(arrived, tenant)
	if rejection != nil {
		return httpserver.Target{}, rejection
	}
	g.acquire()
	target := httpserver.Target{
		Pool:           entry.pool.proxy,
		Class:          entry.class,
		Idempotency:    entry.Class.Idempotency,
		Tenant:         tenant,
		DefaultTimeout: entry.Policy.ClientTimeout,
		MaxTimeout:     entry.Policy.RequestTimeout,
		AnyMethod:      true,
		Done: func(outcome httpserver.Outcome) {
			entry.metrics.observe(outcome, time.Since(arrived))
			entry.limiter.release(permit)
			g.release()
		},
	}
	if r.Header.Get(platform.RequestIDHeader) == "" {
		target.DefaultID = d.requestIDs.next()
	}
	return target, nil
}

// find returns the route of a request, or a rejection if no route matches.
func (t *routeTable) find(r *http.Request) (*routeEntry, *httpserver.Rejection) {
	found := t.Find(route.Request{Host: r.Host, Path: r.URL.Path, Method: r.Method, Header: r.Header.Get})
	switch {
	case found.Index >= 0:
		return t.entries[found.Index], nil
	case len(found.Allowed) > 0:
		return nil, &httpserver.Rejection{
			Status:  http.StatusMethodNotAllowed,
			Message: "methods here: " + strings.Join(found.Allowed, ", "),
			Allow:   found.Allowed,
		}
	}
	return nil, &httpserver.Rejection{Status: http.StatusNotFound, Message: "no route"}
}

// acquire acquires a permit from the route's limiter. If a limit is exceeded, it returns a
// rejection that names the limit, with status 429 for a rate limit and 503 for a concurrency limit.
func (e *routeEntry) acquire(arrived time.Time, tenant string) (ratelimit.Permit, *httpserver.Rejection) {
	permit, exceeded := e.limiter.acquire(arrived, tenant)
	if exceeded.Limit == ratelimit.None {
		return permit, nil
	}
	e.metrics.countLimited(exceeded.Limit)
	status := http.StatusServiceUnavailable
	if exceeded.RetryAfter > 0 {
		status = http.StatusTooManyRequests
	}
	return permit, &httpserver.Rejection{
		Status:     status,
		Message:    "over the limit: " + string(exceeded.Limit),
		Limit:      string(exceeded.Limit),
		RetryAfter: max(exceeded.RetryAfter, concurrencyRetryAfter),
	}
}
