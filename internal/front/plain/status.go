package plain

import (
	"net/http"
	"strings"

	"tuliprock"
)

// statusHeader tells callers why a proxy made an answer by itself (RFC 9209).
const statusHeader = "Proxy-Status"

// errorTypes are RFC 9209's names (2.3) for the module's reasons. Details have the reason itself.
var errorTypes = map[tuliprock.Reason]string{
	tuliprock.NoEndpoint: "destination_unavailable",
	tuliprock.NoRoom:     "connection_limit_reached",
	tuliprock.QueueFull:  "connection_limit_reached",
	tuliprock.OverQuota:  "http_request_denied",
	tuliprock.TooLate:    "http_response_timeout",
	tuliprock.NoBudget:   "destination_unavailable",
	tuliprock.NoAttempt:  "destination_unavailable",
	tuliprock.MayHaveRun: "connection_terminated",
}

// limitType is its name for a request that is over a limit of the configuration.
const limitType = "http_request_denied"

// proxyStatus words the header. Details must be of characters that a quoted string takes as they are.
func (s *Server) proxyStatus(h http.Header, kind, details string) {
	if kind != "" {
		h[statusHeader] = []string{s.name + "; error=" + kind + `; details="` + strings.ReplaceAll(details, " ", "_") + `"`}
	}
}
