// Package http1 parses HTTP/1.1 messages (RFC 9112): heads of requests and responses, and the
// framing of bodies. It does no I/O of its own: bodies are read through a Source.
//
// ParseRequest and ParseResponse parse only the simplest form of a head, which nearly all messages
// have. A head of that form has version HTTP/1.1 and unfolded ASCII fields. A request has a target
// in origin form and exactly one Host. Apart from Host and at most one Content-Length, there is no
// field that net/http interprets or changes.
//
// They return the same result as net/http, and their callers use net/http for every other form.
// They exist because parsing heads is a tenth of the cost of a request.
package http1
