package wire

import (
	"bytes"
	"strconv"

	"rowancart/balancer"
)

// attrClientRetry is the bit of fieldAttributes that marks a request as a retry by the client.
const attrClientRetry = 2

// handleEvent passes the event of the current line to events. An invalid event is not passed on.
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
	return nil // msgText is ignored
}

func (r *Reader) handleEndpointList(events balancer.Events) error {
	f := fieldParser{r: r}
	list := f.endpointList()
	if f.err != nil {
		return f.err
	}
	events.EndpointList(r.now, list)
	return nil
}

func (r *Reader) handleRequest(events balancer.Events) error {
	f := fieldParser{r: r}
	request := f.request()
	if f.err != nil {
		return f.err
	}
	events.Request(r.now, request)
	return nil
}

func (r *Reader) handleStreamStarted(events balancer.Events) error {
	f := fieldParser{r: r}
	id := f.id()
	attempt := f.integer(fieldAttempt, required)
	if f.err != nil {
		return f.err
	}
	events.StreamStarted(r.now, id, attempt)
	return nil
}

func (r *Reader) handleOutcome(events balancer.Events) error {
	f := fieldParser{r: r}
	outcome := f.outcome()
	if f.err != nil {
		return f.err
	}
	events.Outcome(r.now, outcome)
	return nil
}

func (r *Reader) handleDisconnected(events balancer.Events) error {
	f := fieldParser{r: r}
	id := f.id()
	if f.err != nil {
		return f.err
	}
	events.ClientDisconnected(r.now, id)
	return nil
}

func (r *Reader) handleTimer(events balancer.Events) error {
	f := fieldParser{r: r}
	f.integer(fieldTimer, required)
	if f.err != nil {
		return f.err
	}
	events.Timer(r.now)
	return nil
}

// validateHealthCheck checks the syntax of a msgHealthCheck. Its content is not used, because the
// balancer requests no health checks.
func (r *Reader) validateHealthCheck() error {
	f := fieldParser{r: r}
	f.intern(fieldEndpoint, required)
	f.result()
	f.validateLoadReport()
	return f.err
}

// request parses a msgRequest.
func (f *fieldParser) request() balancer.Request {
	request := balancer.Request{
		ID:       f.id(),
		Class:    f.intern(fieldClass, required),
		Tenant:   f.intern(fieldTenant, optional),
		Deadline: f.micros(fieldDeadline, required),
	}
	request.ClientRetry = f.integer(fieldAttributes, optional)&attrClientRetry != 0
	return request
}

// outcome parses a msgOutcome.
func (f *fieldParser) outcome() balancer.Outcome {
	return balancer.Outcome{
		ID:       f.id(),
		Attempt:  f.integer(fieldAttempt, required),
		Endpoint: f.intern(fieldEndpoint, required),
		Result:   f.result(),
		Latency:  f.micros(fieldLatency, required),
		Final:    f.integer(fieldFinal, optional) != 0,
	}
}

// resultsByName maps the simulator's names to the results of an attempt or a health check.
var resultsByName = map[string]balancer.Result{
	"Ok":           balancer.OK,
	"Failed":       balancer.Errored,
	"QueueFull":    balancer.Rejected,
	"TimedOut":     balancer.TimedOut,
	"ConnectError": balancer.ConnectFailed,
	"ResetByPeer":  balancer.Reset,
	"Canceled":     balancer.Canceled,
	"Ignored":      balancer.NotSent,
}

// result parses the result of an attempt or a health check.
func (f *fieldParser) result() balancer.Result {
	name := f.bytes(fieldResult, required)
	result, ok := resultsByName[string(name)]
	if !ok {
		f.fail("unknown %s %q", fieldResult, name)
	}
	return result
}

// validateLoadReport checks the syntax of a load report: pairs of name:value, separated by commas.
// Its values are not used, because reports arrive late and most sites send none.
func (f *fieldParser) validateLoadReport() {
	rest := f.bytes(fieldLoadReport, optional)
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte(","))
		_, value, ok := bytes.Cut(pair, []byte(":"))
		if _, err := strconv.ParseFloat(string(value), 64); !ok || err != nil {
			f.fail("%s has an element %.40q that is not name:number", fieldLoadReport, pair)
			return
		}
	}
}
