package testbed

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/platform"
)

const (
	oversizedBody  = 60 << 20         // bytes that an OversizedPeer sends (TERMS, Improper peers)
	oversizedChunk = 64 << 10         // bytes of one write
	extraPeerWait  = time.Second      // beyond the limit, to measure by how much a connection ends too late
	oversizedLimit = time.Duration(2) // times the other peers' limit
)

// runImproperPeer runs one improper peer before a sidecar and records how its connection ended.
func (r *testRun) runImproperPeer(kind experiment.FaultKind, s *sidecar) {
	nc, err := net.DialTimeout("tcp", s.addr, dialTimeout)
	if err != nil {
		return // nothing is required of a sidecar that is down
	}
	defer nc.Close()
	connected := r.now()
	limit := r.experiment.Site.Rules.ImproperPeerTimeout
	class := r.experiment.Site.Classes[0].Name
	sent := "sent nothing"
	switch kind {
	case experiment.PartialRequestPeer:
		sent = "sent half a request"
		_, _ = nc.Write([]byte("GET /" + class + "/x HTTP/1.1\r\nHost: x\r\n" + platform.RequestIDHeader + ": half"))
	case experiment.OversizedPeer:
		sent = "sent 60 MB"
		limit *= oversizedLimit
		go writeOversized(nc, class) // ends with the connection
	}
	_ = nc.SetReadDeadline(time.Now().Add(limit + extraPeerWait))
	end := readPeerEnd(nc)
	if s.killed.Load() || r.ctx.Err() != nil {
		return
	}
	ended := r.now()
	if kind == experiment.OversizedPeer { // the checker knows the other peers' limit only
		ended = connected + (ended-connected)/oversizedLimit
	}
	r.checker.RecordImproperPeer(invariant.ImproperPeer{Connected: connected, Ended: ended, End: end, Sent: sent})
}

// writeOversized writes a request with a body that is too large.
func writeOversized(nc net.Conn, class string) {
	head := "POST /" + class + " HTTP/1.1\r\nHost: x\r\nContent-Length: 62914560\r\n\r\n"
	if _, err := nc.Write([]byte(head)); err != nil {
		return
	}
	chunk := make([]byte, oversizedChunk)
	for sent := 0; sent < oversizedBody; sent += len(chunk) {
		if _, err := nc.Write(chunk); err != nil {
			return
		}
	}
}

// readPeerEnd waits for a response or a close until the connection's deadline, and returns how the
// connection ended.
func readPeerEnd(nc net.Conn) invariant.PeerEnd {
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if isTimeout(err) {
		return invariant.PeerConnected
	}
	if err != nil {
		return invariant.PeerDisconnected
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusBadRequest {
		return invariant.PeerServed
	}
	return invariant.PeerDisconnected
}
