package connpool

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHopHeaders are the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEnd deletes from h the headers that concern one connection only, those that Connection names
// included, and returns h. A name in except is left even if Connection names it.
func EndToEnd(h http.Header, except ...string) http.Header {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !slices.Contains(except, name) {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	return h
}
