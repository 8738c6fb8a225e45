package proxy

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHopHeaders are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// EndToEnd takes the headers away that concern one connection only, but for those kept, and gives what is left.
func EndToEnd(h http.Header, kept ...string) http.Header {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !slices.Contains(kept, name) {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	return h
}
