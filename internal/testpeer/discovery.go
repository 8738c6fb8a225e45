package testpeer

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Members is a message of the platform's discovery.
func Members(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// Member is an entry of one.
func Member(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"z","kind":"k","cell":3,"state":%q,"weight":1.0,"started_ms":0}`, id, addr, state)
}

// Script answers each call to discovery with its next step and reports the call.
type Script struct {
	Steps []string // lines; "SILENT" at the end holds the connection open, "RESET" breaks it, "MUTE" alone says nothing at all
	Calls chan string
}

// ServeHTTP implements http.Handler.
func (s *Script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Calls <- r.URL.RawQuery
	if len(s.Steps) == 0 {
		<-r.Context().Done()
		return
	}
	step := s.Steps[0]
	s.Steps = s.Steps[1:]
	text, silent := strings.CutSuffix(step, "SILENT")
	text, reset := strings.CutSuffix(text, "RESET")
	if text != "MUTE" {
		io.WriteString(w, text)
		w.(http.Flusher).Flush()
	}
	switch {
	case silent, text == "MUTE":
		<-r.Context().Done()
	case reset:
		panic(http.ErrAbortHandler)
	}
}
