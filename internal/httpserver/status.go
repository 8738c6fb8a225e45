package httpserver

import (
	"net/http"
	"strings"

	"rowancart/balancer"
)

// statusHeader tells callers why a proxy made an answer by itself (RFC 9209).
const statusHeader = "Proxy-Status"

// errorTypes are RFC 9209's names (2.3) for the module's reasons. Details have the reason itself.
var errorTypes = map[balancer.Reason]string{
	balancer.NoEndpoint:        "destination_unavailable",
	balancer.NoCapacity:        "connection_limit_reached",
	balancer.QueueFull:         "connection_limit_reached",
	balancer.OverQuota:         "http_request_denied",
	balancer.DeadlineTooClose:  "http_response_timeout",
	balancer.RetryBudgetSpent:  "destination_unavailable",
	balancer.AttemptsExhausted: "destination_unavailable",
	balancer.MayHaveRun:        "connection_terminated",
}

// limitType is its name for a request that is over a limit of the configuration.
const limitType = "http_request_denied"

// proxyStatus words the header. Details must be of characters that a quoted string takes as they are.
func (s *Server) proxyStatus(h http.Header, kind, details string) {
	if kind != "" {
		h[statusHeader] = []string{s.name + "; error=" + kind + `; details="` + strings.ReplaceAll(details, " ", "_") + `"`}
	}
}
