package platform

import "strconv"

// Header fields of requests and responses, in canonical form.
const (
	RequestIDHeader      = "Req-Id"
	TenantHeader         = "Req-Owner"
	DeadlineHeader       = "Req-Deadline-Ms" // how long the sender waits for the response, in ms
	ClientRetryHeader    = "Req-Retry"       // ClientRetryValue if the request is a retry by the client
	IdempotencyKeyHeader = "Idempotency-Key"
	RejectedHeader       = "Srv-Declined" // RejectedValue if the endpoint rejected the request without running it
	LoadReportHeader     = "Srv-Load"     // name=value pairs, separated by commas
)

// Values of header fields.
const (
	ClientRetryValue = "1"
	RejectedValue    = "1"
)

// HealthPath is the path at which a sidecar reports whether it is ready.
const HealthPath = "/_health"

// The path of endpoint discovery, and the query parameters of a watch.
const (
	EndpointListPath = "/catalog/members"
	WatchParameter   = "watch" // always WatchValue
	WatchValue       = "1"
	VersionParameter = "after" // version after which changes are requested
)

// WatchQuery returns the query string of a watch for the changes after a version.
func WatchQuery(version int64) string {
	return WatchParameter + "=" + WatchValue + "&" + VersionParameter + "=" + strconv.FormatInt(version, 10)
}
