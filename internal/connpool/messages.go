package connpool

import (
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
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
	URL           *url.URL
	Host          string
	Header        http.Header   // end-to-end headers; the deadline header is written for each attempt
	Body          []byte        // the complete body, or the beginning if there is an Upload
	Upload        *Upload       // the rest of the body, after Body; nil: none
	ClientTimeout time.Duration // how long the client waits for the response, once it has sent the last byte of an Upload
	Release       func()        // called at most once, when no attempt reads the body any more; may be nil
}

// Upload is the part of a long request body that follows Request.Body.
type Upload struct {
	Length    int64     // of the complete body in bytes; below 0: unknown
	Buffered  [][]byte  // the parts that have been read from the client, in order
	Remaining io.Reader // reads the rest from the client; nil: Buffered is all
	Release   func()    // called before Remaining is first read: Buffered will not be sent again; may be nil

	// SentAt returns the earliest time at which the client can have sent the last byte of the body,
	// or the present time if a part of it has not arrived yet. The client's timeout counts from that
	// time, whether the byte has been read or not. The goroutine that reads Remaining calls SentAt.
	// If SentAt is nil, the time is unknown.
	SentAt func() time.Time

	consumed atomic.Bool  // Remaining has been read from
	writers  atomic.Int32 // attempts that are writing the body
}

// bodyLength returns the length of the complete body in bytes; below 0 if it is unknown.
func (r *Request) bodyLength() int64 {
	if r.Upload != nil {
		return r.Upload.Length
	}
	return int64(len(r.Body))
}

// clientDeadline returns the earliest time at which the client of a request with an Upload may stop
// waiting: its timeout counts from when it sent the last byte of the body.
func (r *Request) clientDeadline() time.Time {
	sentAt := time.Now()
	if r.Upload.SentAt != nil {
		sentAt = r.Upload.SentAt()
	}
	return sentAt.Add(r.ClientTimeout)
}

// BodyConsumed reports whether the body can't be sent again, because reading the part of it that is
// not buffered has begun.
func (r *Request) BodyConsumed() bool { return r.Upload != nil && r.Upload.consumed.Load() }

// Response is an endpoint's response.
type Response struct {
	Status int
	Header http.Header // the headers for the client
	Body   []byte      // the complete body, or the beginning if there is a Stream
	Stream *Stream     // the rest of the body, after Body; the receiver of the response has to close it. nil: none
	Length int64       // of the complete body in bytes, if there is a Stream; below 0: unknown
}
