package testbed

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/server"
	"rowancart/internal/platform"
)

const (
	requestReadTimeout   = 10 * time.Second // from the first to the last byte of a request
	responseWriteTimeout = 5 * time.Second
)

// exchange is one request to a server and its response.
type exchange struct {
	server    *emulatedServer
	conn      net.Conn
	crashed   <-chan struct{} // closed when the process crashes
	method    string
	target    string
	class     string
	id        string
	body      []byte
	info      requestInfo
	firstByte time.Duration
	lastByte  time.Duration
	work      float64 // seconds on a core of speed 1
	closeConn bool    // after the response, as the request asks
	faults    drawnFaults
}

// drawnFaults holds the faults drawn for one request.
type drawnFaults struct {
	unresponsive bool
	fastError    bool
	breakConn    bool // after the request's last byte
	warmingUp    bool // not a fault: the server has not reached its full capacity
}

// errBreakBefore means that a fault breaks the connection before the last byte of the request.
var errBreakBefore = errors.New("connection broken before the request's last byte")

// serve handles the requests of one connection.
func (s *emulatedServer) serve(nc net.Conn, crashed <-chan struct{}) {
	defer s.removeConn(nc)
	reader := bufio.NewReader(nc)
	connWork := s.run.experiment.Site.Tiers[s.tier].Server.ConnWork.Seconds()
	for {
		x, err := s.readExchange(nc, reader)
		if errors.Is(err, errBreakBefore) {
			resetConn(nc)
			return
		}
		if err != nil {
			return
		}
		x.crashed = crashed
		x.work += connWork
		connWork = 0 // the work of accepting the connection is part of its first request
		if !x.handle() {
			resetConn(nc)
			return
		}
		if x.closeConn {
			return
		}
	}
}

// readExchange reads the next request of a connection. It fails if the connection is idle for
// longer than ConnIdleTimeout.
func (s *emulatedServer) readExchange(nc net.Conn, reader *bufio.Reader) (*exchange, error) {
	tier := s.run.experiment.Site.Tiers[s.tier]
	if tier.Server.ConnIdleTimeout > 0 {
		_ = nc.SetReadDeadline(time.Now().Add(tier.Server.ConnIdleTimeout))
	}
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	firstByte := s.run.now()
	_ = nc.SetReadDeadline(time.Now().Add(requestReadTimeout))
	req, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	if s.drawBreakBefore() {
		return nil, errBreakBefore
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
	if err != nil {
		return nil, err
	}
	lastByte := s.run.now()
	id := req.Header.Get(platform.RequestIDHeader)
	class, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	info := s.run.requestInfo(id)
	return &exchange{
		server:    s,
		conn:      nc,
		method:    req.Method,
		target:    req.URL.RequestURI(),
		class:     class,
		id:        id,
		body:      body,
		info:      info,
		firstByte: firstByte,
		lastByte:  lastByte,
		work:      info.work * tier.WorkFraction,
		closeConn: req.Close,
	}, nil
}

// drawBreakBefore draws whether a fault breaks the connection before the last byte of a request.
func (s *emulatedServer) drawBreakBefore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drawBool(s.faults.BreakBeforeRate)
}

// drawFaults draws the faults that apply to a request after its last byte has arrived. drawResponse
// draws the faults of its response.
func (s *emulatedServer) drawFaults(lastByte time.Duration) drawnFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return drawnFaults{
		unresponsive: s.faults.Unresponsive,
		fastError:    s.drawBool(s.faults.FastErrorRate) || s.model.DrawError(),
		breakConn:    s.drawBool(s.faults.BreakAfterRate),
		warmingUp:    s.model.CapacityFraction(lastByte) < 1,
	}
}

