package testbed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/server"
	"rowancart/internal/platform"
)

const (
	requestReadTimeout   = 10 * time.Second // from the first byte of a request to its last
	responseWriteTimeout = 5 * time.Second
)

// exchange is one request to a server, with its response.
type exchange struct {
	server    *emulatedServer
	conn      net.Conn
	crashed   <-chan struct{} // closed when the process dies
	method    string
	target    string
	class     string
	id        string
	body      []byte
	info      requestInfo
	firstByte time.Duration
	lastByte  time.Duration
	work      float64 // seconds on a core of speed 1
	faults    drawnFaults
}

// drawnFaults are the faults that strike one request.
type drawnFaults struct {
	unresponsive bool
	fastError    bool
	breakConn    bool // after the last byte
	warmingUp    bool // no fault: the server is not at its full capacity
}

// serve handles the requests of one connection.
func (s *emulatedServer) serve(nc net.Conn, crashed <-chan struct{}) {
	defer s.removeConn(nc)
	reader := bufio.NewReader(nc)
	idleTimeout := s.run.experiment.Site.Tiers[s.tier].Server.ConnIdleTimeout
	for newConn := true; ; newConn = false {
		if idleTimeout > 0 {
			_ = nc.SetReadDeadline(time.Now().Add(idleTimeout))
		}
		if _, err := reader.Peek(1); err != nil {
			return
		}
		x := &exchange{server: s, conn: nc, crashed: crashed, firstByte: s.run.now()}
		_ = nc.SetReadDeadline(time.Now().Add(requestReadTimeout))
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if s.drawBreakBefore() {
			resetConn(nc)
			return
		}
		if x.body, err = io.ReadAll(io.LimitReader(req.Body, maxBody+1)); err != nil {
			return
		}
		x.lastByte = s.run.now()
		x.method, x.target, x.id = req.Method, req.URL.RequestURI(), req.Header.Get(platform.RequestIDHeader)
		x.class, _, _ = strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
		x.setWork(newConn)
		if !x.handle() {
			resetConn(nc)
			return
		}
		if req.Close {
			return
		}
	}
}

// drawBreakBefore draws whether a connection breaks before a request's last byte.
func (s *emulatedServer) drawBreakBefore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draws(s.faults.BreakBeforeRate)
}

// setWork sets what the request needs.
func (x *exchange) setWork(newConn bool) {
	tier := &x.server.run.experiment.Site.Tiers[x.server.tier]
	x.info = x.server.run.requestInfo(x.id)
	x.work = x.info.work * tier.WorkFraction
	if newConn {
		x.work += tier.Server.ConnWork.Seconds()
	}
}

// drawFaults draws the faults that strike a request.
func (s *emulatedServer) drawFaults(lastByte time.Duration) drawnFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return drawnFaults{
		unresponsive: s.faults.Unresponsive,
		fastError:    s.draws(s.faults.FastErrorRate) || s.model.DrawError(),
		breakConn:    s.draws(s.faults.BreakAfterRate),
		warmingUp:    s.model.CapacityFraction(lastByte) < 1,
	}
}

// handle runs the request and sends the response. It reports whether the connection may carry
// another request.
func (x *exchange) handle() (reusable bool) {
	s := x.server
	if x.id == "" { // no client's request
		return x.writeResponse(http.StatusNotFound, nil)
	}
	x.faults = s.drawFaults(x.lastByte)
	if x.faults.unresponsive {
		s.waitResponsive(x.crashed)
		return false
	}
	s.run.checker.RecordArrival(invariant.Arrival{ID: x.id, Server: s.name, FirstByte: x.firstByte, LastByte: x.lastByte,
		Digest: digest(x.method, x.target, x.id, x.body), WarmingUp: x.faults.warmingUp, Work: x.work})
	if x.faults.fastError {
		return x.writeResponse(http.StatusInternalServerError, nil)
	}
	done := make(chan struct{}, 1)
	job := &server.Job{Owner: done, Work: x.work}
	workAfterCalls := 0.0
	if s.sidecar != nil {
		workAfterCalls = x.work / 2
		job.Work = x.work - workAfterCalls
	}
	switch x.admit(job) {
	case server.Rejected:
		return x.writeResponse(http.StatusServiceUnavailable, nil)
	case server.Unavailable:
		return false
	}
	if x.faults.breakConn {
		resetConn(x.conn) // the work goes on
	}
	status, ok := x.execute(job, done, workAfterCalls)
	if !ok || !x.finish(job) || x.faults.breakConn {
		return false
	}
	var body []byte
	if status == http.StatusOK {
		body = []byte(s.name + " made this for " + x.id + "\n")
		s.run.checker.RecordServerResponse(s.name, x.id, xxhash.Sum64(body))
	}
	return x.writeResponse(status, body)
}

