package platform

import "strconv"

// Header fields of requests and responses, in canonical form.
const (
	RequestIDHeader      = "Req-Id"
	TenantHeader         = "Req-Owner"
	DeadlineHeader       = "Req-Deadline-Ms" // how long the sender waits for the response, in milliseconds
	ClientRetryHeader    = "Req-Retry"       // ClientRetryValue on a client's retry
	IdempotencyKeyHeader = "Idempotency-Key"
	RejectedHeader       = "Srv-Declined" // RejectedValue on a response to a request that the endpoint has not begun
	LoadReportHeader     = "Srv-Load"     // name=value pairs, separated by commas
)

// Values of header fields.
const (
	ClientRetryValue = "1"
	RejectedValue    = "1"
)

// HealthPath is the path at which a sidecar says whether it is ready.
const HealthPath = "/_health"

// The path of endpoint discovery, and the parameters of a watch.
const (
	EndpointListPath = "/catalog/members"
	WatchParameter   = "watch" // WatchValue
	WatchValue       = "1"
	VersionParameter = "after" // the version after which changes are wanted
)

// WatchQuery returns the query of a watch for the changes after a version.
func WatchQuery(version int64) string {
	return WatchParameter + "=" + WatchValue + "&" + VersionParameter + "=" + strconv.FormatInt(version, 10)
}
