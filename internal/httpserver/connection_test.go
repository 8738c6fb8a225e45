package httpserver

import (
	"net/http"
	"testing"

	"rowancart/internal/platform"
)

// panickingRouter panics on every request.
type panickingRouter struct{}

// Route implements Router.
func (panickingRouter) Route(*http.Request) (Target, *Rejection) { panic("injected by a test") }

// A request whose handling panics must still get a response, and the server must go on serving.
func TestPanicIsAnsweredWithBadGateway(t *testing.T) {
	inner := listen(t)
	startServer(t, NewListener(inner, 10), panickingRouter{})
	nc := connect(t, inner, "GET /look HTTP/1.1\r\nHost: h\r\n"+
		platform.RequestIDHeader+": r\r\n"+platform.DeadlineHeader+": 1000\r\n\r\n")
	requireStatus(t, nc, http.StatusBadGateway)
	requireStatus(t, connect(t, inner, healthRequest), http.StatusOK)
}

// A response closes its connection if the request could not be parsed, if the client asks for the
// close, or if the server is draining and no pipelined request follows.
func TestLastRequestOfConnection(t *testing.T) {
	type state struct {
		request  *http.Request
		draining bool
		buffered string // data received after the request
	}
	keepsOpen := &http.Request{}
	for name, row := range map[string]struct {
		state
		want bool
	}{
		"an ordinary request":              {state{keepsOpen, false, ""}, false},
		"a request that was not parsed":    {state{nil, false, ""}, true},
		"the client closes":                {state{&http.Request{Close: true}, false, ""}, true},
		"draining":                         {state{keepsOpen, true, ""}, true},
		"draining, a pipelined request":    {state{keepsOpen, true, "GET"}, false},
		"the client closes, pipelined":     {state{&http.Request{Close: true}, false, "GET"}, true},
		"not draining, pipelined requests": {state{keepsOpen, false, "GET"}, false},
	} {
		s := &Server{}
		if row.draining {
			s.StartDraining()
		}
		c := &conn{server: s, reader: connReader{buf: []byte(row.buffered), end: len(row.buffered)}}
		if c.decideLastRequest(row.request); c.lastRequest != row.want {
			t.Errorf("%s: lastRequest is %v, want %v", name, c.lastRequest, row.want)
		}
		c.lastRequest = true // a later request must not reset it
		if c.decideLastRequest(keepsOpen); !c.lastRequest {
			t.Errorf("%s: a later request has reset lastRequest", name)
		}
	}
}

// Up to two empty lines before a request are skipped. A third one is an error.
func TestEmptyLinesBeforeRequestAreSkipped(t *testing.T) {
	inner := listen(t)
	startServer(t, NewListener(inner, 10), nil)
	for _, lines := range []string{"", "\r\n", "\r\n\r\n"} {
		requireStatus(t, connect(t, inner, lines+healthRequest), http.StatusOK)
	}
	requireStatus(t, connect(t, inner, "\r\n\r\n\r\n"+healthRequest), http.StatusBadRequest)
}
