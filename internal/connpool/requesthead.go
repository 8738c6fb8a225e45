package connpool

import (
	"net/http"
	"strconv"
	"time"

	"rowancart/internal/platform"
)

// perAttemptHeaders are the headers that are not copied from Request.Header: appendHead sets them
// anew for each attempt, or omits them.
var perAttemptHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, platform.DeadlineHeader: true,
}

// appendHead appends the request's head. Its deadline header tells the endpoint how long this side
// waits for the response: timeout, in milliseconds, at least 1.
func (r *Request) appendHead(b []byte, timeout time.Duration) []byte {
	appendText := func(parts ...string) {
		for _, s := range parts {
			b = append(b, s...)
		}
	}
	appendText(r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n")
	for name, values := range r.Header { // order matters only within a name (RFC 9110, section 5.3)
		if perAttemptHeaders[name] {
			continue
		}
		for _, v := range values {
			appendText(name, ": ", v, "\r\n")
		}
	}
	switch length := r.Body.Length(); {
	case length < 0:
		appendText("Transfer-Encoding: chunked\r\n")
	case length > 0 || expectsBody(r.Method):
		appendText("Content-Length: ")
		b = strconv.AppendInt(b, length, 10)
		appendText("\r\n")
	}
	appendText(platform.DeadlineHeader, ": ")
	b = strconv.AppendInt(b, max(timeout.Milliseconds(), 1), 10)
	return append(b, "\r\n\r\n"...)
}

// expectsBody reports whether a request of this method has a Content-Length even if that is 0 (RFC
// 9110, section 8.6).
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
