package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"rowancart/internal/membudget"
	"rowancart/internal/proxy"
)

// bodyDataPool is a pool of buffers for bodies longer than initialBufferSize, or the beginning of
// such bodies. Its values are of type *[]byte and have a length of proxy.MaxBody bytes.
var bodyDataPool = sync.Pool{New: func() any { b := make([]byte, proxy.MaxBody); return &b }}

// streamedPrefix is how many bytes of a long body are read before it is routed if there is no
// memory for more.
const streamedPrefix = 512

// receivedBody is a request's body: the data that readBody has read and, of a long body, the
// source of the rest.
type receivedBody struct {
	data        []byte
	releaseData func()        // returns data to bodyDataPool; nil if data is not from there
	streamed    *streamedBody // nil if data is all of the body
}

// isEmpty reports whether the body has no bytes.
func (b receivedBody) isEmpty() bool { return len(b.data) == 0 && b.streamed == nil }

// release returns the memory of data to its pool. After that, data must not be used.
func (b receivedBody) release() {
	if b.releaseData != nil {
		b.releaseData()
	}
}

// newReceivedBody returns a body with space for size bytes of data. If there is no memory for that,
// the space is smaller: the rest of the body is then streamed.
func newReceivedBody(size int, memory *membudget.Account) receivedBody {
	switch {
	case size <= initialBufferSize:
		return receivedBody{data: make([]byte, size)}
	case !memory.TryReserve(proxy.MaxBody, membudget.Receiving):
		return receivedBody{data: make([]byte, streamedPrefix)}
	}
	space := bodyDataPool.Get().(*[]byte)
	return receivedBody{data: (*space)[:size], releaseData: func() {
		bodyDataPool.Put(space)
		memory.Release(proxy.MaxBody)
	}}
}

// bodyRejection returns the rejection of a request whose body could not be read.
func bodyRejection(err error) *Rejection {
	if errors.Is(err, errBodyTooLong) {
		return closingRejection(http.StatusRequestEntityTooLarge, err.Error())
	}
	return closingRejection(http.StatusBadRequest, "the body can't be read")
}

// writeContinue tells a client that waits for it to send the body.
func (c *conn) writeContinue() error {
	if !c.setWriteDeadline(time.Now()) {
		return net.ErrClosed
	}
	_, err := io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// readBody reads a request's body, or the first proxy.MaxBody bytes of a longer one. If there is no
// memory for that, it reads only the first streamedPrefix bytes.
func (c *conn) readBody(r *http.Request) (receivedBody, *Rejection) {
	length := r.ContentLength // -1 is http1.Chunked
	expect := r.Header.Get("Expect")
	switch {
	case length > proxy.MaxStreamedBody:
		return receivedBody{}, bodyRejection(errBodyTooLong)
	case expect != "" && expect != "100-continue":
		return receivedBody{}, closingRejection(http.StatusExpectationFailed, "Expect: 100-continue is all that is known")
	case length == 0:
		return receivedBody{}, nil
	}
	if expect != "" && !c.reader.hasData() { // a client that has sent some of the body does not wait for it
		if err := c.writeContinue(); err != nil {
			return receivedBody{}, bodyRejection(err)
		}
	}
	size := proxy.MaxBody
	if length > 0 {
		size = int(min(length, proxy.MaxBody))
	}
	received := newReceivedBody(size, c.requestMemory)
	body := c.newRequestBody(length)
	n, err := body.readFull(received.data)
	if err != nil {
		received.release()
		return receivedBody{}, bodyRejection(err)
	}
	received.data = received.data[:n]
	if !body.ended() {
		received.streamed = &streamedBody{
			requestBody: body, length: length, buffers: &c.server.bodyBuffers, memory: c.requestMemory, socket: c.socket,
		}
	}
	return received, nil
}
