package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rowancart/balancer"
	"rowancart/internal/http1"
)

const (
	maxInterim  = 8 // 1xx answers ahead of the one that counts
	sweepEvery  = 100 * time.Millisecond
	idleLeast   = 100 * time.Millisecond // idle connections this young are used whatever closes were seen
	defaultIdle = 15 * time.Second
	defaultDial = 250 * time.Millisecond
	idleShare   = 0.9 // of the endpoint's idle limit, after which a connection is no longer used
	declined    = "Srv-Declined"
)

// What both sides of an engine go by.
const (
	MaxBody         = 64 << 10          // bytes of a request's or an answer's body
	MaxHead         = 16 << 10          // bytes of its head
	MaxStreamedBody = 40 << 20          // bytes of a body that flows; the platform's have up to 32 MB
	DeadlineHeader  = "Req-Deadline-Ms" // how long a caller waits, in milliseconds
)

// upstream makes attempts over connections of its own. net/http's Transport is not used: it sends some requests
// again by itself when a reused connection breaks, which is a second copy, and dials spare connections.
type upstream struct {
	connect func(ctx context.Context, network, addr string) (net.Conn, error)
	pause   func(ctx context.Context) // until its end
	relay   bool                      // answers below 500 are passed on as they are
	written atomic.Int64              // requests, whole

	mu          sync.Mutex
	dialTimeout time.Duration
	most        int           // connections open at once
	settle      time.Duration // for which a connection rests after an answer
	toldIdle    time.Duration // as the options say
	idleFor     time.Duration // after which an idle connection is no longer used
	open        int
	pools       map[string]*pool // by endpoint id
}

// pool holds the idle connections to one endpoint, the one used last at the end.
type pool struct {
	addr    string
	keep    bool      // connections are worth keeping
	told    time.Time // when the endpoint has started, as the roster says,
	started time.Time // and as that can be true; nobody is at the other end of connections from before, though they may say nothing
	fault   string    // how the latest attempt that failed did so; empty once one has succeeded
	idle    []*conn
}

// resting is how many of the idle connections have not rested yet: those at the end.
func (p *pool) resting(now time.Time, settle time.Duration) int {
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[len(p.idle)-1-n].idleAt) < settle {
		n++
	}
	return n
}

// keeps tells whether a connection to the endpoint leads to what it is now, and is worth keeping. The upstream's lock is held.
func (p *pool) keeps(c *conn) bool { return p.keep && p.addr == c.addr && !c.upAt.Before(p.started) }

// conn is one connection; it carries one attempt at a time.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	limit  *io.LimitedReader // bounds what one answer may bring
	read   *bufio.Reader
	out    []byte // what is being written
	pool   *pool
	addr   string
	upAt   time.Time
	idleAt time.Time
}

func newUpstream(o Options) *upstream {
	u := &upstream{connect: (&net.Dialer{}).DialContext, pause: func(ctx context.Context) { <-ctx.Done() }, relay: o.PassThrough, pools: map[string]*pool{}}
	u.configure(o)
	return u
}

// configure sets the limits. How soon endpoints were seen to close stands until the options say something new.
func (u *upstream) configure(o Options) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if o.ConnIdle <= 0 {
		o.ConnIdle = defaultIdle
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDial
	}
	if u.toldIdle != o.ConnIdle {
		u.toldIdle, u.idleFor = o.ConnIdle, time.Duration(float64(o.ConnIdle)*idleShare)
	}
	u.dialTimeout, u.most, u.settle = o.DialTimeout, o.MaxConns, o.Quarantine
}

// limit sets how many connections may be open at once.
func (u *upstream) limit(most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.most = most
	for u.open > u.most && u.evict() {
		continue
	}
}

// count tells how many endpoints may be sent to, how many not, and how many connections are open.
func (u *upstream) count() (ready, draining, open int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.pools {
		if p.keep {
			ready++
		} else {
			draining++
		}
	}
	return ready, draining, u.open
}

