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

// host is a stand-in box: the model behind a listener. It reads HTTP/1.1 by itself, so that it knows when a request's
// first and last byte came and can break connections wherever a fault wants it.
type host struct {
	r          *run
	tier       int
	place      int
	generation int
	name       string
	listener   net.Listener
	below      *sidecar // through which it calls the next tier
	calls      *links

	mu     sync.Mutex
	box    *server.Box
	alarm  *time.Timer
	done   []*server.Job
	stats  counters.Box
	came   time.Duration
	gone   time.Duration
	rng    *rand.Rand
	conns  map[net.Conn]bool
	died   chan struct{} // closed at a crash; a restart makes another
	faults faults
	wake   chan struct{} // closed when a silence or a stall ends
	closed bool
}

// faults are those in force at a box.
type faults struct {
	failing, before, after, within, garble float64
	delay                                  time.Duration
	vanished, stalled                      bool
	slow                                   map[experiment.FaultKind]float64
}

func (r *run) newHost(tier, place, generation int, started time.Duration) (*host, error) {
	t := r.e.Site.Tiers[tier]
	kind := traffic.Kind(t, place)
	name := traffic.Name(t, place, generation)
	l, err := net.Listen("tcp", fmt.Sprintf("127.81.%d.%d:0", r.hosts/250, r.hosts%250+1))
	if err != nil {
		return nil, fmt.Errorf("box %s: %w", name, err)
	}
	r.hosts++
	h := &host{r: r, tier: tier, place: place, generation: generation, name: name, listener: l, rng: experiment.Rand(r.seed, "faults of "+name),
		box:  server.New(kind, t.Box, r.e.Site.Rules, started, experiment.Rand(r.seed, "box "+name)),
		came: max(started, 0), conns: map[net.Conn]bool{}, died: make(chan struct{}), wake: make(chan struct{}),
		stats: counters.Box{Name: name, Kind: kind.Name, Cores: kind.Cores, Fresh: started >= 0}}
	h.faults.slow = map[experiment.FaultKind]float64{}
	h.alarm = time.AfterFunc(time.Hour, h.ring)
	r.group.Go(h.accept)
	return h, nil
}

// entry is the box as the roster lists it now.
func (h *host) entry(state string) entry {
	e := entry{ID: h.name, Addr: h.listener.Addr().String(), Zone: "here", Kind: h.stats.Kind, State: state, Weight: 1}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.box.Started(); s >= 0 {
		e.StartedMs = h.r.base().Add(s).UnixMilli()
	}
	return e
}

func (h *host) drains() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.box.Drains()
}

// advance moves the model to now and hands jobs that are through to those who wait for them. mu is held.
func (h *host) advance() time.Duration {
	now := h.r.now()
	// The model wants to be looked at in time: what a late look missed is caught up step by step.
	for next := h.box.Next(); next < now; next = h.box.Next() {
		h.step(next)
	}
	h.step(now)
	return now
}

func (h *host) step(at time.Duration) {
	h.done = h.box.Advance(at, h.done[:0])
	for _, j := range h.done {
		j.Owner.(chan struct{}) <- struct{}{} // has room for one, and one is all that comes
	}
}

// reschedule sets the alarm for the model's next event. mu is held.
func (h *host) reschedule() {
	if next := h.box.Next() - h.r.now(); next < time.Hour {
		h.alarm.Reset(max(next, 0))
	}
}

func (h *host) ring() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance()
	h.reschedule()
}

func (h *host) accept() error {
	for {
		nc, err := h.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(10 * time.Millisecond) // descriptors are short: others will be given back
			continue
		}
		if !h.awake() {
			nc.Close()
			return nil
		}
		h.mu.Lock()
		if h.closed || !h.box.Connect() {
			h.mu.Unlock()
			reset(nc)
			continue
		}
		h.conns[nc] = true
		died := h.died
		h.mu.Unlock()
		h.r.group.Go(func() error {
			h.serve(nc, died)
			return nil
		})
	}
}

// awake waits until the box is neither silent nor stalled, and tells whether it is still there.
func (h *host) awake() bool {
	for {
		h.mu.Lock()
		asleep, wake := h.faults.vanished || h.faults.stalled, h.wake
		h.mu.Unlock()
		if !asleep {
			return true
		}
		select {
		case <-wake:
		case <-h.r.work.Done():
			return false
		}
	}
}

