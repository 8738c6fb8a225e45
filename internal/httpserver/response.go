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

// writeDeadlineReuse is the age up to which a write deadline serves the next response as well:
// setting one costs more than a small response.
const writeDeadlineReuse = time.Second

// resultStatuses are the statuses of a pool's results. Only a rejection is 503, and nothing is 429:
// both promise clients that the request has not run.
var resultStatuses = map[proxy.ResultKind]int{
	proxy.Served:    http.StatusOK,
	proxy.Rejected:  http.StatusServiceUnavailable,
	proxy.Failed:    http.StatusBadGateway,
	proxy.Duplicate: http.StatusConflict,
}

// connectionHeaders are the headers that appendHead and the framing write, whatever a response has.
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

// setRetryAfter sets Retry-After, unless it is 0.
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
// if the request could not be parsed. An improper request ends its connection: what follows, which
// may be the rest of a body or a request smuggled in one, is never read as a request.
func (c *conn) reject(r *http.Request, rejection *Rejection) bool {
	h := plainTextHeader()
	c.server.setRetryAfter(h, rejection.RetryAfter)
	if rejection.Limit != "" {
		c.server.setProxyStatus(h, limitErrorType, rejection.Limit)
	}
	if len(rejection.Allow) > 0 {
		h["Allow"] = []string{strings.Join(rejection.Allow, ", ")}
	}
	if c.writeResponse(r, rejection.Status, h, []byte(rejection.Message+"\n"), rejection.Close) {
		return true
	}
	return c.lingeringClose()
}

// writeResult writes a pool's result and reports whether the connection can carry another request.
// With closeAfter it cannot.
func (c *conn) writeResult(r *http.Request, result proxy.Result, closeAfter bool) bool {
	if result.Kind == proxy.Served {
		response := &result.Response
		if response.Stream != nil {
			return c.streamResponse(r, response, closeAfter)
		}
		return c.writeResponse(r, response.Status, response.Header, response.Body, closeAfter)
	}
	status := resultStatuses[result.Kind]
	h := plainTextHeader()
	c.server.setRetryAfter(h, result.RetryAfter)
	c.server.setProxyStatus(h, proxyErrorTypes[result.Reason], string(result.Reason))
	return c.writeResponse(r, status, h, []byte(http.StatusText(status)+"\n"), closeAfter)
}

// isLastResponse reports whether the response to a request must close its connection; r is nil if
// the request could not be parsed. A draining server closes it, unless the next request has been
// sent already: that one has been accepted too.
func (c *conn) isLastResponse(r *http.Request) bool {
	return r == nil || r.Close || c.server.draining.Load() && !c.reader.hasData() && !c.disconnect.hasUnreadBytes()
}

// writeResponse writes a complete response and reports whether the connection can carry another
// request. r is nil if the request could not be parsed.
func (c *conn) writeResponse(r *http.Request, status int, h http.Header, body []byte, closeAfter bool) bool {
	now := time.Now()
	closeAfter = closeAfter || c.isLastResponse(r)
	c.appendHead(r, status, h, closeAfter)
	toHead := r != nil && r.Method == http.MethodHead
	switch {
	case status < 200 || status == http.StatusNoContent || status == http.StatusNotModified:
		body = nil
	case toHead && h.Get("Content-Length") != "": // of the body that GET would have
		c.output = append(append(append(c.output, "Content-Length: "...), h.Get("Content-Length")...), "\r\n"...)
	default:
		c.output = append(strconv.AppendInt(append(c.output, "Content-Length: "...), int64(len(body)), 10), "\r\n"...)
	}
	c.output = append(c.output, "\r\n"...)
	if toHead {
		body = nil
	}
	return c.setWriteDeadline(now) && c.writeOutput(body) && !closeAfter
}

// setWriteDeadline bounds the next write, so that a client that does not read cannot hold a
// connection for good. It reports whether the connection can be written to.
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

// writeOutput writes the output and a body: a short one in the same write. It reports whether both
// were written.
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

// appendHead begins the output with a response's head, up to the fields of its framing. r is nil if
// the request could not be parsed.
func (c *conn) appendHead(r *http.Request, status int, h http.Header, closeAfter bool) {
	c.output = append(c.output[:0], "HTTP/1.1 "...)
	c.output = strconv.AppendInt(c.output, int64(status), 10)
	c.output = append(append(append(c.output, ' '), http.StatusText(status)...), "\r\nDate: "...)
	if date := h["Date"]; len(date) == 1 { // the endpoint's own
		c.output = append(c.output, date[0]...)
	} else {
		c.output = append(c.output, formattedDate.at(time.Now())...)
	}
	c.output = append(c.output, "\r\n"...)
	_ = h.WriteSubset(sliceWriter{&c.output}, connectionHeaders)
	switch {
	case closeAfter:
		c.output = append(c.output, "Connection: close\r\n"...)
	case r != nil && !r.ProtoAtLeast(1, 1):
		c.output = append(c.output, "Connection: keep-alive\r\n"...)
	}
}

// sliceWriter appends to a slice what is written to it.
type sliceWriter struct{ b *[]byte }

// Write implements io.Writer.
func (w sliceWriter) Write(p []byte) (int, error) { *w.b = append(*w.b, p...); return len(p), nil }

// WriteString implements io.StringWriter.
func (w sliceWriter) WriteString(s string) (int, error) {
	*w.b = append(*w.b, s...)
	return len(s), nil
}

// dateCache formats the value of Date once a second. It is safe for concurrent use.
type dateCache struct{ latest atomic.Pointer[dateText] }

// dateText is the formatted date of one second.
type dateText struct {
	second int64 // Unix time
	text   string
}

var formattedDate dateCache

// at returns the formatted date of an instant.
func (d *dateCache) at(now time.Time) string {
	latest := d.latest.Load()
	if latest == nil || latest.second != now.Unix() {
		latest = &dateText{now.Unix(), now.UTC().Format(http.TimeFormat)}
		d.latest.Store(latest)
	}
	return latest.text
}
