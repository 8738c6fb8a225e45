package connpool

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

const (
	maxInterimResponses = 8                     // 1xx responses ahead of the final one
	minBodyGrowth       = 4 << 10               // bytes by which the buffer for a body of unknown length grows at least
	streamAfter         = 50 * time.Millisecond // a body of unknown length that has not ended by then is streamed
)

// The requests by which net/http knows whether a response is one to HEAD, which has no body.
var (
	headRequest = &http.Request{Method: http.MethodHead}
	getRequest  = &http.Request{Method: http.MethodGet}
)

// readResponse reads a response completely, or the beginning of one that is long or slow to arrive,
// and reports whether it is the connection's last. A response that is not passed on to the client
// is read completely or not at all.
func (p *Pool) readResponse(c *conn, method string, deadline time.Time) (resp Response, last bool, err error) {
	c.readLimit.N = MaxHead
	if method != http.MethodHead {
		if _, err := c.reader.Peek(1); err != nil {
			return Response{}, true, err
		}
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if status, h, size, length, ok := http1.ParseResponse(buffered); ok {
			_, _ = c.reader.Discard(size) // is buffered, so it can't fail
			return p.readResponseBody(c, Response{Status: status, Header: h}, int64(length), false, deadline)
		}
	}
	head, err := c.readResponseHead(method)
	if err != nil {
		return Response{}, true, err
	}
	length, last := head.ContentLength, head.Close
	switch {
	case method == http.MethodHead, head.StatusCode == http.StatusNoContent, head.StatusCode == http.StatusNotModified:
		length = 0
	case len(head.TransferEncoding) > 0:
		length = http1.Chunked
	case length < 0:
		length, last = http1.UntilClose, true
	}
	return p.readResponseBody(c, Response{Status: head.StatusCode, Header: head.Header}, length, last, deadline)
}

// readResponseHead reads the head of a response that http1 leaves to net/http. The Body of what it
// returns must not be read: http1 reads it from the connection.
func (c *conn) readResponseHead(method string) (*http.Response, error) {
	req := getRequest
	if method == http.MethodHead {
		req = headRequest
	}
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errTooManyInterim
}

// readResponseBody reads the body of a response of known length if it is short, and streams a long
// one.
func (p *Pool) readResponseBody(
	c *conn, resp Response, length int64, last bool, deadline time.Time,
) (Response, bool, error) {
	c.readLimit.N = math.MaxInt64
	body := http1.NewBody(bodySource{c}, length)
	switch {
	case !p.isSuccess(resp.Status) && (length > MaxBody || length < 0):
		return resp, true, nil
	case length > p.maxBodyLength():
		return resp, true, errResponseTooLong
	case length > MaxBody:
		resp.Length, resp.Stream = length, p.newStream(c, body, last)
		return resp, last, nil
	case length >= 0:
		resp.Body = make([]byte, length)
		_, err := io.ReadFull(body, resp.Body)
		if length == 0 {
			err = nil
		}
		return resp, last, err
	}
	return p.readBodyOfUnknownLength(c, resp, body, length, last, deadline)
}

// readBodyOfUnknownLength reads a body that ends soon, and streams any other: it may be long.
// Length is how it is framed.
func (p *Pool) readBodyOfUnknownLength(
	c *conn, resp Response, body *http1.Body, length int64, last bool, deadline time.Time,
) (Response, bool, error) {
	if soon := time.Now().Add(streamAfter); soon.Before(deadline) && c.SetReadDeadline(soon) != nil {
		return resp, true, errConnClosed
	}
	resp.Body = make([]byte, 0, minBodyGrowth)
	for !body.Ended() && len(resp.Body) < MaxBody {
		resp.Body = slices.Grow(resp.Body, minBodyGrowth)
		n, err := body.Read(resp.Body[len(resp.Body):min(cap(resp.Body), MaxBody)])
		resp.Body = resp.Body[:len(resp.Body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
			resp.Length, resp.Stream = length, p.newStream(c, body, last)
			return resp, last, nil
		}
		if err != nil {
			return resp, true, err
		}
	}
	if !body.Ended() {
		resp.Length, resp.Stream = length, p.newStream(c, body, last)
	}
	return resp, last, nil
}

// maxBodyLength returns how many bytes a response's body may have. What is passed through has no
// bound known here.
func (p *Pool) maxBodyLength() int64 {
	if p.passThrough {
		return math.MaxInt64
	}
	return MaxStreamedBody
}
