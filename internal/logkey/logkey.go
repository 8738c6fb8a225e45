// Package logkey holds the attribute keys of structured log lines that more than one package uses.
// Each key has the same meaning in all of them.
package logkey

// The keys. Each comment describes the value.
const (
	Err        = "err"        // the error that the line reports
	Reason     = "reason"     // a typed cause that is not an error
	Addr       = "addr"       // host:port of this process or of a peer
	Listener   = "listener"   // name of a listener
	Endpoint   = "endpoint"   // ID of an endpoint
	Endpoints  = "endpoints"  // number of endpoints
	List       = "list"       // an endpoint list: number of entries, and of draining ones
	Version    = "version"    // version of an endpoint list
	Pool       = "pool"       // name of a pool
	Instance   = "instance"   // index of an instance in a fleet
	PID        = "pid"        // ID of a process
	Path       = "path"       // path of a file or directory
	Age        = "age"        // time since something was written or last seen
	Timeout    = "timeout"    // time limit of an operation
	RetryDelay = "retry_in"   // time until the next attempt
	Generation = "generation" // generation of the configuration in use
	Queued     = "queued"     // number of requests in a queue
	RequestID  = "request_id" // ID of a request
	Count      = "count"      // number of occurrences that the line summarizes
)
