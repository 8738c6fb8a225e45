package httpserver

import (
	"net/http"
	"strings"

	"rowancart/balancer"
)

// proxyStatusHeader names the error for which a proxy has generated a response itself (RFC 9209).
const proxyStatusHeader = "Proxy-Status"

// proxyErrorTypes are RFC 9209's error types (2.3) for the reasons of package balancer. The reason
// itself goes into the details.
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

// limitErrorType is RFC 9209's error type of a request that exceeds a configured limit.
const limitErrorType = "http_request_denied"

// setProxyStatus sets Proxy-Status, unless there is no error type. Apart from spaces, the details
// must consist of characters that need no escape in a quoted string.
func (s *Server) setProxyStatus(h http.Header, errorType, details string) {
	if errorType == "" {
		return
	}
	details = strings.ReplaceAll(details, " ", "_")
	h[proxyStatusHeader] = []string{s.name + "; error=" + errorType + `; details="` + details + `"`}
}