// setMember says where an endpoint is and whether connections to it are worth keeping. Those to an old address, or
// to an endpoint that takes nothing new, are closed.
func (u *upstream) setMember(id, addr string, keep bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[id]
	if p == nil {
		p = &pool{}
		u.pools[id] = p
	}
	if p.addr != addr || !keep {
		u.drain(p)
	}
	p.addr, p.keep = addr, keep
}

// started says when an endpoint has started. Idle connections from before that are closed. A start in the future is one by now: else a
// clock that is ahead would keep all connections from being used.
func (u *upstream) started(id string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[id]
	if p == nil || !at.After(p.told) {
		return
	}
	p.told, p.started = at, at
	if now := time.Now(); at.After(now) {
		p.started = now
	}
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if p.keeps(c) {
			return false
		}
		u.closeLocked(c)
		return true
	})
}

// removeMember forgets an endpoint.
func (u *upstream) removeMember(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pools[id]; p != nil {
		u.drain(p)
		p.keep = false
		delete(u.pools, id)
	}
}

// drain closes a pool's idle connections. u.mu is held.
func (u *upstream) drain(p *pool) {
	for _, c := range p.idle {
		u.closeLocked(c)
	}
	p.idle = nil
}

func (u *upstream) closeLocked(c *conn) {
	c.Close()
	u.open--
}

func (u *upstream) discard(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeLocked(c)
}

// standing tells how many connections to an endpoint are idle, and how the latest attempt there failed, if it did.
func (u *upstream) standing(id string) (idle int, fault string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pools[id]; p != nil {
		return len(p.idle), p.fault
	}
	return 0, ""
}

// failed notes how an attempt failed.
func (u *upstream) failed(id string, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pools[id]; p != nil {
		p.fault = err.Error()
	}
}

// run closes idle connections that have died or stood too long, until ctx ends; then it closes all idle ones.
func (u *upstream) run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			u.sweep(func(*conn) bool { return false })
			return
		case now := <-tick.C:
			u.sweep(func(c *conn) bool { return u.usable(c, now) })
		}
	}
}

func (u *upstream) sweep(keep func(*conn) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if keep(c) {
				kept = append(kept, c)
			} else {
				u.closeLocked(c)
			}
		}
		clear(p.idle[len(kept):])
		p.idle = kept
	}
}

// usable tells whether an idle connection may carry another request, and learns from one that its endpoint has closed.
// Endpoints may close sooner than the settings say, and a request that crosses the close ends as a reset and may not be
// sent again. So from the first close seen on, connections are used for half of the shortest such time only. A close right
// behind an answer says nothing of how long endpoints keep what is idle. u.mu is held.
func (u *upstream) usable(c *conn, now time.Time) bool {
	idle := now.Sub(c.idleAt)
	if !c.quiet() {
		if idle > u.settle+sweepEvery { // else it may have come while the connection rested
			u.idleFor = min(u.idleFor, max(idle/2, idleLeast))
		}
		return false
	}
	return idle < u.idleFor
}

// quiet tells whether nothing has come on an idle connection: no end, no break, no bytes that nobody asked for. It
// guards against sending on a connection that the endpoint has closed, which would end as a reset.
func (c *conn) quiet() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// leash ends an attempt from outside: at its deadline, or when it is called off.
type leash struct {
	deadline time.Time
	written  func()      // is told when a long request has been written whole; nil: nobody asks
	left     func() bool // tells whether the caller has left; nil: nobody knows

	mu     sync.Mutex
	called bool      // off
	whole  bool      // the request is written: it may run from now on
	ends   io.Closer // what is under way: a wait, or an exchange on a connection
}

// cancel calls the attempt off. What is under way ends at once.
func (l *leash) cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callOff()
}

