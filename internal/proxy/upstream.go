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
	maxInterimResponses = 8 // 1xx answers ahead of the one that counts
	sweepInterval       = 100 * time.Millisecond
	minIdleAge          = 100 * time.Millisecond // idle connections this young are used whatever closes were seen
	defaultIdleTimeout  = 15 * time.Second
	defaultDialTimeout  = 250 * time.Millisecond
	idleTimeoutFraction = 0.9 // of the endpoint's idle limit, after which a connection is no longer used
	declinedHeader      = "Srv-Declined"
)

// What both sides of an engine go by.
const (
	MaxBody         = 64 << 10          // bytes of a request's or an answer's body
	MaxHead         = 16 << 10          // bytes of its head
	MaxStreamedBody = 40 << 20          // bytes of a body that flows; the platform's have up to 32 MB
	DeadlineHeader  = "Req-Deadline-Ms" // how long a caller waits, in milliseconds
)

// connPool makes attempts over connections of its own. net/http's Transport is not used: it sends some requests
// again by itself when a reused connection breaks, which is a second copy, and dials spare connections.
type connPool struct {
	dial            func(ctx context.Context, network, addr string) (net.Conn, error)
	waitUntilDone   func(ctx context.Context) // until its end
	passThrough     bool                      // answers below 500 are passed on as they are
	requestsWritten atomic.Int64              // requests, whole

	mu                  sync.Mutex
	dialTimeout         time.Duration
	maxConns            int           // connections open at once
	quarantine          time.Duration // for which a connection rests after an answer
	endpointIdleTimeout time.Duration // as the options say
	maxIdleAge          time.Duration // after which an idle connection is no longer used
	openConns           int
	endpoints           map[string]*endpointConns // by endpoint id
}

// endpointConns holds the idle connections to one endpoint, the one used last at the end.
type endpointConns struct {
	addr        string
	accepting   bool      // connections are worth keeping
	listedStart time.Time // when the endpoint has started, as the roster says,
	startedAt   time.Time // and as that can be true; nobody is at the other end of connections from before, though they may say nothing
	lastFailure string    // how the latest attempt that failed did so; empty once one has succeeded
	idle        []*conn
}

// countQuarantined is how many of the idle connections have not rested yet: those at the end.
func (e *endpointConns) countQuarantined(now time.Time, settle time.Duration) int {
	n := 0
	for n < len(e.idle) && now.Sub(e.idle[len(e.idle)-1-n].idleSince) < settle {
		n++
	}
	return n
}

// isCurrent tells whether a connection to the endpoint leads to what it is now, and is worth keeping. The upstream's lock is held.
func (e *endpointConns) isCurrent(c *conn) bool {
	return e.accepting && e.addr == c.dialedAddr && !c.connectedAt.Before(e.startedAt)
}

// conn is one connection; it carries one attempt at a time.
type conn struct {
	net.Conn
	rawConn     syscall.RawConn
	readLimit   *io.LimitedReader // bounds what one answer may bring
	reader      *bufio.Reader
	writeBuffer []byte // what is being written
	endpoint    *endpointConns
	dialedAddr  string
	connectedAt time.Time
	idleSince   time.Time
}

func newConnPool(o Options) *connPool {
	u := &connPool{dial: (&net.Dialer{}).DialContext, waitUntilDone: func(ctx context.Context) { <-ctx.Done() }, passThrough: o.PassThrough, endpoints: map[string]*endpointConns{}}
	u.Configure(o)
	return u
}

// Configure sets the limits. How soon endpoints were seen to close stands until the options say something new.
func (p *connPool) Configure(o Options) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.ConnIdle <= 0 {
		o.ConnIdle = defaultIdleTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if p.endpointIdleTimeout != o.ConnIdle {
		p.endpointIdleTimeout, p.maxIdleAge = o.ConnIdle, time.Duration(float64(o.ConnIdle)*idleTimeoutFraction)
	}
	p.dialTimeout, p.maxConns, p.quarantine = o.DialTimeout, o.MaxConns, o.Quarantine
}

// SetMaxConns sets how many connections may be open at once.
func (p *connPool) SetMaxConns(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = most
	for p.openConns > p.maxConns && p.evictOldestIdleLocked() {
		continue
	}
}

