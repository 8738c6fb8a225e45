package httpserver

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rowancart/internal/proxy"
)

// writeDeadlineReuse is the time for which later responses reuse a write deadline, because setting
// a deadline costs more than writing a small response.
const writeDeadlineReuse = time.Second

// resultStatuses maps the kinds of a pool's results to statuses. Only a rejection is 503, and
// nothing is 429, because both statuses promise clients that the request has not been processed.
var resultStatuses = map[proxy.ResultKind]int{
	proxy.Served:    http.StatusOK,
	proxy.Rejected:  http.StatusServiceUnavailable,
	proxy.Failed:    http.StatusBadGateway,
	proxy.Duplicate: http.StatusConflict,
}

// responseHead is the content of a response's head, except for the fields of its framing.
type responseHead struct {
	status int
	header http.Header
}

// connectionHeaders are the headers that this package writes itself. They are excluded when the
// rest of a response's header is written.
var connectionHeaders = map[string]bool{
	"Content-Length":    true,
	"Connection":        true,
	"Transfer-Encoding": true,
	"Date":              true,
}

// plainTextHeader returns the header of a response that this package generates.
func plainTextHeader() http.Header {
	return http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
}

// setRetryAfter sets Retry-After, unless retryAfter is 0.
func (s *Server) setRetryAfter(h http.Header, retryAfter time.Duration) {
	switch {
	case retryAfter <= 0:
	case s.roundRetryAfter:
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	default:
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
}

// reject writes a rejection and reports whether the connection can carry another request. r is nil
// if the request could not be parsed. A malformed request closes its connection, so that the data
// after it, which may be the rest of a body or a request smuggled in one, is never read as a
// request.
func (c *conn) reject(r *http.Request, rejection *Rejection) bool {
	h := plainTextHeader()
	c.server.setRetryAfter(h, rejection.RetryAfter)
	if rejection.Limit != "" {
		c.server.setProxyStatus(h, limitErrorType, rejection.Limit)
	}
	if len(rejection.Allow) > 0 {
		h["Allow"] = []string{strings.Join(rejection.Allow, ", ")}
	}
	c.lastRequest = c.lastRequest || rejection.Close
	if c.writeResponse(r, responseHead{rejection.Status, h}, []byte(rejection.Message+"\n")) {
		return true
	}
	return c.lingeringClose()
}

// writeResult writes a pool's result and reports whether the connection can carry another request.
func (c *conn) writeResult(r *http.Request, result *proxy.Result) bool {
	if result.Kind == proxy.Served {
		response := &result.Response
		if response.Stream != nil {
			return c.streamResponse(r, response)
		}
		return c.writeResponse(r, responseHead{response.Status, response.Header}, response.Body)
	}
	status := resultStatuses[result.Kind]
	h := plainTextHeader()
	c.server.setRetryAfter(h, result.RetryAfter)
	c.server.setProxyStatus(h, proxyErrorTypes[result.Reason], string(result.Reason))
	return c.writeResponse(r, responseHead{status, h}, []byte(http.StatusText(status)+"\n"))
}

// decideLastRequest sets lastRequest if the response to a request must close its connection; r is
// nil if the request could not be parsed.
func (c *conn) decideLastRequest(r *http.Request) {
	clientCloses := r == nil || r.Close
	c.lastRequest = c.lastRequest || clientCloses || c.server.Draining() && !c.hasPipelinedRequest()
}

// hasPipelinedRequest reports whether the client has sent data after the current request. A
// draining server serves that request too, because the client has already sent it on this
// connection.
func (c *conn) hasPipelinedRequest() bool { return c.reader.hasData() || c.socket.hasUnreadBytes() }

// statusAllowsBody reports whether a response of a status may have a body (RFC 9110, 6.4.1).
func statusAllowsBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeResponse writes a complete response and reports whether the connection can carry another
// request. r is nil if the request could not be parsed.
func (c *conn) writeResponse(r *http.Request, head responseHead, body []byte) bool {
	now := time.Now()
	c.decideLastRequest(r)
	c.appendHead(r, head)
	isHeadRequest := r != nil && r.Method == http.MethodHead
	if statusAllowsBody(head.status) {
		c.output = append(c.output, "Content-Length: "...)
		if length := head.header.Get("Content-Length"); isHeadRequest && length != "" { // of the body that GET would get
			c.output = append(c.output, length...)
		} else {
			c.output = strconv.AppendInt(c.output, int64(len(body)), 10)
		}
		c.output = append(c.output, "\r\n"...)
	}
	c.output = append(c.output, "\r\n"...)
	if isHeadRequest || !statusAllowsBody(head.status) {
		body = nil
	}
	return c.setWriteDeadline(now) && c.writeOutput(body) && !c.lastRequest
}

// setWriteDeadline bounds the next write, so that a client that does not read cannot occupy a
// connection forever. It reports whether the connection can be written to.
func (c *conn) setWriteDeadline(now time.Time) bool {
	if now.Sub(c.writeDeadlineSet) <= writeDeadlineReuse {
		return true
	}
	if c.netConn.Conn.SetWriteDeadline(now.Add(writeDeadlineReuse+writeTimeout)) != nil {
		return false
	}
	c.writeDeadlineSet = now
	return true
}

// writeOutput writes the output and a body. A short body is written together with the output. It
// reports whether both were written.
func (c *conn) writeOutput(body []byte) bool {
	if len(body) <= initialBufferSize {
		c.output = append(c.output, body...)
		body = nil
	}
	_, err := c.netConn.Write(c.output)
	if err == nil && len(body) > 0 {
		_, err = c.netConn.Write(body)
	}
	return err == nil
}

// appendHead resets the output and appends a response's head, except for the fields of its framing
// and the empty line. r is nil if the request could not be parsed.
func (c *conn) appendHead(r *http.Request, head responseHead) {
	c.output = append(c.output[:0], "HTTP/1.1 "...)
	c.output = strconv.AppendInt(c.output, int64(head.status), 10)
	c.output = append(c.output, ' ')
	c.output = append(c.output, http.StatusText(head.status)...)
	c.output = append(c.output, "\r\nDate: "...)
	if date := head.header["Date"]; len(date) == 1 { // set by the endpoint
		c.output = append(c.output, date[0]...)
	} else {
		c.output = append(c.output, formattedDate.at(time.Now())...)
	}
	c.output = append(c.output, "\r\n"...)
	_ = head.header.WriteSubset(sliceWriter{&c.output}, connectionHeaders)
	switch {
	case c.lastRequest:
		c.output = append(c.output, "Connection: close\r\n"...)
	case r != nil && !r.ProtoAtLeast(1, 1):
		c.output = append(c.output, "Connection: keep-alive\r\n"...)
	}
}

// sliceWriter is a writer that appends to a slice.
type sliceWriter struct{ b *[]byte }

// Write implements io.Writer.
func (w sliceWriter) Write(p []byte) (int, error) {
	*w.b = append(*w.b, p...)
	return len(p), nil
}

// WriteString implements io.StringWriter.
func (w sliceWriter) WriteString(s string) (int, error) {
	*w.b = append(*w.b, s...)
	return len(s), nil
}

// dateCache caches the value of Date, which changes once a second. It is safe for concurrent use.
type dateCache struct{ latest atomic.Pointer[dateText] }

// dateText is the formatted date of one second.
type dateText struct {
	second int64 // Unix time
	text   string
}

var formattedDate dateCache

// at returns the value of Date for the time now.
func (d *dateCache) at(now time.Time) string {
	latest := d.latest.Load()
	if latest == nil || latest.second != now.Unix() {
		latest = &dateText{now.Unix(), now.UTC().Format(http.TimeFormat)}
		d.latest.Store(latest)
	}
	return latest.text
}
