package http1

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopByHop deletes from h the headers that apply to a single connection, including those
// that Connection names, and returns h. The headers in except, which must be canonical names, are
// kept even if Connection names them.
func RemoveHopByHop(h http.Header, except ...string) http.Header {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !slices.Contains(except, name) {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	return h
}
