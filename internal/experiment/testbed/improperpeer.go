package testbed

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"time"

	"rowancart/internal/experiment"
)

// oversizedBody is what a peer sends that sends too much (TERMS, Improper peers).
const oversizedBody = 60 << 20

// playImproperPeer plays one improper peer before a sidecar and reports how it ended.
func (r *testRun) playImproperPeer(kind experiment.FaultKind, s *sidecar) {
	nc, err := net.DialTimeout("tcp", s.addr, dialTimeout)
	if err != nil {
		return // a sidecar that is down owes nothing
	}
	defer nc.Close()
	connected := r.now()
	limit := r.e.Site.Rules.ImproperPeerTimeout
	what := "sent nothing"
	switch kind {
	case experiment.PartialRequestPeer:
		what = "sent half a request"
		_, _ = nc.Write([]byte("GET /" + r.e.Site.Classes[0].Name + "/x HTTP/1.1\r\nHost: x\r\nReq-Id: half"))
	case experiment.OversizedPeer:
		what = "sent 60 MB"
		limit *= 2
		go func() { // ends with the connection
			head := "POST /" + r.e.Site.Classes[0].Name + " HTTP/1.1\r\nHost: x\r\nContent-Length: 62914560\r\n\r\n"
			if _, err := nc.Write([]byte(head)); err != nil {
				return
			}
			chunk := make([]byte, 64<<10)
			for sent := 0; sent < oversizedBody; sent += len(chunk) {
				if _, err := nc.Write(chunk); err != nil {
					return
				}
			}
		}()
	}
	// Waits longer than the rule allows, to tell how late the end was.
	_ = nc.SetReadDeadline(time.Now().Add(limit + time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if s.killed.Load() || r.ctx.Err() != nil {
		return
	}
	served, got := false, true
	switch ne := net.Error(nil); {
	case err == nil:
		served, got = resp.StatusCode < http.StatusBadRequest, true
		resp.Body.Close()
	case errors.As(err, &ne) && ne.Timeout():
		got = false
	}
	ended := r.now()
	if kind == experiment.OversizedPeer { // its limit is twice the others'
		ended = connected + (ended-connected)/2
	}
	r.checker.RecordImproperPeer(connected, ended, what, got, served)
}
