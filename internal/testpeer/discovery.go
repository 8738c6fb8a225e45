package testpeer

import (
	"io"
	"net/http"

	"rowancart/internal/platform"
)

// ListedEndpoint returns an endpoint as discovery lists it. It started long ago.
func ListedEndpoint(id, addr string, state platform.State) platform.Endpoint {
	return platform.Endpoint{
		ID:     id,
		Addr:   addr,
		Zone:   "z",
		Kind:   "k",
		Cell:   3,
		State:  state,
		Weight: platform.WriteOnly[float64]{Value: 1},
	}
}

// CompleteList returns a complete endpoint list in the format of discovery.
func CompleteList(version int64, endpoints ...platform.Endpoint) string {
	return string(platform.CompleteList(version, endpoints...).Text())
}

// Changes returns changes to the endpoint list in the format of discovery.
func Changes(version int64, endpoints ...platform.Endpoint) string {
	return string(platform.Changes(version, endpoints...).Text())
}

// ScriptedDiscovery is a fake discovery agent that responds to each call with the next of its
// steps. After the last step it no longer responds. Only one client may call it at a time.
type ScriptedDiscovery struct {
	Steps []Step
	// Calls receives the query of each call. A call blocks until its query is received or buffered.
	Calls chan string
}

// Step is the response of a ScriptedDiscovery to one call.
type Step struct {
	body string
	end  stepEnd
}

// stepEnd says what happens after the body of a step.
type stepEnd int

const (
	endOfResponse stepEnd = iota
	stayOpen
	abortConn
	noResponse // no response is sent, not even its head
)

// Respond returns a step that is a complete response.
func Respond(body string) Step { return Step{body, endOfResponse} }

// StayOpen returns a step that leaves the response open after its body, like that of a watch.
func StayOpen(body string) Step { return Step{body, stayOpen} }

// AbortAfter returns a step that aborts the connection after its body.
func AbortAfter(body string) Step { return Step{body, abortConn} }

// NoResponse returns a step that sends no response.
func NoResponse() Step { return Step{end: noResponse} }

// nextStep returns the step for the next call.
func (d *ScriptedDiscovery) nextStep() Step {
	if len(d.Steps) == 0 {
		return NoResponse()
	}
	step := d.Steps[0]
	d.Steps = d.Steps[1:]
	return step
}

// ServeHTTP implements http.Handler.
func (d *ScriptedDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.Calls <- r.URL.RawQuery
	step := d.nextStep()
	if step.end == noResponse {
		<-r.Context().Done()
		return
	}
	io.WriteString(w, step.body)
	w.(http.Flusher).Flush()
	switch step.end {
	case stayOpen:
		<-r.Context().Done()
	case abortConn:
		panic(http.ErrAbortHandler)
	}
}
