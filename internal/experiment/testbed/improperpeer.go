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
	oversizedBody        = 60 << 20         // bytes that an OversizedPeer sends (TERMS, section Improper peers)
	oversizedChunk       = 64 << 10         // bytes per write
	peerWaitMargin       = time.Second      // waited after the limit, to measure how late a connection ends
	oversizedLimitFactor = time.Duration(2) // the limit for an OversizedPeer is this multiple of the other peers'
)

// runImproperPeer connects one improper peer to a sidecar and records how its connection ended. The
// peer sends nothing, half a request or a body that is too large.
func (r *testRun) runImproperPeer(kind experiment.FaultKind, s *sidecar) {
	nc, err := net.DialTimeout("tcp", s.addr, dialTimeout)
	if err != nil {
		return // no rule applies to a sidecar that is down
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
		limit *= oversizedLimitFactor
		go writeOversized(nc, class) // returns at the latest when the connection is closed
	}
	_ = nc.SetReadDeadline(time.Now().Add(limit + peerWaitMargin))
	end := readPeerEnd(nc)
	if s.killed.Load() || r.ctx.Err() != nil {
		return
	}
	ended := r.now()
	if kind == experiment.OversizedPeer { // scaled, since the checker applies the other peers' limit
		ended = connected + (ended-connected)/oversizedLimitFactor
	}
	r.checker.RecordImproperPeer(invariant.ImproperPeer{Connected: connected, Ended: ended, End: end, Sent: sent})
}

// writeOversized writes a request with a body of oversizedBody bytes, which is too large.
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

// readPeerEnd waits until a response arrives, the sidecar closes the connection or the read
// deadline passes, and returns how the connection ended.
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
