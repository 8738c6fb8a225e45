package connpool

import (
	"net/http"
	"strconv"
	"time"

	"rowancart/internal/platform"
)

// perAttemptHeaders are the headers that are written for each attempt, or never.
var perAttemptHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, platform.DeadlineHeader: true,
}

// appendHead appends the request's head, with the time for which this side waits for the response.
func (r *Request) appendHead(b []byte, timeout time.Duration) []byte {
	text := func(parts ...string) {
		for _, s := range parts {
			b = append(b, s...)
		}
	}
	text(r.Method, " ", r.URL.RequestURI(), " HTTP/1.1\r\nHost: ", r.Host, "\r\n")
	for name, values := range r.Header { // the order of different names means nothing (RFC 9110, section 5.3)
		if perAttemptHeaders[name] {
			continue
		}
		for _, v := range values {
			text(name, ": ", v, "\r\n")
		}
	}
	switch length := r.bodyLength(); {
	case length < 0:
		text("Transfer-Encoding: chunked\r\n")
	case length > 0 || expectsBody(r.Method):
		text("Content-Length: ")
		b = strconv.AppendInt(b, length, 10)
		text("\r\n")
	}
	text(platform.DeadlineHeader, ": ")
	b = strconv.AppendInt(b, max(timeout.Milliseconds(), 1), 10)
	return append(b, "\r\n\r\n"...)
}

// expectsBody reports whether requests of a method have a Content-Length even if it is 0 (RFC 9110,
// section 8.6).
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
