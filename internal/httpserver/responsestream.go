package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"rowancart/internal/http1"
	"rowancart/internal/proxy"
)

// bodyFraming is how the end of a streamed response's body is marked (RFC 9112, 6.3).
type bodyFraming int

const (
	framedByLength bodyFraming = iota // Content-Length
	framedByChunks                    // Transfer-Encoding: chunked
	framedByClose                     // the end of the connection
)

// responseFraming returns the framing of a response body of length bytes. A negative length is
// unknown.
func responseFraming(r *http.Request, length int64) bodyFraming {
	switch {
	case length >= 0:
		return framedByLength
	case r.ProtoAtLeast(1, 1):
		return framedByChunks
	}
	return framedByClose
}

// streamResponse forwards a response as it arrives: data that is read from the endpoint is written
// before more is read. It reports whether the connection can carry another request. If the
// response is truncated, the connection is closed before the end that the framing announces, so
// that the client can detect the truncation.
func (c *conn) streamResponse(r *http.Request, response *proxy.Response) bool {
	defer response.Stream.Close()
	framing := responseFraming(r, response.Length)
	c.decideLastRequest(r)
	if framing == framedByClose {
		c.lastRequest = true
		// Only a reset shows the client that such a response was truncated, whether by an endpoint,
		// by this process or by a signal that ends this process.
		c.resetOnClose()
	}
	c.appendHead(r, responseHead{response.Status, response.Header})
	switch framing {
	case framedByLength:
		c.output = strconv.AppendInt(append(c.output, "Content-Length: "...), response.Length, 10)
		c.output = append(c.output, "\r\n\r\n"...)
	case framedByChunks:
		c.output = append(c.output, "Transfer-Encoding: chunked\r\n\r\n"...)
	case framedByClose:
		c.output = append(c.output, "\r\n"...)
	}
	c.disconnect.start(response.Stream.Cancel)
	defer c.disconnect.stop()
	if !c.copyStream(response, framing) {
		return false
	}
	if framing == framedByClose {
		c.closeNormally()
	}
	return !c.lastRequest
}

// copyStream writes the output and then the whole body of a response. It reports whether
// everything was written.
func (c *conn) copyStream(response *proxy.Response, framing bodyFraming) bool {
	buffer := http1.Buffers.Get().(*[]byte)
	defer http1.Buffers.Put(buffer)
	data := (*buffer)[http1.ChunkHeadSize : len(*buffer)-http1.ChunkTailSize]
	n := copy(data, response.Body)
	unsent := response.Body[n:] // the part of the body that was read with the head and is not written yet
	for ended := false; ; {
		tail := ""
		if ended && framing == framedByChunks {
			tail = http1.LastChunk
		}
		if !c.writeStreamPart(*buffer, n, framing, tail) {
			return false
		}
		if ended {
			return true
		}
		if n = copy(data, unsent); n > 0 {
			unsent = unsent[n:]
			continue
		}
		var err error
		n, err = response.Stream.Read(data)
		ended = errors.Is(err, io.EOF) || response.Stream.Ended()
		if err != nil && !ended {
			return false
		}
	}
}

// writeStreamPart writes the output, the next n bytes of a body, and the tail. The bytes of the
// body start at http1.ChunkHeadSize in the buffer. It reports whether everything was written.
func (c *conn) writeStreamPart(buffer []byte, n int, framing bodyFraming, tail string) bool {
	data := buffer[http1.ChunkHeadSize : http1.ChunkHeadSize+n]
	switch {
	case n > 0 && framing == framedByChunks:
		c.output = append(c.output, http1.FrameChunk(buffer, n)...)
	case len(c.output) > 0:
		c.output = append(c.output, data...)
	}
	c.output = append(c.output, tail...)
	if len(c.output) == 0 {
		return c.writePart(data)
	}
	if !c.writePart(c.output) {
		return false
	}
	c.output = c.output[:0]
	return true
}

// writePart writes a part of a response. The client has http1.StreamIdleTimeout to read
// it.
func (c *conn) writePart(part []byte) bool {
	if len(part) == 0 {
		return true
	}
	if c.netConn.Conn.SetWriteDeadline(deadlineAfter(http1.StreamIdleTimeout)) != nil {
		return false
	}
	c.writeDeadlineSet = time.Time{}
	_, err := c.netConn.Write(part)
	return err == nil
}

// resetOnClose makes the close of the connection a reset, until closeNormally.
func (c *conn) resetOnClose() { c.setLinger(0) }

// closeNormally makes the close of the connection a normal one again.
func (c *conn) closeNormally() { c.setLinger(-1) }

// setLinger sets the connection's SO_LINGER, as net.TCPConn.SetLinger does.
func (c *conn) setLinger(seconds int) {
	if tcp, ok := c.netConn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(seconds) // fails if the connection is closed; the next write then fails too
	}
}