// withdraw calls the attempt off if its request is not written whole: nobody waits for an answer any more, and what has not
// been asked for need not be, whether what runs may be called off or not.
func (l *leash) withdraw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.whole {
		l.callOff()
	}
}

// callOff ends what is under way. l.mu is held.
func (l *leash) callOff() {
	l.called = true
	if l.ends != nil {
		l.ends.Close()
	}
}

// wrote notes that the request is written whole.
func (l *leash) wrote() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole = true
}

// hold says what is under way, nil for nothing any more, and tells whether the attempt goes on.
func (l *leash) hold(c io.Closer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = c
	return !l.called
}

func (l *leash) canceled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.called
}

// unlessCanceled is r, or Canceled if the attempt was called off.
func (l *leash) unlessCanceled(r balancer.Result) balancer.Result {
	if l.canceled() {
		return balancer.Canceled
	}
	return r
}

// waiting is a wait for a connection to be made, or to have rested. To close it is to call it off.
type waiting struct{ context.CancelFunc }

// Close implements io.Closer.
func (w waiting) Close() error { w.CancelFunc(); return nil }

// rest returns when an idle connection has rested, or the attempt is called off: the next hold tells.
func (u *upstream) rest(l *leash, c *conn, settle time.Duration) {
	until := c.idleAt.Add(settle)
	if !time.Now().Before(until) {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if l.hold(waiting{cancel}) {
		u.pause(ctx)
	}
}

// take returns an idle connection to the endpoint, once it has rested, or else dials one.
func (u *upstream) take(l *leash, id string) (*conn, error) {
	p, addr, within, c, err := u.reserve(id)
	if c != nil {
		u.rest(l, c, within)
	}
	if c != nil || err != nil {
		return c, err
	}
	ctx, cancel := context.WithDeadline(context.Background(), l.deadline)
	defer cancel()
	ctx, cancelDial := context.WithTimeout(ctx, within)
	defer cancelDial()
	if l.hold(waiting{cancelDial}) {
		var nc net.Conn
		if nc, err = u.connect(ctx, "tcp", addr); err == nil {
			if c, err = newConn(nc, p, addr); err == nil {
				return c, nil
			}
			nc.Close()
		}
	} else {
		err = context.Canceled
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open--
	return nil, err
}

func newConn(nc net.Conn, p *pool, addr string) (*conn, error) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, raw: raw, limit: limit, read: bufio.NewReader(limit), pool: p, addr: addr, upAt: time.Now()}, nil
}

// errNotTried says that nothing was asked of the endpoint: it is not listed for new work any more, or all descriptors for
// connections are in use. That is no failure of the endpoint's and must not be reported as one.
var errNotTried = errors.New("no connection could be tried")

// reserve takes the idle connection used last of those that have rested, or else the one that will have first, within the time
// returned from its latest answer: a short rest costs less than a new connection. With none idle it takes the right to open one to the
// address returned, within the time returned.
func (u *upstream) reserve(id string) (p *pool, addr string, within time.Duration, c *conn, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p = u.pools[id]
	if p == nil || !p.keep {
		return nil, "", 0, nil, errNotTried
	}
	now := time.Now()
	for len(p.idle) > 0 {
		i := max(len(p.idle)-1-p.resting(now, u.settle), 0)
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		if u.usable(c, now) {
			return p, p.addr, u.settle, c, nil
		}
		u.closeLocked(c)
	}
	if u.open >= u.most && !u.evict() {
		return nil, "", 0, nil, errNotTried
	}
	u.open++
	return p, p.addr, u.dialTimeout, nil, nil
}

// evict closes the connection that has been idle longest, wherever it leads. u.mu is held.
func (u *upstream) evict() bool {
	var oldest *pool
	for _, p := range u.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].idleAt.Before(oldest.idle[0].idleAt)) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	u.closeLocked(oldest.idle[0])
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}

