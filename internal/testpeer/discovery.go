package testpeer

import (
	"io"
	"net/http"

	"rowancart/internal/platform"
)

// ListedEndpoint returns an endpoint as discovery lists it, long after its start.
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

// CompleteList returns the complete endpoint list as discovery sends it.
func CompleteList(version int64, endpoints ...platform.Endpoint) string {
	return string(platform.CompleteList(version, endpoints...).Text())
}

// Changes returns changes of the endpoint list as discovery sends them.
func Changes(version int64, endpoints ...platform.Endpoint) string {
	return string(platform.Changes(version, endpoints...).Text())
}

// ScriptedDiscovery is a fake discovery that responds to each call with its next step. After the
// last one it doesn't respond any more. It must be called by one client at a time.
type ScriptedDiscovery struct {
	Steps []Step
	// Calls is sent the query of each call. A call waits until it is received or buffered.
	Calls chan string
}

// Step is the response of a ScriptedDiscovery to one call.
type Step struct {
	body string
	end  stepEnd
}

// stepEnd says what follows the body of a step.
type stepEnd int

const (
	endOfResponse stepEnd = iota
	stayOpen
	reset
	neverBegin // there is no response at all
)

// Respond returns a step that is a complete response.
func Respond(body string) Step { return Step{body, endOfResponse} }

// StayOpen returns a step that leaves the response open after its body, as a watch is.
func StayOpen(body string) Step { return Step{body, stayOpen} }

// ResetAfter returns a step that breaks the connection after its body.
func ResetAfter(body string) Step { return Step{body, reset} }

// NoResponse returns a step that doesn't respond.
func NoResponse() Step { return Step{end: neverBegin} }

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
	if step.end == neverBegin {
		<-r.Context().Done()
		return
	}
	io.WriteString(w, step.body)
	w.(http.Flusher).Flush()
	switch step.end {
	case stayOpen:
		<-r.Context().Done()
	case reset:
		panic(http.ErrAbortHandler)
	}
}
