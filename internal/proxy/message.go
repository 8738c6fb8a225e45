package proxy

import "rowancart/internal/connpool"

// Users of a Pool exchange with it what package connpool writes to endpoints and reads from them.
// With these names they need not import that package.

// The limits of messages.
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