// giveBack keeps a connection for the next attempt, if the endpoint is still where it leads.
func (u *upstream) giveBack(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !c.pool.keeps(c) || u.open > u.most {
		u.closeLocked(c)
		return
	}
	c.idleAt, c.pool.fault = time.Now(), ""
	c.pool.idle = append(c.pool.idle, c)
}

// attempt sends a request once and tells by evidence how that ended. When it was called off or its time is over, the
// connection is closed before attempt returns: no second attempt can be out beside this one.
func (u *upstream) attempt(l *leash, id string, m *RequestMessage) (balancer.Result, Response) {
	for {
		c, err := u.take(l, id)
		if errors.Is(err, errNotTried) {
			return balancer.NotSent, Response{}
		}
		if err != nil {
			if !l.canceled() {
				u.failed(id, err)
			}
			return l.unlessCanceled(balancer.ConnectFailed), Response{}
		}
		if !l.hold(c) || c.SetDeadline(l.deadline) != nil {
			u.discard(c)
			return l.unlessCanceled(balancer.ConnectFailed), Response{}
		}
		used := !c.idleAt.IsZero()
		result, a, reusable, err := u.exchange(c, l, m)
		if errors.Is(err, errBegun) && used && l.hold(nil) { // its endpoint has done with it: nothing was asked, another one will do
			u.discard(c)
			continue
		}
		if err != nil && result != balancer.Canceled && result != balancer.NotSent {
			u.failed(id, err)
		}
		held := l.hold(nil)
		switch {
		case held && a.Stream != nil: // the connection is the stream's
			return result, a
		case held && reusable:
			u.giveBack(c)
		default:
			u.discard(c)
		}
		if a.Stream != nil {
			return balancer.Canceled, Response{}
		}
		return result, a
	}
}

// ready tells whether a request may go out on a connection now, or why not. It is the last look before the first byte: while the
// connection came up, the list or the operators may have taken its endpoint out, the endpoint may have closed or begun to talk,
// and the caller may have left. What goes out from here on was right when it did.
func (u *upstream) ready(c *conn, l *leash) error {
	u.mu.Lock()
	wanted := c.pool.keeps(c)
	u.mu.Unlock()
	switch {
	case !wanted:
		return errUnwanted
	case l.left != nil && l.left():
		return errLeft
	case !c.quiet():
		return errBegun
	}
	return nil
}

// broken is the outcome of an attempt whose last byte was written and whose whole answer has not come.
func (l *leash) broken(err error) balancer.Result {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return l.unlessCanceled(balancer.TimedOut)
	}
	return l.unlessCanceled(balancer.Reset)
}

// exchange writes the request and reads the answer, whole or, where it is long, its beginning.
func (u *upstream) exchange(c *conn, l *leash, m *RequestMessage) (r balancer.Result, a Response, reusable bool, err error) {
	if err := u.ready(c, l); err != nil {
		return l.unready(err), Response{}, false, err
	}
	if err := c.send(l, m); err != nil {
		return u.unsent(c, l, m, err)
	}
	l.wrote()
	u.written.Add(1)
	if m.Upload != nil && l.written != nil {
		l.written()
	}
	a, last, err := c.readAnswer(u, m.Method, l.deadline)
	if err != nil {
		return l.broken(err), Response{}, false, err
	}
	reusable = !last && a.Stream == nil && c.read.Buffered() == 0
	switch {
	case u.passes(a.Status):
		if u.relay {
			a.Header = EndToEnd(a.Header)
		} else {
			maps.DeleteFunc(a.Header, func(name string, _ []string) bool { return name != "Content-Type" })
		}
		return balancer.OK, a, reusable, nil
	case isUnavailable(a.Status) && a.Header.Get(declined) == "1":
		return balancer.Rejected, Response{}, reusable, errDeclined
	}
	return balancer.Errored, Response{}, reusable, fmt.Errorf("the answer was %d", a.Status)
}