// admit offers the job to the model. A server that is overloaded by it crashes.
func (x *exchange) admit(job *server.Job) server.Admission {
	s := x.server
	s.mu.Lock()
	now := s.advance()
	admission := s.model.Admit(now, job, x.work)
	s.stats.Arrivals++
	if admission == server.Rejected {
		s.stats.Rejected++
	}
	overloaded := admission == server.Unavailable && s.model.Overloaded()
	s.reschedule()
	s.mu.Unlock()
	switch {
	case admission == server.Rejected:
		s.run.checker.RecordRejection(now, s.name, x.id)
	case overloaded:
		s.run.checker.RecordOverload(now, s.name)
		s.crash()
	}
	return admission
}

// execute waits for the job's work, the calls to the next tier, the work after them, and the time
// off the CPU. It returns the status of the response, and false if the process died or the run
// ended before.
func (x *exchange) execute(job *server.Job, done <-chan struct{}, workAfterCalls float64) (status int, ok bool) {
	s := x.server
	if !x.wait(done) {
		return 0, false
	}
	if s.sidecar != nil {
		for n := range s.run.experiment.Site.Tiers[s.tier].Calls {
			if !x.callNextTier(n) {
				return http.StatusInternalServerError, true
			}
		}
	}
	if workAfterCalls > 0 {
		s.mu.Lock()
		s.advance()
		job.Work = workAfterCalls
		s.model.Resume(job)
		s.reschedule()
		s.mu.Unlock()
		if !x.wait(done) {
			return 0, false
		}
	}
	if s.sidecar == nil {
		if offCPU := s.run.experiment.Site.Classes[x.info.classIndex].OffCPUTime; offCPU > 0 && !x.sleep(offCPU) {
			return 0, false
		}
	}
	return http.StatusOK, true
}

// wait waits for done. It reports false if the process died or the run ended before.
func (x *exchange) wait(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-x.crashed:
	case <-x.server.run.ctx.Done():
	}
	return false
}

// sleep waits for a time. It reports false if the process died or the run ended before.
func (x *exchange) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-x.crashed:
	case <-x.server.run.ctx.Done():
	}
	return false
}

// finish frees the job's slot. It reports false if a crash had done so before.
func (x *exchange) finish(job *server.Job) bool {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	alive := !job.Finished()
	s.model.Finish(job)
	s.reschedule()
	return alive
}

// callNextTier makes call n to the next tier through the server's own sidecar. Servers pass on no
// deadline: a call has the class's whole time. It reports whether the call was served.
func (x *exchange) callNextTier(n int) bool {
	s := x.server
	number := strconv.Itoa(n)
	m := &request{id: x.id + "." + s.name + "." + number, method: x.method, target: "/" + x.class + "/" + number,
		tenant: x.info.tenant, patience: x.info.deadline, body: x.body}
	s.run.storeRequest(m.id, x.info)
	return s.run.send(context.Background(), m, x.info, s.sidecar, s.sidecarConns).outcome == invariant.Served
}

// drawnResponse is a response as the faults in force let it out.
type drawnResponse struct {
	text         string
	truncated    bool // the text breaks off
	corrupted    bool // the text is not HTTP
	unresponsive bool // the machine sends nothing
	delay        time.Duration
}

// isComplete reports whether the text is a complete response.
func (r *drawnResponse) isComplete() bool { return !r.truncated && !r.corrupted }

// drawResponse draws what the faults in force make of a response.
func (x *exchange) drawResponse(status int, body []byte) drawnResponse {
	s := x.server
	s.mu.Lock()
	r := drawnResponse{
		truncated:    s.draws(s.faults.TruncateRate),
		corrupted:    s.draws(s.faults.CorruptRate),
		unresponsive: s.faults.Unresponsive,
		delay:        s.faults.ResponseDelay,
	}
	inFlight, reports := s.model.LoadReport(s.run.now())
	s.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if status == http.StatusServiceUnavailable {
		b.WriteString(platform.RejectedHeader + ": " + platform.RejectedValue + "\r\n")
	}
	if reports {
		fmt.Fprintf(&b, "%s: inflight=%.0f\r\n", platform.LoadReportHeader, inFlight)
	}
	b.WriteString("\r\n")
	b.Write(body)
	r.text = b.String()
	switch {
	case r.corrupted:
		r.text = "\x16\x03\x01 no HTTP at all\r\n\r\n"
	case r.truncated:
		r.text = r.text[:max(len(r.text)-max(len(body)/2, 1), 1)]
	}
	return r
}

// writeResponse sends a response, as the faults in force let it. It reports whether the connection
// may carry another request.
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
	if r.truncated { // closed in order, so that what was sent arrives
		x.conn.Close()
	}
	return err == nil && r.isComplete()
}