// Counts tells how many endpoints may be sent to, how many not, and how many connections are open.
func (p *connPool) Counts() (ready, draining, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.accepting {
			ready++
		} else {
			draining++
		}
	}
	return ready, draining, p.openConns
}

// SetEndpoint says where an endpoint is and whether connections to it are worth keeping. Those to an old address, or
// to an endpoint that takes nothing new, are closed.
func (p *connPool) SetEndpoint(id, addr string, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil {
		e = &endpointConns{}
		p.endpoints[id] = e
	}
	if e.addr != addr || !keep {
		p.closeIdleLocked(e)
	}
	e.addr, e.accepting = addr, keep
}

// SetStartTime says when an endpoint has started. Idle connections from before that are closed. A start in the future is one by now: else a
// clock that is ahead would keep all connections from being used.
func (p *connPool) SetStartTime(id string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil || !at.After(e.listedStart) {
		return
	}
	e.listedStart, e.startedAt = at, at
	if now := time.Now(); at.After(now) {
		e.startedAt = now
	}
	e.idle = slices.DeleteFunc(e.idle, func(c *conn) bool {
		if e.isCurrent(c) {
			return false
		}
		p.closeLocked(c)
		return true
	})
}

// RemoveEndpoint forgets an endpoint.
func (p *connPool) RemoveEndpoint(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		p.closeIdleLocked(e)
		e.accepting = false
		delete(p.endpoints, id)
	}
}

// closeIdleLocked closes a pool's idle connections. u.mu is held.
func (p *connPool) closeIdleLocked(e *endpointConns) {
	for _, c := range e.idle {
		p.closeLocked(c)
	}
	e.idle = nil
}

func (p *connPool) closeLocked(c *conn) {
	c.Close()
	p.openConns--
}

func (p *connPool) closeConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// EndpointStatus tells how many connections to an endpoint are idle, and how the latest attempt there failed, if it did.
func (p *connPool) EndpointStatus(id string) (idle int, fault string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		return len(e.idle), e.lastFailure
	}
	return 0, ""
}

// recordFailure notes how an attempt failed.
func (p *connPool) recordFailure(id string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		e.lastFailure = err.Error()
	}
}

// Run closes idle connections that have died or stood too long, until ctx ends; then it closes all idle ones.
func (p *connPool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweepIdle(func(*conn) bool { return false })
			return
		case now := <-tick.C:
			p.sweepIdle(func(c *conn) bool { return p.usableLocked(c, now) })
		}
	}
}

func (p *connPool) sweepIdle(keep func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if keep(c) {
				kept = append(kept, c)
			} else {
				p.closeLocked(c)
			}
		}
		clear(e.idle[len(kept):])
		e.idle = kept
	}
}

// usableLocked tells whether an idle connection may carry another request, and learns from one that its endpoint has closed.
// Endpoints may close sooner than the settings say, and a request that crosses the close ends as a reset and may not be
// sent again. So from the first close seen on, connections are used for half of the shortest such time only. A close right
// behind an answer says nothing of how long endpoints keep what is idle. u.mu is held.
func (p *connPool) usableLocked(c *conn, now time.Time) bool {
	idle := now.Sub(c.idleSince)
	if !c.quiet() {
		if idle > p.quarantine+sweepInterval { // else it may have come while the connection rested
			p.maxIdleAge = min(p.maxIdleAge, max(idle/2, minIdleAge))
		}
		return false
	}
	return idle < p.maxIdleAge
}

// quiet tells whether nothing has come on an idle connection: no end, no break, no bytes that nobody asked for. It
// guards against sending on a connection that the endpoint has closed, which would end as a reset.
func (c *conn) quiet() bool {
	quiet := false
	err := c.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// AttemptControl ends an attempt from outside: at its deadline, or when it is called off.
type AttemptControl struct {
	Deadline         time.Time
	OnRequestWritten func()      // is told when a long request has been written whole; nil: nobody asks
	ClientGone       func() bool // tells whether the caller has left; nil: nobody knows

	mu             sync.Mutex
	canceledFlag   bool      // off
	requestWritten bool      // the request is written: it may run from now on
	inProgress     io.Closer // what is under way: a wait, or an exchange on a connection
}

// Cancel calls the attempt off. What is under way ends at once.
func (a *AttemptControl) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelLocked()
}

