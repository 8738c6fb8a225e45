package proxy

import (
	"net/http"

	"rowancart/internal/connpool"
)

// What users of a Pool exchange with it is what package connpool writes to endpoints and reads from
// them. The names here spare them that import.

// The limits of messages, and the one header that both sides set.
const (
	MaxBody         = connpool.MaxBody
	MaxHead         = connpool.MaxHead
	MaxStreamedBody = connpool.MaxStreamedBody
)

type (
	// RequestMessage is a request as endpoints get it.
	RequestMessage = connpool.Request
	// Upload is the part of a request's body that follows its beginning.
	Upload = connpool.Upload
	// Response is an endpoint's response.
	Response = connpool.Response
	// Stream is the rest of a response that is passed on while it arrives.
	Stream = connpool.Stream
)

// EndToEnd deletes from h the headers that concern one connection only, but for those in except,
// and returns h.
func EndToEnd(h http.Header, except ...string) http.Header {
	return connpool.EndToEnd(h, except...)
}