// handle runs the request and sends the response. It reports whether the connection may carry
// another request.
func (x *exchange) handle() (reusable bool) {
	s := x.server
	if x.id == "" { // not a request of a client
		return x.writeResponse(http.StatusNotFound, nil)
	}
	x.faults = s.drawFaults(x.lastByte)
	if x.faults.unresponsive {
		s.waitResponsive(x.crashed)
		return false
	}
	x.recordArrival()
	if x.faults.fastError {
		return x.writeResponse(http.StatusInternalServerError, nil)
	}
	t := newTask(x)
	switch x.admit(t.job) {
	case server.Rejected:
		return x.writeResponse(http.StatusServiceUnavailable, nil)
	case server.Unavailable:
		return false
	}
	if x.faults.breakConn {
		resetConn(x.conn) // the server still runs the request
	}
	status, ok := t.execute()
	if !ok || !x.finish(t.job) || x.faults.breakConn {
		return false
	}
	return x.writeResponse(status, x.responseBody(status))
}

// recordArrival reports the request to the checker.
func (x *exchange) recordArrival() {
	x.server.run.checker.RecordArrival(invariant.Arrival{
		ID:        x.id,
		Server:    x.server.name,
		FirstByte: x.firstByte,
		LastByte:  x.lastByte,
		Digest:    digest(x.method, x.target, x.id, x.body),
		WarmingUp: x.faults.warmingUp,
		Work:      x.work,
	})
}

// responseBody returns the body of the response to a request that has run, and reports it to the
// checker if the request was served.
func (x *exchange) responseBody(status int) []byte {
	if status != http.StatusOK {
		return nil
	}
	s := x.server
	body := []byte(s.name + " made this for " + x.id + "\n")
	s.run.checker.RecordServerResponse(s.name, x.id, xxhash.Sum64(body))
	return body
}

// drawnResponse is a response after the active faults have been applied to it.
type drawnResponse struct {
	text         string
	truncated    bool          // the text is incomplete
	corrupted    bool          // the text is not HTTP
	unresponsive bool          // the server sends nothing
	delay        time.Duration // before the response is sent
}

// isComplete reports whether the text is a complete response.
func (r *drawnResponse) isComplete() bool { return !r.truncated && !r.corrupted }

// drawResponse builds a response and applies the active faults to it.
func (x *exchange) drawResponse(status int, body []byte) drawnResponse {
	s := x.server
	s.mu.Lock()
	r := drawnResponse{
		truncated:    s.drawBool(s.faults.TruncateRate),
		corrupted:    s.drawBool(s.faults.CorruptRate),
		unresponsive: s.faults.Unresponsive,
		delay:        s.faults.ResponseDelay,
	}
	inFlight, hasReport := s.model.LoadReport(s.run.now())
	s.mu.Unlock()
	loadReport := ""
	if hasReport {
		loadReport = fmt.Sprintf("inflight=%.0f", inFlight)
	}
	r.text = responseText(status, body, loadReport)
	switch {
	case r.corrupted:
		r.text = "\x16\x03\x01 no HTTP at all\r\n\r\n"
	case r.truncated:
		r.text = r.text[:max(len(r.text)-max(len(body)/2, 1), 1)]
	}
	return r
}

// responseText returns a response in HTTP/1.1 format. It has no load report header if loadReport is
// empty.
func responseText(status int, body []byte, loadReport string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if status == http.StatusServiceUnavailable {
		b.WriteString(platform.RejectedHeader + ": " + platform.RejectedValue + "\r\n")
	}
	if loadReport != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", platform.LoadReportHeader, loadReport)
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.String()
}

// writeResponse sends a response to which the active faults have been applied. It reports whether
// the connection may carry another request.
func (x *exchange) writeResponse(status int, body []byte) (reusable bool) {
	r := x.drawResponse(status, body)
	if r.unresponsive {
		x.server.waitResponsive(x.crashed)
		return false
	}
	if r.delay > 0 && !x.sleep(r.delay) {
		return false
	}
	_ = x.conn.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	_, err := io.WriteString(x.conn, r.text)
	if r.truncated { // closed without a reset, so that the bytes that were sent arrive
		x.conn.Close()
	}
	return err == nil && r.isComplete()
}