// CancelUnlessWritten calls the attempt off if its request is not written whole: nobody waits for an answer any more, and what has not
// been asked for need not be, whether what runs may be called off or not.
func (a *AttemptControl) CancelUnlessWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.requestWritten {
		a.cancelLocked()
	}
}

// cancelLocked ends what is under way. l.mu is held.
func (a *AttemptControl) cancelLocked() {
	a.canceledFlag = true
	if a.inProgress != nil {
		a.inProgress.Close()
	}
}

// markRequestWritten notes that the request is written whole.
func (a *AttemptControl) markRequestWritten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestWritten = true
}

// setInProgress says what is under way, nil for nothing any more, and tells whether the attempt goes on.
func (a *AttemptControl) setInProgress(c io.Closer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inProgress = c
	return !a.canceledFlag
}

func (a *AttemptControl) isCanceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.canceledFlag
}

// unlessCanceled is r, or Canceled if the attempt was called off.
func (a *AttemptControl) unlessCanceled(r balancer.Result) balancer.Result {
	if a.isCanceled() {
		return balancer.Canceled
	}
	return r
}

// cancelableWait is a wait for a connection to be made, or to have rested. To close it is to call it off.
type cancelableWait struct{ context.CancelFunc }

// Close implements io.Closer.
func (w cancelableWait) Close() error { w.CancelFunc(); return nil }

// waitForQuarantine returns when an idle connection has rested, or the attempt is called off: the next hold tells.
func (p *connPool) waitForQuarantine(l *AttemptControl, c *conn, settle time.Duration) {
	until := c.idleSince.Add(settle)
	if !time.Now().Before(until) {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if l.setInProgress(cancelableWait{cancel}) {
		p.waitUntilDone(ctx)
	}
}

// acquireConn returns an idle connection to the endpoint, once it has rested, or else dials one.
func (p *connPool) acquireConn(l *AttemptControl, id string) (*conn, error) {
	e, addr, within, c, err := p.reserveConn(id)
	if c != nil {
		p.waitForQuarantine(l, c, within)
	}
	if c != nil || err != nil {
		return c, err
	}
	ctx, cancel := context.WithDeadline(context.Background(), l.Deadline)
	defer cancel()
	ctx, cancelDial := context.WithTimeout(ctx, within)
	defer cancelDial()
	if l.setInProgress(cancelableWait{cancelDial}) {
		var nc net.Conn
		if nc, err = p.dial(ctx, "tcp", addr); err == nil {
			if c, err = newConn(nc, e, addr); err == nil {
				return c, nil
			}
			nc.Close()
		}
	} else {
		err = context.Canceled
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
	return nil, err
}

func newConn(nc net.Conn, e *endpointConns, addr string) (*conn, error) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, rawConn: raw, readLimit: limit, reader: bufio.NewReader(limit), endpoint: e, dialedAddr: addr, connectedAt: time.Now()}, nil
}

// errNoConnection says that nothing was asked of the endpoint: it is not listed for new work any more, or all descriptors for
// connections are in use. That is no failure of the endpoint's and must not be reported as one.
var errNoConnection = errors.New("no connection could be tried")

// reserveConn takes the idle connection used last of those that have rested, or else the one that will have first, within the time
// returned from its latest answer: a short rest costs less than a new connection. With none idle it takes the right to open one to the
// address returned, within the time returned.
func (p *connPool) reserveConn(id string) (e *endpointConns, addr string, within time.Duration, c *conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e = p.endpoints[id]
	if e == nil || !e.accepting {
		return nil, "", 0, nil, errNoConnection
	}
	now := time.Now()
	for len(e.idle) > 0 {
		i := max(len(e.idle)-1-e.countQuarantined(now, p.quarantine), 0)
		c := e.idle[i]
		e.idle = slices.Delete(e.idle, i, i+1)
		if p.usableLocked(c, now) {
			return e, e.addr, p.quarantine, c, nil
		}
		p.closeLocked(c)
	}
	if p.openConns >= p.maxConns && !p.evictOldestIdleLocked() {
		return nil, "", 0, nil, errNoConnection
	}
	p.openConns++
	return e, e.addr, p.dialTimeout, nil, nil
}

