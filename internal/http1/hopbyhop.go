package http1

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHopHeaders are the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopByHop deletes from h the headers that concern one connection only, including those that
// Connection names, and returns h. The names in except, in canonical form, are kept even if
// Connection names them.
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
