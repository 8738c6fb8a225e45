package proxy

import "rowancart/internal/connpool"

// The aliases below let users of a Pool refer to the messages and limits of package connpool
// without importing it.

// Size limits in bytes: MaxBody for a body that is buffered, MaxHead for a message head, and
// MaxStreamedBody for a body that is streamed.
const (
	MaxBody         = connpool.MaxBody
	MaxHead         = connpool.MaxHead
	MaxStreamedBody = connpool.MaxStreamedBody
)

type (
	// RequestMessage is a request in the form in which it is sent to endpoints.
	RequestMessage = connpool.Request
	// Response is an endpoint's response.
	Response = connpool.Response
	// Stream is the rest of a response body that is forwarded while it arrives.
	Stream = connpool.Stream
)
