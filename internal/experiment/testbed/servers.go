package testbed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/counters"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/server"
	"rowancart/internal/experiment/traffic"
)

// emulatedServer is a emulated server: the model behind a listener. It reads HTTP/1.1 by itself, so that it knows when a request's
// first and last byte came and can break connections wherever a fault wants it.
type emulatedServer struct {
	run          *testRun
	tier         int
	index        int
	generation   int
	name         string
	listener     net.Listener
	sidecar      *sidecar // through which it calls the next tier
	sidecarConns *connPool

	mu           sync.Mutex
	model        *server.Server
	timer        *time.Timer
	finishedJobs []*server.Job
	stats        counters.Server
	addedAt      time.Duration
	removedAt    time.Duration
	rng          *rand.Rand
	conns        map[net.Conn]bool
	crashed      chan struct{} // closed at a crash; a restart makes another
	faults       activeFaults
	recovered    chan struct{} // closed when a silence or a stall ends
	closed       bool
}

// activeFaults are those in force at a server.
type activeFaults struct {
	fastErrorRate, breakBeforeRate, breakAfterRate, truncateRate, corruptRate float64
	responseDelay                                                             time.Duration
	unresponsive, acceptStalled                                               bool
	slowdowns                                                                 map[experiment.FaultKind]float64
}

func (r *testRun) newServer(tier, place, generation int, started time.Duration) (*emulatedServer, error) {
	t := r.e.Site.Tiers[tier]
	kind := traffic.KindOf(t, place)
	name := traffic.ServerName(t, place, generation)
	l, err := net.Listen("tcp", fmt.Sprintf("127.81.%d.%d:0", r.serverAddrs/250, r.serverAddrs%250+1))
	if err != nil {
		return nil, fmt.Errorf("box %s: %w", name, err)
	}
	r.serverAddrs++
	h := &emulatedServer{run: r, tier: tier, index: place, generation: generation, name: name, listener: l, rng: experiment.Rand(r.seed, "faults of "+name),
		model:   server.New(kind, t.Server, r.e.Site.Rules, started, experiment.Rand(r.seed, "box "+name)),
		addedAt: max(started, 0), conns: map[net.Conn]bool{}, crashed: make(chan struct{}), recovered: make(chan struct{}),
		stats: counters.Server{Name: name, Kind: kind.Name, Cores: kind.Cores, AddedDuringRun: started >= 0}}
	h.faults.slowdowns = map[experiment.FaultKind]float64{}
	h.timer = time.AfterFunc(time.Hour, h.onTimer)
	r.group.Go(h.accept)
	return h, nil
}

// listEntry is the server as the discovery service lists it now.
func (s *emulatedServer) listEntry(state string) listEntry {
	e := listEntry{ID: s.name, Addr: s.listener.Addr().String(), Zone: "here", Kind: s.stats.Kind, State: state, Weight: 1}
	s.mu.Lock()
	defer s.mu.Unlock()
	if startedAt := s.model.Started(); startedAt >= 0 {
		e.StartedMs = s.run.startTime().Add(startedAt).UnixMilli()
	}
	return e
}

func (s *emulatedServer) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Draining()
}

// advance moves the model to now and hands jobs that are through to those who wait for them. mu is held.
func (s *emulatedServer) advance() time.Duration {
	now := s.run.now()
	// The model wants to be looked at in time: what a late look missed is caught up step by step.
	for next := s.model.NextEvent(); next < now; next = s.model.NextEvent() {
		s.advanceTo(next)
	}
	s.advanceTo(now)
	return now
}

func (s *emulatedServer) advanceTo(at time.Duration) {
	s.finishedJobs = s.model.Advance(at, s.finishedJobs[:0])
	for _, j := range s.finishedJobs {
		j.Owner.(chan struct{}) <- struct{}{} // has room for one, and one is all that comes
	}
}

// reschedule sets the alarm for the model's next event. mu is held.
func (s *emulatedServer) reschedule() {
	if next := s.model.NextEvent() - s.run.now(); next < time.Hour {
		s.timer.Reset(max(next, 0))
	}
}

func (s *emulatedServer) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.reschedule()
}

func (s *emulatedServer) accept() error {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(10 * time.Millisecond) // descriptors are short: others will be given back
			continue
		}
		if !s.waitAccepting() {
			nc.Close()
			return nil
		}
		s.mu.Lock()
		if s.closed || !s.model.Connect() {
			s.mu.Unlock()
			resetConn(nc)
			continue
		}
		s.conns[nc] = true
		died := s.crashed
		s.mu.Unlock()
		s.run.group.Go(func() error {
			s.serve(nc, died)
			return nil
		})
	}
}

// waitAccepting waits until the server is neither silent nor stalled, and reports whether it is still there.
func (s *emulatedServer) waitAccepting() bool {
	for {
		s.mu.Lock()
		asleep, wake := s.faults.unresponsive || s.faults.acceptStalled, s.recovered
		s.mu.Unlock()
		if !asleep {
			return true
		}
		select {
		case <-wake:
		case <-s.run.ctx.Done():
			return false
		}
	}
}

