package wire

import (
	"bytes"
	"strconv"

	"rowancart/balancer"
)

// attrClientRetry is the bit of a request's Attrs field that marks a retry by the client.
const attrClientRetry = 2

// handleEvent passes the event of the current line to events. An event with a fault is not passed
// on.
func (r *Reader) handleEvent(name string, events balancer.Events) error {
	v := values{r: r}
	switch name {
	case msgEndpointList:
		list := v.endpointList()
		if v.err == nil {
			events.EndpointList(r.now, list)
		}
	case msgRequest:
		request := v.request()
		if v.err == nil {
			events.Request(r.now, request)
		}
	case msgStreamStarted:
		id, attempt := v.id(), v.integer("N", true)
		if v.err == nil {
			events.StreamStarted(r.now, id, attempt)
		}
	case msgOutcome:
		outcome := v.outcome()
		if v.err == nil {
			events.Outcome(r.now, outcome)
		}
	case msgClientLeft:
		if id := v.id(); v.err == nil {
			events.ClientDisconnected(r.now, id)
		}
	case msgTimer:
		v.integer("Mark", true)
		if v.err == nil {
			events.Timer(r.now)
		}
	case msgHealthCheck: // validated only: the balancer asks for no health checks
		v.intern("Endpoint", true)
		v.result()
		v.validateLoadReport()
	}
	return v.err
}

// request reads a msgRequest.
func (v *values) request() balancer.Request {
	request := balancer.Request{
		ID:       v.id(),
		Class:    v.intern("Band", true),
		Tenant:   v.intern("Team", false),
		Deadline: v.micros("ValidUntilUs", true),
	}
	request.ClientRetry = v.integer("Attrs", false)&attrClientRetry != 0
	return request
}

// outcome reads a msgOutcome.
func (v *values) outcome() balancer.Outcome {
	return balancer.Outcome{
		ID:       v.id(),
		Attempt:  v.integer("N", true),
		Endpoint: v.intern("Endpoint", true),
		Result:   v.result(),
		Latency:  v.micros("SpentUs", true),
		Final:    v.integer("DoneFlag", false) != 0,
	}
}

// result reads how an attempt or a health check ended.
func (v *values) result() balancer.Result {
	switch code := v.bytes("StateCode", true); string(code) {
	case "Ok":
		return balancer.OK
	case "Failed":
		return balancer.Errored
	case "QueueFull":
		return balancer.Rejected
	case "TimedOut":
		return balancer.TimedOut
	case "ConnectError":
		return balancer.ConnectFailed
	case "ResetByPeer":
		return balancer.Reset
	case "Canceled":
		return balancer.Canceled
	case "Ignored":
		return balancer.NotSent
	default:
		v.fail("unknown StateCode %q", code)
		return balancer.Errored
	}
}

// validateLoadReport checks the form of a load report: pairs of name:value, separated by commas.
// Its values are not used, because reports arrive late and most sites send none.
func (v *values) validateLoadReport() {
	rest := v.bytes("Load", false)
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte(","))
		_, value, ok := bytes.Cut(pair, []byte(":"))
		if _, err := strconv.ParseFloat(string(value), 64); !ok || err != nil {
			v.fail("Load has a part %.40q that is not name:value", pair)
			return
		}
	}
}