// reset closes a connection so that the other side sees a reset.
func reset(nc net.Conn) {
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	nc.Close()
}

// serve answers the requests of one connection.
func (h *host) serve(nc net.Conn, died <-chan struct{}) {
	defer func() {
		nc.Close()
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.conns[nc] { // else a crash has forgotten it
			delete(h.conns, nc)
			h.box.Disconnect()
		}
	}()
	read := bufio.NewReader(nc)
	spec := h.r.e.Site.Tiers[h.tier].Box
	for dialed := true; ; dialed = false {
		if spec.ConnIdle > 0 {
			_ = nc.SetReadDeadline(time.Now().Add(spec.ConnIdle))
		}
		if _, err := read.Peek(1); err != nil {
			return
		}
		first := h.r.now()
		_ = nc.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(read)
		if err != nil {
			return
		}
		h.mu.Lock()
		before := h.faults.before
		breaks := before > 0 && h.rng.Float64() < before
		h.mu.Unlock()
		if breaks {
			reset(nc)
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, maxBody+1))
		if err != nil {
			return
		}
		last := h.r.now()
		if !h.respond(nc, req, body, first, last, dialed, died) {
			reset(nc)
			return
		}
		if req.Close {
			return
		}
	}
}

// respond works off one request and tells whether the connection may serve on.
func (h *host) respond(nc net.Conn, req *http.Request, body []byte, first, last time.Duration, dialed bool, died <-chan struct{}) bool {
	id := req.Header.Get(idName)
	class, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	q := h.r.wanted(id)
	t := h.r.e.Site.Tiers[h.tier]
	work := q.work * t.Work
	if dialed {
		work += t.Box.ConnWork.Seconds()
	}
	if id == "" {
		return h.write(nc, died, http.StatusNotFound, nil, id) // what came has no form: it was not a request
	}
	h.mu.Lock()
	vanished, failing, after := h.faults.vanished, h.faults.failing, h.faults.after
	fails := failing > 0 && h.rng.Float64() < failing || h.box.Fails()
	breaks := after > 0 && h.rng.Float64() < after
	cold := h.box.Warmth(last) < 1
	h.mu.Unlock()
	if vanished {
		h.quiet(died)
		return false
	}
	h.r.ledger.Reached(invariant.Arrival{ID: id, Box: h.name, First: first, Last: last, Digest: digest(req.Method, req.URL.RequestURI(), id, body),
		Cold: cold, Work: work})
	if fails {
		return h.write(nc, died, http.StatusInternalServerError, nil, id)
	}
	through := make(chan struct{}, 1)
	j := &server.Job{Owner: through, Work: work}
	calls, rest := 0, 0.0
	if h.below != nil {
		calls, rest = t.Calls, work/2
		j.Work = work - rest
	}
	h.mu.Lock()
	now := h.advance()
	verdict := h.box.Arrive(now, j, work)
	h.stats.Arrivals++
	if verdict == server.Declined {
		h.stats.Declined++
	}
	fell := verdict == server.Dead && h.box.Fell()
	h.reschedule()
	h.mu.Unlock()
	switch verdict {
	case server.Declined:
		h.r.ledger.Declined(now, h.name, id)
		return h.write(nc, died, http.StatusServiceUnavailable, nil, id)
	case server.Dead:
		if fell {
			h.r.ledger.Fell(now, h.name)
			h.crash()
		}
		return false
	}
	if breaks {
		reset(nc) // the work goes on
	}
	wait := func() bool {
		select {
		case <-through:
			return true
		case <-died:
		case <-h.r.work.Done():
		}
		return false
	}
	if !wait() {
		return false
	}
	status := http.StatusOK
	for n := range calls {
		if !h.call(q, class, id, req.Method, body, n) {
			status = http.StatusInternalServerError
			break
		}
	}
	if status == http.StatusOK && rest > 0 {
		h.mu.Lock()
		h.advance()
		j.Work = rest
		h.box.Resume(j)
		h.reschedule()
		h.mu.Unlock()
		if !wait() {
			return false
		}
	}
	if pause := h.r.pause(q, h.below != nil); status == http.StatusOK && pause > 0 {
		select {
		case <-time.After(pause):
		case <-died:
			return false
		case <-h.r.work.Done():
			return false
		}
	}
	h.mu.Lock()
	h.advance()
	over := j.Over()
	h.box.End(j)
	h.reschedule()
	h.mu.Unlock()
	if over || breaks {
		return false
	}
	var answer []byte
	if status == http.StatusOK {
		answer = []byte(h.name + " made this for " + id + "\n")
		h.r.ledger.Made(h.name, id, xxhash.Sum64(answer))
	}
	return h.write(nc, died, status, answer, id)
}

