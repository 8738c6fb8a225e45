package httpserver

import (
	"net/http"
	"strings"

	"rowancart/balancer"
)

// proxyStatusHeader is the header in which a proxy names the error for which it has generated a
// response itself (RFC 9209).
const proxyStatusHeader = "Proxy-Status"

// proxyErrorTypes maps the reasons of package balancer to the error types of RFC 9209 (2.3). The
// reason itself is written into the details.
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

// limitErrorType is the error type of RFC 9209 for a request that exceeds a configured limit.
const limitErrorType = "http_request_denied"

// setProxyStatus sets Proxy-Status, unless errorType is empty. Spaces in the details become
// underscores. All other characters of the details must need no escape in a quoted string.
func (s *Server) setProxyStatus(h http.Header, errorType, details string) {
	if errorType == "" {
		return
	}
	details = strings.ReplaceAll(details, " ", "_")
	h[proxyStatusHeader] = []string{s.name + "; error=" + errorType + `; details="` + details + `"`}
}