// evictOldestIdleLocked closes the connection that has been idle longest, wherever it leads. u.mu is held.
func (p *connPool) evictOldestIdleLocked() bool {
	var oldest *endpointConns
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	p.closeLocked(oldest.idle[0])
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}

// releaseConn keeps a connection for the next attempt, if the endpoint is still where it leads.
func (p *connPool) releaseConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.endpoint.isCurrent(c) || p.openConns > p.maxConns {
		p.closeLocked(c)
		return
	}
	c.idleSince, c.endpoint.lastFailure = time.Now(), ""
	c.endpoint.idle = append(c.endpoint.idle, c)
}

// RoundTrip sends a request once and tells by evidence how that ended. When it was called off or its time is over, the
// connection is closed before attempt returns: no second attempt can be out beside this one.
func (p *connPool) RoundTrip(l *AttemptControl, id string, m *RequestMessage) (balancer.Result, Response) {
	for {
		c, err := p.acquireConn(l, id)
		if errors.Is(err, errNoConnection) {
			return balancer.NotSent, Response{}
		}
		if err != nil {
			if !l.isCanceled() {
				p.recordFailure(id, err)
			}
			return l.unlessCanceled(balancer.ConnectFailed), Response{}
		}
		if !l.setInProgress(c) || c.SetDeadline(l.Deadline) != nil {
			p.closeConn(c)
			return l.unlessCanceled(balancer.ConnectFailed), Response{}
		}
		used := !c.idleSince.IsZero()
		result, a, reusable, err := p.exchange(c, l, m)
		if errors.Is(err, errStaleConn) && used && l.setInProgress(nil) { // its endpoint has done with it: nothing was asked, another one will do
			p.closeConn(c)
			continue
		}
		if err != nil && result != balancer.Canceled && result != balancer.NotSent {
			p.recordFailure(id, err)
		}
		held := l.setInProgress(nil)
		switch {
		case held && a.Stream != nil: // the connection is the stream's
			return result, a
		case held && reusable:
			p.releaseConn(c)
		default:
			p.closeConn(c)
		}
		if a.Stream != nil {
			return balancer.Canceled, Response{}
		}
		return result, a
	}
}

// checkBeforeWrite tells whether a request may go out on a connection now, or why not. It is the last look before the first byte: while the
// connection came up, the list or the operators may have taken its endpoint out, the endpoint may have closed or begun to talk,
// and the caller may have left. What goes out from here on was right when it did.
func (p *connPool) checkBeforeWrite(c *conn, l *AttemptControl) error {
	p.mu.Lock()
	wanted := c.endpoint.isCurrent(c)
	p.mu.Unlock()
	switch {
	case !wanted:
		return errEndpointRemoved
	case l.ClientGone != nil && l.ClientGone():
		return errClientGone
	case !c.quiet():
		return errStaleConn
	}
	return nil
}

// resultOfBrokenRead is the outcome of an attempt whose last byte was written and whose whole answer has not come.
func (a *AttemptControl) resultOfBrokenRead(err error) balancer.Result {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return a.unlessCanceled(balancer.TimedOut)
	}
	return a.unlessCanceled(balancer.Reset)
}

// exchange writes the request and reads the answer, whole or, where it is long, its beginning.
func (p *connPool) exchange(c *conn, l *AttemptControl, m *RequestMessage) (r balancer.Result, a Response, reusable bool, err error) {
	if err := p.checkBeforeWrite(c, l); err != nil {
		return l.resultOfUnsent(err), Response{}, false, err
	}
	if err := c.writeRequest(l, m); err != nil {
		return p.resultOfPartialWrite(c, l, m, err)
	}
	l.markRequestWritten()
	p.requestsWritten.Add(1)
	if m.Upload != nil && l.OnRequestWritten != nil {
		l.OnRequestWritten()
	}
	a, last, err := c.readResponse(p, m.Method, l.Deadline)
	if err != nil {
		return l.resultOfBrokenRead(err), Response{}, false, err
	}
	reusable = !last && a.Stream == nil && c.reader.Buffered() == 0
	switch {
	case p.passesThrough(a.Status):
		if p.passThrough {
			a.Header = EndToEnd(a.Header)
		} else {
			maps.DeleteFunc(a.Header, func(name string, _ []string) bool { return name != "Content-Type" })
		}
		return balancer.OK, a, reusable, nil
	case isUnavailable(a.Status) && a.Header.Get(declinedHeader) == "1":
		return balancer.Rejected, Response{}, reusable, errDeclined
	}
	return balancer.Errored, Response{}, reusable, fmt.Errorf("the answer was %d", a.Status)
}

