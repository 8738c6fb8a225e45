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

// responseReader reads one response from a connection. The connection's own deadline bounds its
// reads.
type responseReader struct {
	pool     *Pool
	conn     *conn
	deadline time.Time // of the response's end, as far as it is not streamed
}

// bodyFraming says where the body of a response ends.
type bodyFraming struct {
	length     int64 // in bytes, or http1.Chunked or http1.UntilClose
	lastOnConn bool  // the endpoint closes the connection behind the response
}

// read reads a response completely, or the beginning of one that is long or slow to arrive, and
// reports whether it is the connection's last. A response that is not passed on to the client is
// read completely or not at all.
func (r responseReader) read(method string) (resp Response, last bool, err error) {
	c := r.conn
	c.readLimit.N = MaxHead
	if method != http.MethodHead {
		if _, err := c.reader.Peek(1); err != nil {
			return Response{}, true, err
		}
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if status, h, size, length, ok := http1.ParseResponse(buffered); ok {
			_, _ = c.reader.Discard(size) // is buffered, so it can't fail
			return r.readBody(Response{Status: status, Header: h}, bodyFraming{length: int64(length)})
		}
	}
	head, err := c.readResponseHead(method)
	if err != nil {
		return Response{}, true, err
	}
	return r.readBody(Response{Status: head.StatusCode, Header: head.Header}, framingOf(head, method))
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

// framingOf returns the framing of a response's body (RFC 9112, section 6.3).
func framingOf(head *http.Response, method string) bodyFraming {
	f := bodyFraming{length: head.ContentLength, lastOnConn: head.Close}
	switch {
	case method == http.MethodHead, head.StatusCode == http.StatusNoContent,
		head.StatusCode == http.StatusNotModified:
		f.length = 0
	case len(head.TransferEncoding) > 0:
		f.length = http1.Chunked
	case f.length < 0:
		f.length, f.lastOnConn = http1.UntilClose, true
	}
	return f
}

// readBody reads the body of a response of known length if it is short, and streams a long one.
func (r responseReader) readBody(resp Response, f bodyFraming) (Response, bool, error) {
	r.conn.readLimit.N = math.MaxInt64
	body := http1.NewBody(bodySource{r.conn}, f.length)
	switch {
	case !r.pool.isSuccess(resp.Status) && (f.length > MaxBody || f.length < 0):
		return resp, true, nil
	case f.length > r.pool.maxBodyLength():
		return resp, true, errResponseTooLong
	case f.length > MaxBody:
		return r.stream(resp, body, f), f.lastOnConn, nil
	case f.length >= 0:
		resp.Body = make([]byte, f.length)
		_, err := io.ReadFull(body, resp.Body)
		if f.length == 0 {
			err = nil
		}
		return resp, f.lastOnConn, err
	}
	return r.readBodyOfUnknownLength(resp, body, f)
}

// readBodyOfUnknownLength reads a body that ends soon, and streams any other: it may be long.
func (r responseReader) readBodyOfUnknownLength(
	resp Response, body *http1.Body, f bodyFraming,
) (Response, bool, error) {
	soon := time.Now().Add(streamAfter)
	if soon.Before(r.deadline) && r.conn.SetReadDeadline(soon) != nil {
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
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(r.deadline) {
			return r.stream(resp, body, f), f.lastOnConn, nil
		}
		if err != nil {
			return resp, true, err
		}
	}
	if !body.Ended() {
		resp = r.stream(resp, body, f)
	}
	return resp, f.lastOnConn, nil
}

// stream returns the response with what follows of its body as a Stream.
func (r responseReader) stream(resp Response, body *http1.Body, f bodyFraming) Response {
	resp.Length = f.length
	resp.Stream = &Stream{
		conn: r.conn, pool: r.pool, body: body, lastOnConn: f.lastOnConn, remaining: r.pool.maxBodyLength(),
	}
	return resp
}

// maxBodyLength returns how many bytes a response's body may have. What is passed through has no
// bound known here.
func (p *Pool) maxBodyLength() int64 {
	if p.passThrough {
		return math.MaxInt64
	}
	return MaxStreamedBody
}
