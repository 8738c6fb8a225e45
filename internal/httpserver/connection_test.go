package httpserver

import (
	"net/http"
	"testing"
)

// panickingRouter is a faulty router.
type panickingRouter struct{}

// Route implements Router.
func (panickingRouter) Route(*http.Request) (Target, *Rejection) { panic("planted by a test") }

// A request that was read gets its one response, also if its handling panics, and the process goes
// on.
func TestPanicIsAnsweredWithBadGateway(t *testing.T) {
	inner := listen(t)
	startServer(t, NewListener(inner, 10), panickingRouter{})
	nc := connect(t, inner, "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: r\r\nReq-Deadline-Ms: 1000\r\n\r\n")
	requireStatus(t, nc, http.StatusBadGateway)
	requireStatus(t, connect(t, inner, healthRequest), http.StatusOK)
}

// Up to two empty lines before a request are skipped, however they arrive.
func TestEmptyLinesBeforeRequestAreSkipped(t *testing.T) {
	inner := listen(t)
	startServer(t, NewListener(inner, 10), nil)
	for _, lines := range []string{"", "\r\n", "\r\n\r\n"} {
		requireStatus(t, connect(t, inner, lines+healthRequest), http.StatusOK)
	}
	requireStatus(t, connect(t, inner, "\r\n\r\n\r\n"+healthRequest), http.StatusBadRequest)
}
