package wire

import (
	"bytes"
	"strconv"

	"rowancart/balancer"
)

// attrClientRetry is the bit of fieldAttributes that marks a retry by the client.
const attrClientRetry = 2

// handleEvent passes the event of the current line to events. An event with a fault is not passed
// on.
func (r *Reader) handleEvent(name string, events balancer.Events) error {
	switch name {
	case msgEndpointList:
		return r.handleEndpointList(events)
	case msgRequest:
		return r.handleRequest(events)
	case msgStreamStarted:
		return r.handleStreamStarted(events)
	case msgOutcome:
		return r.handleOutcome(events)
	case msgDisconnected:
		return r.handleDisconnected(events)
	case msgTimer:
		return r.handleTimer(events)
	case msgHealthCheck:
		return r.validateHealthCheck()
	}
	return nil // msgText
}

func (r *Reader) handleEndpointList(events balancer.Events) error {
	v := values{r: r}
	list := v.endpointList()
	if v.err != nil {
		return v.err
	}
	events.EndpointList(r.now, list)
	return nil
}

func (r *Reader) handleRequest(events balancer.Events) error {
	v := values{r: r}
	request := v.request()
	if v.err != nil {
		return v.err
	}
	events.Request(r.now, request)
	return nil
}

func (r *Reader) handleStreamStarted(events balancer.Events) error {
	v := values{r: r}
	id := v.id()
	attempt := v.integer(fieldAttempt, required)
	if v.err != nil {
		return v.err
	}
	events.StreamStarted(r.now, id, attempt)
	return nil
}

func (r *Reader) handleOutcome(events balancer.Events) error {
	v := values{r: r}
	outcome := v.outcome()
	if v.err != nil {
		return v.err
	}
	events.Outcome(r.now, outcome)
	return nil
}

func (r *Reader) handleDisconnected(events balancer.Events) error {
	v := values{r: r}
	id := v.id()
	if v.err != nil {
		return v.err
	}
	events.ClientDisconnected(r.now, id)
	return nil
}

func (r *Reader) handleTimer(events balancer.Events) error {
	v := values{r: r}
	v.integer(fieldTimer, required)
	if v.err != nil {
		return v.err
	}
	events.Timer(r.now)
	return nil
}

// validateHealthCheck checks the form of the result of a health check. The balancer asks for no
// health checks, so it is not used.
func (r *Reader) validateHealthCheck() error {
	v := values{r: r}
	v.intern(fieldEndpoint, required)
	v.result()
	v.validateLoadReport()
	return v.err
}

// request reads a msgRequest.
func (v *values) request() balancer.Request {
	request := balancer.Request{
		ID:       v.id(),
		Class:    v.intern(fieldClass, required),
		Tenant:   v.intern(fieldTenant, optional),
		Deadline: v.micros(fieldDeadline, required),
	}
	request.ClientRetry = v.integer(fieldAttributes, optional)&attrClientRetry != 0
	return request
}

// outcome reads a msgOutcome.
func (v *values) outcome() balancer.Outcome {
	return balancer.Outcome{
		ID:       v.id(),
		Attempt:  v.integer(fieldAttempt, required),
		Endpoint: v.intern(fieldEndpoint, required),
		Result:   v.result(),
		Latency:  v.micros(fieldLatency, required),
		Final:    v.integer(fieldFinal, optional) != 0,
	}
}

// results are the results of an attempt or a health check by their names.
var results = map[string]balancer.Result{
	"Ok":           balancer.OK,
	"Failed":       balancer.Errored,
	"QueueFull":    balancer.Rejected,
	"TimedOut":     balancer.TimedOut,
	"ConnectError": balancer.ConnectFailed,
	"ResetByPeer":  balancer.Reset,
	"Canceled":     balancer.Canceled,
	"Ignored":      balancer.NotSent,
}

// result reads how an attempt or a health check ended.
func (v *values) result() balancer.Result {
	name := v.bytes(fieldResult, required)
	result, ok := results[string(name)]
	if !ok {
		v.fail("unknown %s %q", fieldResult, name)
	}
	return result
}

// validateLoadReport checks the form of a load report: pairs of name:value, separated by commas.
// Its values are not used, because reports arrive late and most sites send none.
func (v *values) validateLoadReport() {
	rest := v.bytes(fieldLoadReport, optional)
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte(","))
		_, value, ok := bytes.Cut(pair, []byte(":"))
		if _, err := strconv.ParseFloat(string(value), 64); !ok || err != nil {
			v.fail("%s has a part %.40q that is not name:value", fieldLoadReport, pair)
			return
		}
	}
}
