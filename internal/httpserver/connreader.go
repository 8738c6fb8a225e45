package httpserver

import (
	"bytes"
	"errors"
	"net"
	"time"

	"rowancart/internal/membudget"
	"rowancart/internal/proxy"
)

const (
	initialBufferSize    = 4 << 10 // bytes; holds most heads, and is small enough for every connection
	maxLeadingEmptyLines = 2       // maximum number before a request

	// If data has been unread for minUnreadWait, the client may have sent more data at the same
	// time, which has waited in the client's own buffers. A read of such data is assumed to block
	// for maxBurstGap at most. If a read blocks for longer, its data is assumed to have been sent
	// later.
	minUnreadWait = 20 * time.Millisecond
	maxBurstGap   = 5 * time.Millisecond
)

// Errors of reading heads.
var (
	errHeadTooLong = errors.New("the head is too long") // it exceeds proxy.MaxHead
	errBareLF      = errors.New("a line that does not end with CR LF")
	errNoMemory    = errors.New("there is no memory for a head of this length")
)

var (
	crlf      = []byte("\r\n")
	endOfHead = []byte("\r\n\r\n")
)

// connReader reads heads and bodies from a connection. Its buffer grows up to the longest head
// allowed.
type connReader struct {
	net.Conn
	socket socket // of Conn

	memory   *membudget.Account // of the connection
	reserved int                // bytes that are reserved in memory for buf

	// memoryDeadline is the time by which the memory for a long head must be reserved.
	memoryDeadline time.Time

	buf   []byte
	start int // index of the first byte in buf that is not consumed
	end   int // index after the last byte of data in buf

	lastArrivedAt  time.Time // when the latest data that was read had arrived
	earliestSentAt time.Time // earliest time at which the request's latest data can have been sent; zero: none was read
	delayed        bool      // the request's data was unread for minUnreadWait or longer
}

// startRequest prepares for the next request. It resets earliestSentAt and delayed. If the
// beginning of that request is already buffered, it keeps earliestSentAt and computes delayed from
// it.
func (r *connReader) startRequest() {
	if r.hasData() {
		r.delayed = time.Since(r.earliestSentAt) >= minUnreadWait
		return
	}
	r.earliestSentAt = time.Time{}
	r.delayed = false
}

// Read implements net.Conn and records when the data arrived. That may be long before the read:
// the data waits while the connection waits to be accepted or the previous request is served.
func (r *connReader) Read(p []byte) (int, error) {
	began := time.Now()
	n, err := r.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now, age := time.Now(), r.socket.unreadAge()
	r.lastArrivedAt = now.Add(-age)
	sentLater := now.Sub(began) > maxBurstGap
	switch {
	case r.earliestSentAt.IsZero():
		r.earliestSentAt = r.lastArrivedAt
		r.delayed = age >= minUnreadWait
	case !r.delayed || sentLater:
		r.earliestSentAt = r.lastArrivedAt
		r.delayed = false
	}
	return n, err
}

// buffered returns the data that has been read and not consumed. It is valid until the next read.
func (r *connReader) buffered() []byte { return r.buf[r.start:r.end] }

// hasData reports whether data has been read and not consumed.
func (r *connReader) hasData() bool { return r.start < r.end }

// hasCompleteHead reports whether a complete head is buffered.
func (r *connReader) hasCompleteHead() bool { return bytes.Contains(r.buffered(), endOfHead) }

// release frees the buffer. No data may be buffered.
func (r *connReader) release() {
	r.buf = nil
	r.start = 0
	r.end = 0
}

// readFirstByte waits for data without a buffer, so that an idle connection uses no memory for
// one. Once data has arrived, it allocates a buffer. It reports whether data has arrived.
func (r *connReader) readFirstByte() bool {
	var first [1]byte
	if n, _ := r.Read(first[:]); n == 0 {
		return false
	}
	r.buf = append(make([]byte, 0, initialBufferSize), first[0])[:initialBufferSize]
	r.end = 1
	return true
}

// fill reads more data and appends it to the buffered data.
func (r *connReader) fill() error {
	if !r.hasData() {
		r.start, r.end = 0, 0
	}
	if r.end == len(r.buf) {
		if err := r.makeSpace(); err != nil {
			return err
		}
	}
	n, err := r.Read(r.buf[r.end:])
	r.end += n
	if n > 0 {
		return nil
	}
	return err
}

// makeSpace moves the data to the beginning of the buffer. If the data is already there, it
// enlarges the buffer: from initialBufferSize to the longest head, once the memory for that is
// reserved.
func (r *connReader) makeSpace() error {
	switch {
	case r.start > 0:
		r.end = copy(r.buf, r.buffered())
		r.start = 0
	case len(r.buf) == 0:
		r.buf = make([]byte, initialBufferSize)
	case r.memory.Reserve(proxy.MaxHead, membudget.Receiving, time.Until(r.memoryDeadline)):
		r.reserved = proxy.MaxHead
		r.buf = append(make([]byte, 0, proxy.MaxHead), r.buf...)[:proxy.MaxHead]
	default:
		return errNoMemory
	}
	return nil
}

// shrink frees a buffer larger than initialBufferSize if its data fits into one of that size.
func (r *connReader) shrink() {
	data := r.buffered()
	if len(r.buf) <= initialBufferSize || len(data) > initialBufferSize {
		return
	}
	buf := make([]byte, initialBufferSize)
	r.end = copy(buf, data)
	r.start = 0
	r.buf = buf
	r.memory.Release(r.reserved)
	r.reserved = 0
}

// readHead waits for a complete head and consumes it with its empty line. The head is valid until
// the next read.
func (r *connReader) readHead() ([]byte, error) {
	// scanned is the number of bytes that have been searched for the end of the head. The last few
	// of them are searched again, because they may be the beginning of that end.
	for emptyLines, scanned := 0, 0; ; {
		// Some clients send an empty line after a body (RFC 9112, 2.2).
		for bytes.HasPrefix(r.buffered(), crlf) && emptyLines < maxLeadingEmptyLines {
			emptyLines, scanned = emptyLines+1, 0
			r.start += len(crlf)
		}
		data := r.buffered()
		from := max(scanned-len(endOfHead)+1, 0)
		if i := bytes.Index(data[from:], endOfHead); i >= 0 {
			size := from + i + len(endOfHead)
			r.start += size
			return data[:size], nil
		}
		if bytes.Contains(data[max(scanned-1, 0):], []byte("\n\n")) { // some servers take this for the end of the head
			return nil, errBareLF
		}
		if scanned = len(data); scanned >= proxy.MaxHead {
			return nil, errHeadTooLong
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}
