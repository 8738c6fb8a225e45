package httpserver

import (
	"net/http"
	"strings"

	"rowancart/balancer"
)

// proxyStatusHeader tells callers why a proxy made an answer by itself (RFC 9209).
const proxyStatusHeader = "Proxy-Status"

// proxyErrorTypes are RFC 9209's names (2.3) for the module's reasons. Details have the reason itself.
var proxyErrorTypes = map[balancer.Reason]string{
	balancer.NoEndpoint:        "destination_unavailable",
	balancer.NoCapacity:        "connection_limit_reached",
	balancer.QueueFull:         "connection_limit_reached",
	balancer.OverQuota:         "http_request_denied",
	balancer.DeadlineTooClose:  "http_response_timeout",
	balancer.RetryBudgetSpent:  "destination_unavailable",
	balancer.AttemptsExhausted: "destination_unavailable",
	balancer.MayHaveRun:        "connection_terminated",
}

// limitErrorType is its name for a request that is over a limit of the configuration.
const limitErrorType = "http_request_denied"

// setProxyStatus words the header. Details must be of characters that a quoted string takes as they are.
func (s *Server) setProxyStatus(h http.Header, kind, details string) {
	if kind != "" {
		h[proxyStatusHeader] = []string{s.name + "; error=" + kind + `; details="` + strings.ReplaceAll(details, " ", "_") + `"`}
	}
}
