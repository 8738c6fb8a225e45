package testpeer

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Members returns a message of the platform's endpoint discovery: the complete list if full is set,
// else changes. The entries are made by Member.
func Members(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// Member returns one entry of a message of the platform's endpoint discovery.
func Member(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"z","kind":"k","cell":3,"state":%q,"weight":1.0,"started_ms":0}`,
		id, addr, state)
}

// Script is an endpoint discovery that answers each call with its next step. After the last one it
// doesn't respond any more. It must be called by one client at a time.
type Script struct {
	// Steps are the bodies of responses. What follows the body is marked at a step's end: "SILENT"
	// leaves the response open, and "RESET" breaks the connection. A step of "MUTE" is no response.
	Steps []string
	// Calls is sent the query of each call. A call waits until it is received or buffered.
	Calls chan string
}

// The marks of a step.
const (
	markOpen       = "SILENT"
	markReset      = "RESET"
	stepNoResponse = "MUTE"
)

// ServeHTTP implements http.Handler.
func (s *Script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Calls <- r.URL.RawQuery
	step := stepNoResponse
	if len(s.Steps) > 0 {
		step, s.Steps = s.Steps[0], s.Steps[1:]
	}
	if step == stepNoResponse {
		<-r.Context().Done()
		return
	}
	body, staysOpen := strings.CutSuffix(step, markOpen)
	body, resets := strings.CutSuffix(body, markReset)
	io.WriteString(w, body)
	w.(http.Flusher).Flush()
	switch {
	case staysOpen:
		<-r.Context().Done()
	case resets:
		panic(http.ErrAbortHandler)
	}
}