// passes tells whether an answer goes on to the caller.
func (u *upstream) passes(status int) bool {
	return status == http.StatusOK || u.relay && status < http.StatusInternalServerError
}

// unready tells how an attempt ended of which not a byte went out.
func (l *leash) unready(err error) balancer.Result {
	if errors.Is(err, errBegun) { // a new connection that breaks at once, or on which an answer stands that was not asked for
		return l.unlessCanceled(balancer.ConnectFailed)
	}
	return l.unlessCanceled(balancer.NotSent)
}

// longest is how many bytes an answer's body may have. What a relay passes on has no bound that an engine knows of.
func (u *upstream) longest() int64 {
	if u.relay {
		return math.MaxInt64
	}
	return MaxStreamedBody
}

// unsent tells how an attempt ended that was not written whole. An endpoint begins a request when its last byte has come: it has
// not run, unless the endpoint says otherwise in an answer ahead of that.
func (u *upstream) unsent(c *conn, l *leash, m *RequestMessage, err error) (balancer.Result, Response, bool, error) {
	if errors.Is(err, errCaller) {
		return balancer.NotSent, Response{}, false, err // nothing that tells of the endpoint
	}
	if m.Upload == nil || l.canceled() {
		return l.unlessCanceled(balancer.ConnectFailed), Response{}, false, err
	}
	if c.SetReadDeadline(time.Now().Add(lastAnswer)) == nil {
		if a, _, early := c.readAnswer(u, m.Method, time.Now().Add(lastAnswer)); early == nil {
			switch {
			case a.Status == http.StatusOK && a.Stream == nil:
				maps.DeleteFunc(a.Header, func(name string, _ []string) bool { return name != "Content-Type" })
				return balancer.OK, a, false, nil
			case isUnavailable(a.Status) && a.Header.Get(declined) == "1":
				return balancer.Rejected, Response{}, false, errDeclined
			}
			return balancer.Rejected, Response{}, false, fmt.Errorf("the answer ahead of the body's end was %d", a.Status)
		}
	}
	return l.unlessCanceled(balancer.ConnectFailed), Response{}, false, err
}

var (
	errUnwanted   = errors.New("the endpoint was taken out before anything was sent")
	errLeft       = errors.New("the caller left before anything was sent")
	errBegun      = errors.New("the connection was closed or written to before anything was sent")
	errNotWritten = errors.New("the connection broke before the request was written whole")
	errEarly      = errors.New("something came before the request was written whole")
	errCaller     = errors.New("the caller's body broke off")
	errClosed     = errors.New("the connection is closed")
	errDeclined   = errors.New("it turned a request away")
	errTooLong    = errors.New("the answer is longer than any may be")
)

func isUnavailable(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// asked tells net/http whether an answer is one to HEAD, which has no body.
var asked = map[bool]*http.Request{true: {Method: http.MethodHead}, false: {Method: http.MethodGet}}

// readAnswer reads an answer whole, or the beginning of one that is long or slow to come, and tells whether it is the connection's
// last. What does not go on to the caller is read whole or not at all.
func (c *conn) readAnswer(u *upstream, method string, deadline time.Time) (a Response, last bool, err error) {
	c.limit.N = MaxHead
	if method != http.MethodHead {
		if _, err := c.read.Peek(1); err != nil {
			return Response{}, true, err
		}
		come, _ := c.read.Peek(c.read.Buffered())
		if status, h, size, length, ok := http1.ParseResponse(come); ok {
			_, _ = c.read.Discard(size) // it is there
			return c.readBody(Response{Status: status, Header: h}, int64(length), false, deadline, u)
		}
	}
	resp, err := c.readHead(method)
	if err != nil {
		return Response{}, true, err
	}
	length, last := resp.ContentLength, resp.Close
	switch {
	case method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		length = 0
	case len(resp.TransferEncoding) > 0:
		length = http1.Chunked
	case length < 0:
		length, last = http1.UntilClose, true
	}
	return c.readBody(Response{Status: resp.StatusCode, Header: resp.Header}, length, last, deadline, u)
}

// readHead reads the head of an answer that is not of the plainest form.
func (c *conn) readHead(method string) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(c.read, asked[method == http.MethodHead])
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err // its Body is left alone: framing reads it
		}
	}
	return nil, errors.New("too many interim answers")
}