// resetConn closes a connection so that the other side sees a reset.
func resetConn(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	nc.Close()
}

// serve answers the requests of one connection.
func (s *emulatedServer) serve(nc net.Conn, died <-chan struct{}) {
	defer func() {
		nc.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.conns[nc] { // else a crash has forgotten it
			delete(s.conns, nc)
			s.model.Disconnect()
		}
	}()
	read := bufio.NewReader(nc)
	spec := s.run.e.Site.Tiers[s.tier].Server
	for dialed := true; ; dialed = false {
		if spec.ConnIdleTimeout > 0 {
			_ = nc.SetReadDeadline(time.Now().Add(spec.ConnIdleTimeout))
		}
		if _, err := read.Peek(1); err != nil {
			return
		}
		first := s.run.now()
		_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(read)
		if err != nil {
			return
		}
		s.mu.Lock()
		before := s.faults.breakBeforeRate
		breaks := before > 0 && s.rng.Float64() < before
		s.mu.Unlock()
		if breaks {
			resetConn(nc)
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
		if err != nil {
			return
		}
		last := s.run.now()
		if !s.respond(nc, req, body, first, last, dialed, died) {
			resetConn(nc)
			return
		}
		if req.Close {
			return
		}
	}
}

// respond works off one request and reports whether the connection may serve on.
func (s *emulatedServer) respond(nc net.Conn, req *http.Request, body []byte, first, last time.Duration, dialed bool, died <-chan struct{}) bool {
	id := req.Header.Get(idHeader)
	class, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	q := s.run.requestInfo(id)
	t := s.run.e.Site.Tiers[s.tier]
	work := q.work * t.WorkFraction
	if dialed {
		work += t.Server.ConnWork.Seconds()
	}
	if id == "" {
		return s.writeResponse(nc, died, http.StatusNotFound, nil, id) // what came has no form: it was not a request
	}
	s.mu.Lock()
	vanished, failing, after := s.faults.unresponsive, s.faults.fastErrorRate, s.faults.breakAfterRate
	fails := failing > 0 && s.rng.Float64() < failing || s.model.DrawError()
	breaks := after > 0 && s.rng.Float64() < after
	cold := s.model.CapacityFraction(last) < 1
	s.mu.Unlock()
	if vanished {
		s.waitResponsive(died)
		return false
	}
	s.run.checker.RecordArrival(invariant.Arrival{ID: id, Server: s.name, FirstByte: first, LastByte: last, Digest: digest(req.Method, req.URL.RequestURI(), id, body),
		WarmingUp: cold, Work: work})
	if fails {
		return s.writeResponse(nc, died, http.StatusInternalServerError, nil, id)
	}
	through := make(chan struct{}, 1)
	j := &server.Job{Owner: through, Work: work}
	calls, workAfterCalls := 0, 0.0
	if s.sidecar != nil {
		calls, workAfterCalls = t.Calls, work/2
		j.Work = work - workAfterCalls
	}
	s.mu.Lock()
	now := s.advance()
	verdict := s.model.Admit(now, j, work)
	s.stats.Arrivals++
	if verdict == server.Rejected {
		s.stats.Rejected++
	}
	fell := verdict == server.Unavailable && s.model.FellOver()
	s.reschedule()
	s.mu.Unlock()
	switch verdict {
	case server.Rejected:
		s.run.checker.RecordRejection(now, s.name, id)
		return s.writeResponse(nc, died, http.StatusServiceUnavailable, nil, id)
	case server.Unavailable:
		if fell {
			s.run.checker.RecordOverload(now, s.name)
			s.crash()
		}
		return false
	}
	if breaks {
		resetConn(nc) // the work goes on
	}
	wait := func() bool {
		select {
		case <-through:
			return true
		case <-died:
		case <-s.run.ctx.Done():
		}
		return false
	}
	if !wait() {
		return false
	}
	status := http.StatusOK
	for n := range calls {
		if !s.callNextTier(q, class, id, req.Method, body, n) {
			status = http.StatusInternalServerError
			break
		}
	}
	if status == http.StatusOK && workAfterCalls > 0 {
		s.mu.Lock()
		s.advance()
		j.Work = workAfterCalls
		s.model.Resume(j)
		s.reschedule()
		s.mu.Unlock()
		if !wait() {
			return false
		}
	}
	if pause := s.run.offCPUTime(q, s.sidecar != nil); status == http.StatusOK && pause > 0 {
		select {
		case <-time.After(pause):
		case <-died:
			return false
		case <-s.run.ctx.Done():
			return false
		}
	}
	s.mu.Lock()
	s.advance()
	over := j.Finished()
	s.model.Finish(j)
	s.reschedule()
	s.mu.Unlock()
	if over || breaks {
		return false
	}
	var answer []byte
	if status == http.StatusOK {
		answer = []byte(s.name + " made this for " + id + "\n")
		s.run.checker.RecordServerResponse(s.name, id, xxhash.Sum64(answer))
	}
	return s.writeResponse(nc, died, status, answer, id)
}

// callNextTier asks the next tier through the server's own sidecar. A server carries no time on: the class's whole deadline is told.
func (s *emulatedServer) callNextTier(q requestInfo, class, id, method string, body []byte, n int) bool {
	m := &request{id: id + "." + s.name + "." + strconv.Itoa(n), method: method, target: "/" + class + "/" + strconv.Itoa(n), tenant: q.tenant,
		patience: q.deadline, body: body}
	s.run.storeRequest(m.id, q)
	out := s.run.send(m, q, s.sidecar, s.sidecarConns, context.Background())
	return out.outcome == invariant.Served
}

// waitResponsive waits while the machine says nothing, or until it is no more.
func (s *emulatedServer) waitResponsive(died <-chan struct{}) {
	for {
		s.mu.Lock()
		vanished, wake := s.faults.unresponsive, s.recovered
		s.mu.Unlock()
		if !vanished {
			return
		}
		select {
		case <-wake:
		case <-died:
			return
		case <-s.run.ctx.Done():
			return
		}
	}
}

// writeResponse sends an answer, as the faults in force let it.
func (s *emulatedServer) writeResponse(nc net.Conn, died <-chan struct{}, status int, body []byte, id string) bool {
	s.mu.Lock()
	f := s.faults
	cut := f.truncateRate > 0 && s.rng.Float64() < f.truncateRate
	garbled := f.corruptRate > 0 && s.rng.Float64() < f.corruptRate
	inFlight, reports := s.model.LoadReport(s.run.now())
	s.mu.Unlock()
	if f.unresponsive {
		s.waitResponsive(died)
		return false
	}
	if f.responseDelay > 0 {
		select {
		case <-time.After(f.responseDelay):
		case <-died:
			return false
		case <-s.run.ctx.Done():
			return false
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if status == http.StatusServiceUnavailable {
		b.WriteString(rejectedHeader + ": 1\r\n")
	}
	if reports {
		fmt.Fprintf(&b, "%s: inflight=%.0f\r\n", loadHeader, inFlight)
	}
	b.WriteString("\r\n")
	b.Write(body)
	text := b.String()
	switch {
	case garbled:
		text = "\x16\x03\x01 no HTTP at all\r\n\r\n"
	case cut:
		text = text[:max(len(text)-max(len(body)/2, 1), 1)]
	}
	_ = nc.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := io.WriteString(nc, text)
	if cut { // closed in order, so that what was sent arrives
		nc.Close()
	}
	return err == nil && !cut && !garbled
}

// crash ends the process: its connections are reset and new ones refused.
func (s *emulatedServer) crash() {
	s.mu.Lock()
	s.advance()
	s.model.Crash()
	conns := s.conns
	s.conns = map[net.Conn]bool{}
	select {
	case <-s.crashed:
	default:
		close(s.crashed)
	}
	s.mu.Unlock()
	for nc := range conns {
		resetConn(nc)
	}
}

// restart brings a crashed server back, cold.
func (s *emulatedServer) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Restart(s.run.now())
	s.crashed = make(chan struct{})
}

// close ends the server for good.
func (s *emulatedServer) close() {
	s.mu.Lock()
	s.closed = true
	s.timer.Stop()
	s.mu.Unlock()
	s.listener.Close()
	s.crash()
	if s.sidecarConns != nil {
		s.sidecarConns.close()
	}
}

// applyFault begins or ends a fault.
func (s *emulatedServer) applyFault(c traffic.FaultEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	size, period := 0.0, time.Duration(0)
	if c.On {
		size, period = c.Fault.Size, c.Fault.Period
	}
	f := &s.faults
	switch c.Kind {
	case experiment.FastErrors:
		f.fastErrorRate = size
	case experiment.BreakBeforeRequest:
		f.breakBeforeRate = size
	case experiment.BreakAfterRequest:
		f.breakAfterRate = size
	case experiment.TruncateResponse:
		f.truncateRate = size
	case experiment.CorruptResponse:
		f.corruptRate = size
	case experiment.SlowResponse:
		f.responseDelay = period
	case experiment.Unresponsive:
		f.unresponsive = c.On
	case experiment.StallAccept:
		f.acceptStalled = c.On
	case experiment.NoisyNeighbour, experiment.SharedSlowdown:
		factor := 1.0
		if c.On {
			factor = c.Fault.Size
			if c.Kind == experiment.NoisyNeighbour {
				factor = 1 / (1 - min(c.Fault.Size, 0.99))
			}
		}
		f.slowdowns[c.Kind] = factor
		all := 1.0
		for _, x := range f.slowdowns {
			all *= x
		}
		s.model.SetSlowdown(all)
	}
	if !c.On {
		close(s.recovered)
		s.recovered = make(chan struct{})
	}
	s.reschedule()
}