// passesThrough tells whether an answer goes on to the caller.
func (p *connPool) passesThrough(status int) bool {
	return status == http.StatusOK || p.passThrough && status < http.StatusInternalServerError
}

// resultOfUnsent tells how an attempt ended of which not a byte went out.
func (a *AttemptControl) resultOfUnsent(err error) balancer.Result {
	if errors.Is(err, errStaleConn) { // a new connection that breaks at once, or on which an answer stands that was not asked for
		return a.unlessCanceled(balancer.ConnectFailed)
	}
	return a.unlessCanceled(balancer.NotSent)
}

// maxBodyLength is how many bytes an answer's body may have. What a relay passes on has no bound that an engine knows of.
func (p *connPool) maxBodyLength() int64 {
	if p.passThrough {
		return math.MaxInt64
	}
	return MaxStreamedBody
}

// resultOfPartialWrite tells how an attempt ended that was not written whole. An endpoint begins a request when its last byte has come: it has
// not run, unless the endpoint says otherwise in an answer ahead of that.
func (p *connPool) resultOfPartialWrite(c *conn, l *AttemptControl, m *RequestMessage, err error) (balancer.Result, Response, bool, error) {
	if errors.Is(err, errUploadFailed) {
		return balancer.NotSent, Response{}, false, err // nothing that tells of the endpoint
	}
	if m.Upload == nil || l.isCanceled() {
		return l.unlessCanceled(balancer.ConnectFailed), Response{}, false, err
	}
	if c.SetReadDeadline(time.Now().Add(earlyResponseTimeout)) == nil {
		if a, _, early := c.readResponse(p, m.Method, time.Now().Add(earlyResponseTimeout)); early == nil {
			switch {
			case a.Status == http.StatusOK && a.Stream == nil:
				maps.DeleteFunc(a.Header, func(name string, _ []string) bool { return name != "Content-Type" })
				return balancer.OK, a, false, nil
			case isUnavailable(a.Status) && a.Header.Get(declinedHeader) == "1":
				return balancer.Rejected, Response{}, false, errDeclined
			}
			return balancer.Rejected, Response{}, false, fmt.Errorf("the answer ahead of the body's end was %d", a.Status)
		}
	}
	return l.unlessCanceled(balancer.ConnectFailed), Response{}, false, err
}

var (
	errEndpointRemoved = errors.New("the endpoint was taken out before anything was sent")
	errClientGone      = errors.New("the caller left before anything was sent")
	errStaleConn       = errors.New("the connection was closed or written to before anything was sent")
	errWriteFailed     = errors.New("the connection broke before the request was written whole")
	errEarlyResponse   = errors.New("something came before the request was written whole")
	errUploadFailed    = errors.New("the caller's body broke off")
	errConnClosed      = errors.New("the connection is closed")
	errDeclined        = errors.New("it turned a request away")
	errResponseTooLong = errors.New("the answer is longer than any may be")
)

