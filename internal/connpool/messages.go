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
	MaxBody         = 64 << 10 // bytes of a request's or a response's body that is buffered
	MaxHead         = 16 << 10 // bytes of a head
	MaxStreamedBody = 40 << 20 // bytes of a body that is streamed; the platform's have up to 32 MB
)

// Request is a request as endpoints get it.
type Request struct {
	Method        string
	URL           *url.URL
	Host          string
	Header        http.Header   // end-to-end headers; the deadline is set for each attempt
	Body          []byte        // the complete body, or its beginning
	Upload        *Upload       // what follows Body; nil: nothing
	ClientTimeout time.Duration // for which the client waits once an Upload has been sent completely
	Release       func()        // called when no attempt reads the body any more, if ever; may be nil
}

// Upload is the part of a request's body that follows its beginning.
type Upload struct {
	Length    int64     // of the complete body; below 0: unknown
	Buffered  [][]byte  // what has arrived, in order
	Remaining io.Reader // what has not been read yet; nil: nothing
	Release   func()    // called before Remaining is read, when Buffered will not be sent again; may be nil

	// SentAt returns the earliest time at which the client can have sent the last byte of the body,
	// or the present time if some of it is still to come. The client's timeout counts from then,
	// whether the byte has been read or not. The goroutine that reads Remaining calls it; nil:
	// unknown.
	SentAt func() time.Time

	consumed atomic.Bool // Remaining has been read from
}

// bodyLength returns the length of the complete body, below 0 if that is unknown.
func (r *Request) bodyLength() int64 {
	if r.Upload != nil {
		return r.Upload.Length
	}
	return int64(len(r.Body))
}

// clientDeadline returns until when the client of a request with an Upload waits at least: its
// timeout counts from the last byte of its body.
func (r *Request) clientDeadline() time.Time {
	sentAt := time.Now()
	if r.Upload.SentAt != nil {
		sentAt = r.Upload.SentAt()
	}
	return sentAt.Add(r.ClientTimeout)
}

// BodyConsumed reports whether the body can't be sent again, since more of it than is buffered has
// been read from the client.
func (r *Request) BodyConsumed() bool { return r.Upload != nil && r.Upload.consumed.Load() }

// Response is an endpoint's response.
type Response struct {
	Status int
	Header http.Header // the headers for the client
	Body   []byte      // the complete body, or its beginning
	Stream *Stream     // what follows Body; nil: nothing. The receiver of the response has to close it
	Length int64       // of the complete body if there is a Stream; below 0: unknown
}
