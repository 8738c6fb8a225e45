package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"rowancart/internal/httpserver"
	"rowancart/internal/proxy"
	"rowancart/internal/ratelimit"
	"rowancart/internal/route"
)

const placeAdvice = 500 * time.Millisecond // when one turned away by a limit of concurrency may come again

// Route implements plain.Desk: one configuration decides route, limits and pool, from here to the answer.
func (l *listener) Route(r *http.Request) (httpserver.Target, *httpserver.Rejection) {
	if err := route.Check(r.URL.EscapedPath()); err != nil {
		return httpserver.Target{}, &httpserver.Rejection{Status: http.StatusBadRequest, Reason: err.Error(), Close: true}
	}
	d, arrived := l.daemon, time.Now()
	d.mu.RLock()
	defer d.mu.RUnlock()
	g, name := d.now, l.name
	if l.last != nil {
		g = l.last
	}
	t := g.tables[name]
	n, allowed := t.Find(r.Host, r.URL.Path, r.Method, r.Header.Get)
	switch {
	case n < 0 && len(allowed) > 0:
		return httpserver.Target{}, &httpserver.Rejection{Status: http.StatusMethodNotAllowed, Reason: "methods here: " + strings.Join(allowed, ", "),
			Allow: allowed}
	case n < 0:
		return httpserver.Target{}, &httpserver.Rejection{Status: http.StatusNotFound, Reason: "no route"}
	}
	s := t.routes[n]
	tenant := r.Header.Get(s.Tenant)
	s.gate.mu.Lock()
	pass, why, wait := s.gate.l.Acquire(arrived, tenant)
	s.gate.mu.Unlock()
	if why != ratelimit.None {
		s.meter.limited(why)
		status := http.StatusServiceUnavailable
		if wait > 0 {
			status = http.StatusTooManyRequests
		}
		return httpserver.Target{}, &httpserver.Rejection{Status: status, Reason: "over the limit: " + string(why), Limit: string(why), RetryAfter: max(wait, placeAdvice)}
	}
	g.users.Add(1)
	v := httpserver.Target{Pool: s.pool.engine, Class: s.class, Effect: s.Class.Effect, Tenant: tenant, DefaultTimeout: s.Policy.ClientWaits,
		MaxTimeout: s.Policy.RequestTimeout, AnyMethod: true, Done: func(taken bool, a proxy.Result) {
			s.meter.over(taken, a, time.Since(arrived))
			s.gate.mu.Lock()
			s.gate.l.Release(pass)
			s.gate.mu.Unlock()
			g.release()
		}}
	if r.Header.Get("Req-Id") == "" {
		v.DefaultID = fmt.Sprintf("%016x-%x", d.seed, d.serial.Add(1))
	}
	return v, nil
}