func isUnavailable(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// responseContext tells net/http whether an answer is one to HEAD, which has no body.
var responseContext = map[bool]*http.Request{true: {Method: http.MethodHead}, false: {Method: http.MethodGet}}

// readResponse reads an answer whole, or the beginning of one that is long or slow to come, and tells whether it is the connection's
// last. What does not go on to the caller is read whole or not at all.
func (c *conn) readResponse(u *connPool, method string, deadline time.Time) (a Response, last bool, err error) {
	c.readLimit.N = MaxHead
	if method != http.MethodHead {
		if _, err := c.reader.Peek(1); err != nil {
			return Response{}, true, err
		}
		come, _ := c.reader.Peek(c.reader.Buffered())
		if status, h, size, length, ok := http1.ParseResponse(come); ok {
			_, _ = c.reader.Discard(size) // it is there
			return c.readResponseBody(Response{Status: status, Header: h}, int64(length), false, deadline, u)
		}
	}
	resp, err := c.readResponseHead(method)
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
	return c.readResponseBody(Response{Status: resp.StatusCode, Header: resp.Header}, length, last, deadline, u)
}

// readResponseHead reads the head of an answer that is not of the plainest form.
func (c *conn) readResponseHead(method string) (*http.Response, error) {
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.reader, responseContext[method == http.MethodHead])
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err // its Body is left alone: framing reads it
		}
	}
	return nil, errors.New("too many interim answers")
}

// readResponseBody reads what stands behind a head. An answer whose length is not told is passed on from its first byte if its end
// does not come at once: it may be long.
func (c *conn) readResponseBody(a Response, length int64, last bool, deadline time.Time, u *connPool) (Response, bool, error) {
	c.readLimit.N = math.MaxInt64
	body := http1.NewBody(bodySource{c}, length)
	switch {
	case !u.passesThrough(a.Status) && (length > MaxBody || length < 0):
		return a, true, nil
	case length > u.maxBodyLength():
		return a, true, errResponseTooLong
	case length > MaxBody:
		a.Length, a.Stream = length, u.newStream(c, body, last)
		return a, last, nil
	case length >= 0:
		a.Body = make([]byte, length)
		_, err := io.ReadFull(body, a.Body)
		if length == 0 {
			err = nil
		}
		return a, last, err
	}
	if soon := time.Now().Add(streamAfter); soon.Before(deadline) && c.SetReadDeadline(soon) != nil {
		return a, true, errConnClosed
	}
	a.Body = make([]byte, 0, minBodyGrowth)
	for !body.Ended() && len(a.Body) < MaxBody {
		a.Body = slices.Grow(a.Body, minBodyGrowth)
		n, err := body.Read(a.Body[len(a.Body):min(cap(a.Body), MaxBody)])
		a.Body = a.Body[:len(a.Body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
			a.Length, a.Stream = length, u.newStream(c, body, last)
			return a, last, nil
		}
		if err != nil {
			return a, true, err
		}
	}
	if !body.Ended() {
		a.Length, a.Stream = length, u.newStream(c, body, last)
	}
	return a, last, nil
}

// perAttemptHeaders are the headers that are written for each attempt, or never.
var perAttemptHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, DeadlineHeader: true}

// appendRequestHead appends the request's head as every endpoint gets it, with how long this side waits.
func (m *RequestMessage) appendRequestHead(b []byte, wait time.Duration) []byte {
	text := func(parts ...string) {
		for _, s := range parts {
			b = append(b, s...)
		}
	}
	text(m.Method, " ", m.URL.RequestURI(), " HTTP/1.1\r\nHost: ", m.Host, "\r\n")
	for name, values := range m.Header { // the order of different names means nothing (RFC 9110, 5.3)
		if perAttemptHeaders[name] {
			continue
		}
		for _, v := range values {
			text(name, ": ", v, "\r\n")
		}
	}
	switch size := m.bodyLength(); {
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

const maxCoalescedBody = 4 << 10 // that is copied behind its head, so that both go in one write

// writeRequest writes a request whole, or tells why it did not. Its deadline says how long this side waits.
func (c *conn) writeRequest(l *AttemptControl, m *RequestMessage) error {
	if m.Upload != nil {
		return c.writeUpload(l, m)
	}
	c.writeBuffer = m.appendRequestHead(c.writeBuffer[:0], time.Until(l.Deadline))
	if len(m.Body) <= maxCoalescedBody {
		c.writeBuffer = append(c.writeBuffer, m.Body...)
		if n, _ := c.Write(c.writeBuffer); n != len(c.writeBuffer) {
			return errWriteFailed
		}
		return nil
	}
	whole := int64(len(c.writeBuffer) + len(m.Body))
	both := net.Buffers{c.writeBuffer, m.Body}
	if n, _ := both.WriteTo(c.Conn); n != whole {
		return errWriteFailed
	}
	return nil
}
