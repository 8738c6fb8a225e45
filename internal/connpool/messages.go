package connpool

import (
	"net/http"
	"time"

	"rowancart/internal/membudget"
	"rowancart/internal/sharedbody"
)

// The size limits of requests and responses.
const (
	MaxBody         = 64 << 10 // bytes of a request's or a response's body that is buffered
	MaxHead         = 16 << 10 // bytes of the first line and the headers together
	MaxStreamedBody = 40 << 20 // bytes of a body that is streamed; the platform's bodies have up to 32 MB
)

// Request is a request to an endpoint.
type Request struct {
	Method        string
	Target        string // in the request line, as the client sent it
	Host          string
	Header        http.Header        // end-to-end headers; the deadline header is written for each attempt
	Body          *sharedbody.Body   // nil: none
	Memory        *membudget.Account // of the request; nil: there is no limit
	ClientTimeout time.Duration      // how long the client waits, once it has sent the last byte of a long body
}

// Response is an endpoint's response.
type Response struct {
	Status int
	Header http.Header // the headers for the client
	Body   []byte      // the complete body, or the beginning if there is a Stream
	Stream *Stream     // the rest of the body, after Body; the receiver of the response has to close it. nil: none
	Length int64       // of the complete body in bytes, if there is a Stream; below 0: unknown

	reservedBody int // bytes that are reserved for Body
}

// ReleaseBody drops Body, which must not be used any more, and gives back the memory that was
// reserved for it in the account of the request.
func (r *Response) ReleaseBody(memory *membudget.Account) {
	r.Body = nil
	memory.Release(r.reservedBody)
	r.reservedBody = 0
}