// readBody reads what stands behind a head. An answer whose length is not told is passed on from its first byte if its end
// does not come at once: it may be long.
func (c *conn) readBody(a Response, length int64, last bool, deadline time.Time, u *upstream) (Response, bool, error) {
	c.limit.N = math.MaxInt64
	body := http1.NewBody(source{c}, length)
	switch {
	case !u.passes(a.Status) && (length > MaxBody || length < 0):
		return a, true, nil
	case length > u.longest():
		return a, true, errTooLong
	case length > MaxBody:
		a.Length, a.Stream = length, u.stream(c, body, last)
		return a, last, nil
	case length >= 0:
		a.Body = make([]byte, length)
		_, err := io.ReadFull(body, a.Body)
		if length == 0 {
			err = nil
		}
		return a, last, err
	}
	if soon := time.Now().Add(wholeWithin); soon.Before(deadline) && c.SetReadDeadline(soon) != nil {
		return a, true, errClosed
	}
	a.Body = make([]byte, 0, firstPart)
	for !body.Ended() && len(a.Body) < MaxBody {
		a.Body = slices.Grow(a.Body, firstPart)
		n, err := body.Read(a.Body[len(a.Body):min(cap(a.Body), MaxBody)])
		a.Body = a.Body[:len(a.Body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
			a.Length, a.Stream = length, u.stream(c, body, last)
			return a, last, nil
		}
		if err != nil {
			return a, true, err
		}
	}
	if !body.Ended() {
		a.Length, a.Stream = length, u.stream(c, body, last)
	}
	return a, last, nil
}

// notOurs are the headers that are written for each attempt, or never.
var notOurs = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, DeadlineHeader: true}

// appendHead appends the request's head as every endpoint gets it, with how long this side waits.
func (m *RequestMessage) appendHead(b []byte, wait time.Duration) []byte {
	text := func(parts ...string) {
		for _, s := range parts {
			b = append(b, s...)
		}
	}
	text(m.Method, " ", m.URL.RequestURI(), " HTTP/1.1\r\nHost: ", m.Host, "\r\n")
	for name, values := range m.Header { // the order of different names means nothing (RFC 9110, 5.3)
		if notOurs[name] {
			continue
		}
		for _, v := range values {
			text(name, ": ", v, "\r\n")
		}
	}
	switch size := m.size(); {
	case size < 0:
		text("Transfer-Encoding: chunked\r\n")
	case size > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch:
		text("Content-Length: ")
		b = strconv.AppendInt(b, size, 10)
		text("\r\n")
	}
	text(DeadlineHeader, ": ")
	b = strconv.AppendInt(b, max(wait.Milliseconds(), 1), 10)
	return append(b, "\r\n\r\n"...)
}

const smallBody = 4 << 10 // that is copied behind its head, so that both go in one write

// send writes a request whole, or tells why it did not. Its deadline says how long this side waits.
func (c *conn) send(l *leash, m *RequestMessage) error {
	if m.Upload != nil {
		return c.sendLong(l, m)
	}
	c.out = m.appendHead(c.out[:0], time.Until(l.deadline))
	if len(m.Body) <= smallBody {
		c.out = append(c.out, m.Body...)
		if n, _ := c.Write(c.out); n != len(c.out) {
			return errNotWritten
		}
		return nil
	}
	whole := int64(len(c.out) + len(m.Body))
	both := net.Buffers{c.out, m.Body}
	if n, _ := both.WriteTo(c.Conn); n != whole {
		return errNotWritten
	}
	return nil
}