// call asks the next tier through the box's own sidecar. A box carries no time on: the class's whole deadline is told.
func (h *host) call(q wanted, class, id, method string, body []byte, n int) bool {
	m := &message{id: id + "." + h.name + "." + strconv.Itoa(n), method: method, target: "/" + class + "/" + strconv.Itoa(n), tenant: q.tenant,
		patience: q.deadline, body: body}
	h.r.remember(m.id, q)
	out := h.r.ask(m, q, h.below, h.calls, context.Background())
	return out.fate == invariant.Served
}

// quiet waits while the machine says nothing, or until it is no more.
func (h *host) quiet(died <-chan struct{}) {
	for {
		h.mu.Lock()
		vanished, wake := h.faults.vanished, h.wake
		h.mu.Unlock()
		if !vanished {
			return
		}
		select {
		case <-wake:
		case <-died:
			return
		case <-h.r.work.Done():
			return
		}
	}
}

// write sends an answer, as the faults in force let it.
func (h *host) write(nc net.Conn, died <-chan struct{}, status int, body []byte, id string) bool {
	h.mu.Lock()
	f := h.faults
	cut := f.within > 0 && h.rng.Float64() < f.within
	garbled := f.garble > 0 && h.rng.Float64() < f.garble
	held, reports := h.box.Report(h.r.now())
	h.mu.Unlock()
	if f.vanished {
		h.quiet(died)
		return false
	}
	if f.delay > 0 {
		select {
		case <-time.After(f.delay):
		case <-died:
			return false
		case <-h.r.work.Done():
			return false
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if status == http.StatusServiceUnavailable {
		b.WriteString(declinedName + ": 1\r\n")
	}
	if reports {
		fmt.Fprintf(&b, "%s: inflight=%.0f\r\n", loadName, held)
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
func (h *host) crash() {
	h.mu.Lock()
	h.advance()
	h.box.Crash()
	conns := h.conns
	h.conns = map[net.Conn]bool{}
	select {
	case <-h.died:
	default:
		close(h.died)
	}
	h.mu.Unlock()
	for nc := range conns {
		reset(nc)
	}
}

// restart brings a crashed box back, cold.
func (h *host) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.box.Restart(h.r.now())
	h.died = make(chan struct{})
}

// close ends the box for good.
func (h *host) close() {
	h.mu.Lock()
	h.closed = true
	h.alarm.Stop()
	h.mu.Unlock()
	h.listener.Close()
	h.crash()
	if h.calls != nil {
		h.calls.close()
	}
}

// strike begins or ends a fault.
func (h *host) strike(c traffic.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance()
	size, period := 0.0, time.Duration(0)
	if c.On {
		size, period = c.Fault.Size, c.Fault.Period
	}
	f := &h.faults
	switch c.Kind {
	case experiment.FastErrors:
		f.failing = size
	case experiment.BreakBefore:
		f.before = size
	case experiment.BreakAfter:
		f.after = size
	case experiment.BreakAnswer:
		f.within = size
	case experiment.GarbleAnswer:
		f.garble = size
	case experiment.SlowAnswer:
		f.delay = period
	case experiment.Vanish:
		f.vanished = c.On
	case experiment.StallAccept:
		f.stalled = c.On
	case experiment.Neighbour, experiment.SharedSlow:
		factor := 1.0
		if c.On {
			factor = c.Fault.Size
			if c.Kind == experiment.Neighbour {
				factor = 1 / (1 - min(c.Fault.Size, 0.99))
			}
		}
		f.slow[c.Kind] = factor
		all := 1.0
		for _, x := range f.slow {
			all *= x
		}
		h.box.Slow(all)
	}
	if !c.On {
		close(h.wake)
		h.wake = make(chan struct{})
	}
	h.reschedule()
}
