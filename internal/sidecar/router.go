package sidecar

import (
	"fmt"
	"net/http"

	"rowancart/balancer"
	"rowancart/internal/httpserver"
	"rowancart/internal/metrics"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
	"rowancart/internal/route"
)

// requestRouter takes a request's class from the first segment of its path. One pool serves all
// classes of the settings. It implements httpserver.Router.
type requestRouter struct {
	pool        *proxy.Pool
	idempotency map[string]balancer.Idempotency // by class
	counters    *metrics.Counters
}

// newRequestRouter returns a router that forwards requests of the given classes to the pool.
func newRequestRouter(pool *proxy.Pool, classes []balancer.Class) *requestRouter {
	r := &requestRouter{pool: pool, idempotency: map[string]balancer.Idempotency{}}
	var names []string
	for _, class := range classes {
		r.idempotency[class.Name] = class.Idempotency
		names = append(names, class.Name)
	}
	r.counters = metrics.New(names)
	return r
}

// Route implements httpserver.Router.
func (r *requestRouter) Route(req *http.Request) (httpserver.Target, *httpserver.Rejection) {
	class, err := route.FirstSegment(req.URL.EscapedPath())
	if err != nil { // an endpoint might parse a different class from this path
		return httpserver.Target{}, &httpserver.Rejection{
			Status:  http.StatusBadRequest,
			Message: err.Error(),
			Close:   true,
		}
	}
	idempotency, listed := r.idempotency[class]
	if !listed {
		return httpserver.Target{}, &httpserver.Rejection{
			Status:  http.StatusNotFound,
			Message: fmt.Sprintf("class %.40q is not served", class),
			Close:   true,
		}
	}
	r.counters.RequestStarted()
	return httpserver.Target{
		Pool:        r.pool,
		Class:       class,
		Idempotency: idempotency,
		Tenant:      req.Header.Get(platform.TenantHeader),
		Done:        func(o httpserver.Outcome) { r.countOutcome(class, o) },
	}, nil
}

// countOutcome counts a request by its outcome once its response has been written. It leaves out
// requests that were not forwarded to the pool, and duplicates, whose originals are counted.
func (r *requestRouter) countOutcome(class string, outcome httpserver.Outcome) {
	if !outcome.Forwarded || outcome.Result.Kind == proxy.Duplicate {
		r.counters.RequestDropped()
		return
	}
	r.counters.RequestFinished(class, outcomeOf(outcome.Result.Kind))
}

// outcomeOf returns the metrics outcome under which a result is counted.
func outcomeOf(kind proxy.ResultKind) metrics.Outcome {
	switch kind {
	case proxy.Served:
		return metrics.Success
	case proxy.Rejected:
		return metrics.Overload
	}
	return metrics.Error
}
