package httpserver

import (
	"io"
	"net/http"
	"time"

	"rowancart/internal/proxy"
	"rowancart/internal/sharedbody"
)

// forwarding is the state of a routed request while its pool serves it.
type forwarding struct {
	request *http.Request
	target  Target
	body    receivedBody
	message *proxy.RequestMessage
	call    *proxy.Call
	outcome Outcome
}

// forward passes a request to its pool and writes the pool's response.
func (c *conn) forward(r *http.Request, target Target, body receivedBody) bool {
	f := forwarding{request: r, target: target, body: body, outcome: Outcome{Result: proxy.Result{Kind: proxy.Failed}}}
	if target.Done != nil {
		defer func() { target.Done(f.outcome) }()
	}
	f.message = &proxy.RequestMessage{Memory: c.requestMemory}
	if rejection := c.server.completeMessage(f.message, r, &f.target, body); rejection != nil {
		return c.rejectUnread(r, body, rejection)
	}
	f.call = newCall(r, &f.target, f.message, c.reader.earliestSentAt)
	// A request that has just been read may have waited in the kernel's queues, so its client may
	// have disconnected already.
	f.call.ClientDisconnected = c.isDisconnected
	if body.streamed != nil {
		return c.forwardStreamed(&f)
	}
	if body.data != nil {
		f.message.Body = sharedbody.New(body.data, body.releaseData)
	}
	f.outcome.Forwarded = true
	f.outcome.Result = c.do(&f)
	return c.writeResult(r, &f.outcome.Result)
}

// isDisconnected reports whether the client has disconnected.
func (c *conn) isDisconnected() bool { return c.socket.isDisconnected() }

// forwardStreamed passes a request with a long body to its pool and writes the pool's response.
// The pool reads the part of the body that is not buffered from the connection.
func (c *conn) forwardStreamed(f *forwarding) bool {
	streamed := f.body.streamed
	body, err := streamed.bufferAhead(f.body.data, f.body.releaseData)
	if err != nil {
		f.body.release()
		return c.reject(f.request, bodyRejection(err))
	}
	f.message.Body = body
	pool := f.target.Pool
	f.call.Streamed = true
	f.call.SoleAttempt = body.HasRest()
	f.call.Deadline = pool.Now() - time.Since(c.reader.earliestSentAt) + f.message.ClientTimeout
	if body.HasRest() {
		f.call.Deadline = pool.Now() + f.message.ClientTimeout + streamed.timeLimit()
	}
	f.outcome.Forwarded = true
	f.outcome.Result = c.do(f)
	ended, err := streamed.abandon()
	if err == nil && !ended && c.isDisconnected() { // the rest will never arrive
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		f.outcome.Result.Kind = proxy.Failed
		return c.reject(f.request, bodyRejection(err))
	}
	if !ended { // the rest of the body must not be read as the next request
		c.lastRequest = true
		c.writeResult(f.request, &f.outcome.Result)
		return c.lingeringClose()
	}
	return c.writeResult(f.request, &f.outcome.Result)
}

// do passes a call to its pool, waits for the result and releases the body. It notifies the pool if
// the client disconnects meanwhile. The response is written even then, because a client that has
// closed only its sending side may still read it.
func (c *conn) do(f *forwarding) proxy.Result {
	defer f.message.Body.Release()
	c.disconnect.start(func() { f.target.Pool.ClientDisconnected(f.call) })
	result := f.target.Pool.Do(f.call)
	c.logIfLate(f, result)
	c.unserved = result.Kind == proxy.Rejected || result.Kind == proxy.Duplicate
	if c.disconnect.stop() {
		c.lastRequest = true
	}
	return result
}
