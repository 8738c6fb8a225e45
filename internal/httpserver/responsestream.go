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

// responseFraming returns the framing of a response's body of length bytes, below 0 if unknown.
func responseFraming(r *http.Request, length int64) bodyFraming {
	switch {
	case length >= 0:
		return framedByLength
	case r.ProtoAtLeast(1, 1):
		return framedByChunks
	}
	return framedByClose
}

// streamResponse forwards a response as it arrives: what is read from the endpoint is written at
// once, and only then more is read. It reports whether the connection can carry another request. A
// response that breaks off ends its connection before the end that its framing promises, so that
// the client can tell.
func (c *conn) streamResponse(r *http.Request, response *proxy.Response, closeAfter bool) bool {
	defer response.Stream.Close()
	framing := responseFraming(r, response.Length)
	closeAfter = closeAfter || c.isLastResponse(r) || framing == framedByClose
	if framing == framedByClose {
		// Only a reset shows that such a response broke off, whoever ends it: an endpoint, this process
		// or a signal.
		c.setLinger(0)
	}
	c.appendHead(r, response.Status, response.Header, closeAfter)
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
		c.setLinger(-1)
	}
	return !closeAfter
}

// copyStream writes the output and then a response's body, to its end. It reports whether all of it
// was written.
func (c *conn) copyStream(response *proxy.Response, framing bodyFraming) bool {
	buffer := http1.Buffers.Get().(*[]byte)
	defer http1.Buffers.Put(buffer)
	data := (*buffer)[http1.ChunkHead : len(*buffer)-http1.ChunkTail]
	n := copy(data, response.Body)
	unsent := response.Body[n:] // what of the body was read with its head
	for ended := false; ; {
		if !c.writeStreamPart(*buffer, n, framing, ended) {
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

// writeStreamPart writes the output and the next n bytes of a body, which stand in the buffer from
// http1.ChunkHead on, and then the end of the body if it has ended. It reports whether all was
// written.
func (c *conn) writeStreamPart(buffer []byte, n int, framing bodyFraming, ended bool) bool {
	data := buffer[http1.ChunkHead : http1.ChunkHead+n]
	switch {
	case n > 0 && framing == framedByChunks:
		c.output = append(c.output, http1.AppendChunkFraming(buffer, n)...)
	case len(c.output) > 0:
		c.output = append(c.output, data...)
	}
	if ended && framing == framedByChunks {
		c.output = append(c.output, http1.LastChunk...)
	}
	if len(c.output) == 0 {
		return c.writePart(data)
	}
	if !c.writePart(c.output) {
		return false
	}
	c.output = c.output[:0]
	return true
}

// writePart writes a part of a response. A client may take http1.MaxReadIdle to read it.
func (c *conn) writePart(part []byte) bool {
	if len(part) == 0 {
		return true
	}
	if c.netConn.Conn.SetWriteDeadline(deadlineAfter(http1.MaxReadIdle)) != nil {
		return false
	}
	c.writeDeadlineSet = time.Time{}
	_, err := c.netConn.Write(part)
	return err == nil
}

// setLinger makes a close of the connection a reset (0), or an ordinary one (-1).
func (c *conn) setLinger(seconds int) {
	if tcp, ok := c.netConn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(seconds) // fails if the connection is closed, as the next write will
	}
}
