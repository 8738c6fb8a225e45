package connpool

import (
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

// The limits of messages.
const (
	MaxBody         = 64 << 10 // bytes of a request's or a response's body that is held in memory
	MaxHead         = 16 << 10 // bytes of a head
	MaxStreamedBody = 40 << 20 // bytes of a body that is streamed; the platform's have up to 32 MB
)

// Request is a request as endpoints get it.
type Request struct {
	Method        string
	URL           *url.URL
	Host          string
	Header        http.Header // end-to-end headers; the deadline is set for each attempt
	Body          []byte      // the whole body, or its beginning
	Upload        *Upload     // what follows Body; nil: nothing
	ClientTimeout time.Duration
	Release       func() // called when no attempt reads the body any more, which may never be the case; nil: nothing
}

// Upload is the part of a request's body that follows its beginning. Request.ClientTimeout is how
// long the client waits once the last byte of such a body has been written.
type Upload struct {
	Length    int64     // of the whole body; below 0: unknown
	Buffered  [][]byte  // what has arrived, in order
	Remaining io.Reader // what has not been read yet; nil: nothing
	Release   func()    // called before Remaining is read, when Buffered will not be sent again; nil: nothing
	// SentAt returns the earliest moment at which the client can have sent the last byte, which is
	// now if it can't have: its time runs from then on, read or not. It is called by the reader of
	// Remaining; nil: unknown.
	SentAt   func() time.Time
	consumed atomic.Bool
}

// bodyLength returns the length of the whole body, below 0 where that is unknown.
func (r *Request) bodyLength() int64 {
	if r.Upload != nil {
		return r.Upload.Length
	}
	return int64(len(r.Body))
}

// clientDeadline returns until when the client of a request with an Upload waits at least: its time
// counts from the last byte of its body.
func (r *Request) clientDeadline() time.Time {
	sentAt := time.Now()
	if r.Upload.SentAt != nil {
		sentAt = r.Upload.SentAt()
	}
	return sentAt.Add(r.ClientTimeout)
}

// BodyConsumed reports whether so much of the body has been sent that it can't be sent again.
func (r *Request) BodyConsumed() bool { return r.Upload != nil && r.Upload.consumed.Load() }

// Response is an endpoint's response.
type Response struct {
	Status int
	Header http.Header // the headers for the client
	Body   []byte      // the whole body, or its beginning
	Stream *Stream     // what follows Body; nil: nothing. Whoever takes the response has to close it
	Length int64       // of the whole body where there is a Stream; below 0: unknown
}
