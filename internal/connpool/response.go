package connpool

import (
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"rowancart/internal/http1"
	"rowancart/internal/membudget"
)

// unreservedBody is how many bytes of a body are buffered without a reservation of memory.
const unreservedBody = 4 << 10

// responseReader reads one response from a connection. The connection's own deadline bounds its
// reads.
type responseReader struct {
	pool     *Pool
	conn     *conn
	memory   *membudget.Account // of the request
	deadline time.Time          // by which the complete response must have been read, unless it is streamed
}

// receivedResponse is a response that was read completely, or up to the part that is left to its
// Stream.
type receivedResponse struct {
	response Response
	isLast   bool // no other response can be read from the connection
}

// bodyFraming says where the body of a response ends.
type bodyFraming struct {
	length int64 // in bytes, or http1.Chunked or http1.UntilClose
	isLast bool  // the endpoint closes the connection after the response
}

// read reads a response completely or, if its body is longer than MaxBody, or of unknown length and
// slow to end, only the beginning. The body of a response that is not passed on to the client is
// read completely or not at all.
func (r responseReader) read(method string) (receivedResponse, error) {
	c := r.conn
	c.readLimit.N = MaxHead
	if method != http.MethodHead {
		if _, err := c.reader.Peek(1); err != nil {
			return receivedResponse{}, err
		}
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if err := r.reserveFields(headLines(buffered)); err != nil {
			return receivedResponse{}, err
		}
		if head, ok := http1.ParseResponse(buffered); ok {
			_, _ = c.reader.Discard(head.Size) // can't fail, because the head is buffered
			return r.readBody(Response{Status: head.Status, Header: head.Header}, bodyFraming{length: int64(head.BodyLength)})
		}
	}
	head, err := r.readHead(method)
	if err != nil {
		return receivedResponse{}, err
	}
	return r.readBody(Response{Status: head.StatusCode, Header: head.Header}, framingOf(head, method))
}

// framingOf returns the framing of a response's body (RFC 9112, section 6.3).
func framingOf(head *http.Response, method string) bodyFraming {
	switch {
	case method == http.MethodHead, head.StatusCode == http.StatusNoContent,
		head.StatusCode == http.StatusNotModified:
		return bodyFraming{length: 0, isLast: head.Close}
	case len(head.TransferEncoding) > 0:
		return bodyFraming{length: http1.Chunked, isLast: head.Close}
	case head.ContentLength < 0:
		return bodyFraming{length: http1.UntilClose, isLast: true}
	}
	return bodyFraming{length: head.ContentLength, isLast: head.Close}
}

// readBody reads a body of up to MaxBody bytes and streams a longer one, or one for which there is
// no memory. If the response is not passed on to the client, it does not read such a body.
func (r responseReader) readBody(resp Response, f bodyFraming) (receivedResponse, error) {
	r.conn.readLimit.N = math.MaxInt64
	body := http1.NewBody(bodySource{r.conn}, f.length)
	mayBeLong := f.length > MaxBody || f.length < 0
	switch {
	case mayBeLong && !r.pool.isSuccess(resp.Status):
		return receivedResponse{response: resp, isLast: true}, nil // the body is not read
	case f.length > r.pool.maxBodyLength():
		return receivedResponse{}, errResponseTooLong
	case f.length > MaxBody:
		return r.stream(resp, body, f), nil
	case f.length < 0:
		return r.readBodyOfUnknownLength(resp, body, f)
	}
	return r.readBodyOfKnownLength(resp, body, f)
}

// readBodyOfKnownLength reads a body of at most MaxBody bytes, or streams it if there is no memory
// for it.
func (r responseReader) readBodyOfKnownLength(
	resp Response, body *http1.Body, f bodyFraming,
) (receivedResponse, error) {
	if !r.reserveBody(&resp, int(f.length)) {
		if !r.pool.isSuccess(resp.Status) {
			return receivedResponse{response: resp, isLast: true}, nil // the body is not read
		}
		return r.stream(resp, body, f), nil
	}
	resp.Body = make([]byte, f.length)
	if _, err := io.ReadFull(body, resp.Body); err != nil {
		resp.ReleaseBody(r.memory)
		return receivedResponse{}, err
	}
	return receivedResponse{response: resp, isLast: f.isLast}, nil
}

// reserveBody reserves the memory for size bytes of a response's body, beyond what may be buffered
// without a reservation. It reports whether the body may be buffered.
func (r responseReader) reserveBody(resp *Response, size int) bool {
	if size <= unreservedBody {
		return true
	}
	if !r.memory.TryReserve(size, membudget.Streaming) {
		return false
	}
	resp.reservedBody = size
	return true
}

// readBodyOfUnknownLength reads a body that ends before streamAfter has passed and within MaxBody
// bytes, and streams any other, because it may be long. It also streams a body for which there is
// no memory.
func (r responseReader) readBodyOfUnknownLength(
	resp Response, body *http1.Body, f bodyFraming,
) (receivedResponse, error) {
	if r.conn.SetReadDeadline(streamsAt(r.deadline)) != nil {
		return receivedResponse{}, errConnClosed
	}
	resp.Body = make([]byte, 0, unreservedBody)
	for !body.Ended() && r.growBody(&resp) {
		n, err := body.Read(resp.Body[len(resp.Body):cap(resp.Body)])
		resp.Body = resp.Body[:len(resp.Body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return r.stream(resp, body, f), nil
		}
		if err != nil {
			resp.ReleaseBody(r.memory)
			return receivedResponse{}, err
		}
	}
	if !body.Ended() {
		return r.stream(resp, body, f), nil
	}
	return receivedResponse{response: resp, isLast: f.isLast}, nil
}

// growBody makes space in the buffer of a body of unknown length if it is full. It returns false if
// the buffer has MaxBody bytes already, or there is no memory for a larger one.
func (r responseReader) growBody(resp *Response) bool {
	switch {
	case len(resp.Body) < cap(resp.Body):
		return true
	case len(resp.Body) >= MaxBody || !r.reserveBody(resp, MaxBody):
		return false
	}
	resp.Body = append(make([]byte, 0, MaxBody), resp.Body...)
	return true
}

// stream returns the response with the remaining body as a Stream.
func (r responseReader) stream(resp Response, body *http1.Body, f bodyFraming) receivedResponse {
	resp.Length = f.length
	resp.Stream = &Stream{
		conn: r.conn, pool: r.pool, body: body, lastOnConn: f.isLast, remaining: r.pool.maxBodyLength(),
	}
	return receivedResponse{response: resp, isLast: f.isLast}
}

// maxBodyLength returns how many bytes a response's body may have. A pool that passes responses
// through has no maximum.
func (p *Pool) maxBodyLength() int64 {
	if p.passThrough {
		return math.MaxInt64
	}
	return MaxStreamedBody
}
