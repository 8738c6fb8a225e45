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
	buffer := http1.AcquirePieceBuffer(c.requestMemory)
	defer buffer.Release(c.requestMemory)
	for unsent := response.Body; len(unsent) > 0; { // the part of the body that was read with the head
		n := copy(buffer.Data(), unsent)
		unsent = unsent[n:]
		if !c.writePiece(buffer, n, framing) {
			return false
		}
	}
	response.ReleaseBody(c.requestMemory)
	if !c.writeOutputPart() { // if there was no piece
		return false
	}
	for {
		n, err := response.Stream.Read(buffer.Data())
		ended := errors.Is(err, io.EOF) || response.Stream.Ended()
		if err != nil && !ended {
			return false
		}
		if !c.writePiece(buffer, n, framing) {
			return false
		}
		if ended {
			return c.writeStreamEnd(framing)
		}
	}
}

// writePiece writes the output, if there is any, and a piece of n bytes. It reports whether
// everything was written.
func (c *conn) writePiece(buffer *http1.PieceBuffer, n int, framing bodyFraming) bool {
	if n == 0 {
		return true
	}
	piece := buffer.Data()[:n]
	if framing == framedByChunks {
		piece = buffer.Chunk(n)
	}
	if len(c.output) == 0 || len(c.output)+len(piece) > maxIdleOutput {
		return c.writeOutputPart() && c.writePart(piece)
	}
	c.output = append(c.output, piece...)
	return c.writeOutputPart()
}

// writeStreamEnd writes what marks the end of a streamed body, if anything.
func (c *conn) writeStreamEnd(framing bodyFraming) bool {
	return framing != framedByChunks || c.writePart([]byte(http1.LastChunk))
}

// writeOutputPart writes the output as a part of a response, and empties it.
func (c *conn) writeOutputPart() bool {
	written := c.writePart(c.output)
	c.output = c.output[:0]
	return written
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
