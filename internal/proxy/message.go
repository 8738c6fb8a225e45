package proxy

import (
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"
)

// What both sides of an engine go by.
const (
	MaxBody         = 64 << 10          // bytes of a request's or an answer's body
	MaxHead         = 16 << 10          // bytes of its head
	MaxStreamedBody = 40 << 20          // bytes of a body that flows; the platform's have up to 32 MB
	DeadlineHeader  = "Req-Deadline-Ms" // how long a caller waits, in milliseconds
)

const (
	minBodyGrowth        = 4 << 10                // bytes by which room for an answer of untold length grows at least
	streamAfter          = 50 * time.Millisecond  // an answer of untold length that has not ended by then is passed on as it comes
	earlyResponseTimeout = 200 * time.Millisecond // for an answer that came ahead of a body's end to be read
)

// RequestMessage is a request as it goes on to endpoints.
type RequestMessage struct {
	Method        string
	URL           *url.URL
	Host          string
	Header        http.Header // end to end; the deadline is set for each attempt
	Body          []byte      // all of it, or its beginning
	Upload        *Upload     // what stands behind Body; nil: nothing
	ClientTimeout time.Duration
	Release       func() // is told when no attempt reads the body any more; it may never be told. nil: nobody asks
}

// Upload is what of a body stands behind its beginning. Message.Wait is how long its caller waits once its last byte is out.
type Upload struct {
	Length    int64     // of the whole body; below 0: it is not told
	Buffered  [][]byte  // what is there
	Remaining io.Reader // what is still to come; nil: all is there
	Release   func()    // is told when what is kept will not be sent again, before Rest is read
	consumed  atomic.Bool
}

// bodyLength is how long the whole body is, below 0 where that is not told.
func (m *RequestMessage) bodyLength() int64 {
	if m.Upload != nil {
		return m.Upload.Length
	}
	return int64(len(m.Body))
}

// bodyConsumed tells whether so much of the body has gone out that it can't be sent once more.
func (m *RequestMessage) bodyConsumed() bool { return m.Upload != nil && m.Upload.consumed.Load() }

// Response is an endpoint's answer.
type Response struct {
	Status int
	Header http.Header // what goes on to the caller
	Body   []byte      // all of it, or its beginning
	Stream *Stream     // what follows as it comes; nil: Body is all. Whoever takes the answer has to close it
	Length int64       // of the whole body, where there is more; below 0: it is not told
}
