package proxy

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"time"

	"rowancart/internal/http1"
)

// responseContext tells net/http whether an answer is one to HEAD, which has no body.
var responseContext = map[bool]*http.Request{true: {Method: http.MethodHead}, false: {Method: http.MethodGet}}

// readResponse reads an answer whole, or the beginning of one that is long or slow to come, and tells whether it is the connection's
// last. What does not go on to the caller is read whole or not at all.
func (c *conn) readResponse(u *connPool, method string, deadline time.Time) (a Response, last bool, err error) {
	c.readLimit.N = MaxHead
	if method != http.MethodHead {
		if _, err := c.reader.Peek(1); err != nil {
			return Response{}, true, err
		}
		come, _ := c.reader.Peek(c.reader.Buffered())
		if status, h, size, length, ok := http1.ParseResponse(come); ok {
			_, _ = c.reader.Discard(size) // it is there
			return c.readResponseBody(Response{Status: status, Header: h}, int64(length), false, deadline, u)
		}
	}
	resp, err := c.readResponseHead(method)
	if err != nil {
		return Response{}, true, err
	}
	length, last := resp.ContentLength, resp.Close
	switch {
	case method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		length = 0
	case len(resp.TransferEncoding) > 0:
		length = http1.Chunked
	case length < 0:
		length, last = http1.UntilClose, true
	}
	return c.readResponseBody(Response{Status: resp.StatusCode, Header: resp.Header}, length, last, deadline, u)
}

// readResponseHead reads the head of an answer that is not of the plainest form.
func (c *conn) readResponseHead(method string) (*http.Response, error) {
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.reader, responseContext[method == http.MethodHead])
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err // its Body is left alone: framing reads it
		}
	}
	return nil, errors.New("too many interim answers")
}

// readResponseBody reads what stands behind a head. An answer whose length is not told is passed on from its first byte if its end
// does not come at once: it may be long.
func (c *conn) readResponseBody(a Response, length int64, last bool, deadline time.Time, u *connPool) (Response, bool, error) {
	c.readLimit.N = math.MaxInt64
	body := http1.NewBody(bodySource{c}, length)
	switch {
	case !u.passesThrough(a.Status) && (length > MaxBody || length < 0):
		return a, true, nil
	case length > u.maxBodyLength():
		return a, true, errResponseTooLong
	case length > MaxBody:
		a.Length, a.Stream = length, u.newStream(c, body, last)
		return a, last, nil
	case length >= 0:
		a.Body = make([]byte, length)
		_, err := io.ReadFull(body, a.Body)
		if length == 0 {
			err = nil
		}
		return a, last, err
	}
	if soon := time.Now().Add(streamAfter); soon.Before(deadline) && c.SetReadDeadline(soon) != nil {
		return a, true, errConnClosed
	}
	a.Body = make([]byte, 0, minBodyGrowth)
	for !body.Ended() && len(a.Body) < MaxBody {
		a.Body = slices.Grow(a.Body, minBodyGrowth)
		n, err := body.Read(a.Body[len(a.Body):min(cap(a.Body), MaxBody)])
		a.Body = a.Body[:len(a.Body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
			a.Length, a.Stream = length, u.newStream(c, body, last)
			return a, last, nil
		}
		if err != nil {
			return a, true, err
		}
	}
	if !body.Ended() {
		a.Length, a.Stream = length, u.newStream(c, body, last)
	}
	return a, last, nil
}
