// Package logkey holds the attribute keys of structured log lines that more than one package uses.
// Each key stands for one thing in all of them.
package logkey

// The keys, each with the value that it names.
const (
	Err        = "err"        // the error that the line is about
	Reason     = "reason"     // a typed cause that is no error
	Addr       = "addr"       // host:port of this process or of a peer
	Listener   = "listener"   // name of a listener
	Endpoint   = "endpoint"   // id of an endpoint
	Endpoints  = "endpoints"  // number of endpoints
	Pool       = "pool"       // name of a pool
	Instance   = "instance"   // index of an instance of a fleet
	PID        = "pid"        // id of a process
	Path       = "path"       // of a file or directory
	Age        = "age"        // time since something was written or last seen
	Timeout    = "timeout"    // within which something has to end
	RetryDelay = "retry_in"   // time until the next try
	Generation = "generation" // number of a configuration in force
	Queued     = "queued"     // number of requests in a queue
	RequestID  = "request_id" // id of a request
	Count      = "count"      // number of occurrences that the line stands for
)
