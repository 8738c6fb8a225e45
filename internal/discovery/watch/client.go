// Package watch is a client of the platform's endpoint discovery: it fetches an endpoint list
// over HTTP, and then receives the changes of that list through a watch.
//
// A GET of platform.EndpointListPath returns the list. A GET of the same path with
// platform.WatchQuery opens a watch: its response does not end, and its body has one JSON message
// for each change after a version, and an empty line at least every 2 s while nothing changes.
package watch

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"rowancart/internal/logkey"
	"rowancart/internal/platform"
)

// warningInterval is the minimum time between two warnings about discovery. While discovery is
// down, watches may fail several times a second.
const warningInterval = 10 * time.Second

// Options configure a Client.
type Options struct {
	// Addr is the host:port of discovery.
	Addr string
	// WaitForSubscribe delays the first watch until Subscribe is called. If it is false, the first
	// watch is opened at once. From then on the Client always has a watch open or tries to open one.
	// WaitForSubscribe also means that discovery is one service shared by all instances, and selects
	// the timeouts and the backoff for such a service.
	WaitForSubscribe bool
	// Known is the origin of the endpoint list that the caller has; nil: it has none. Unless the list
	// is a known version from Addr, the Client fetches the complete list.
	Known *Origin
	// DrainGrace is how long a draining endpoint may still be sent requests; 0: one second. The
	// response timeout and the limits of the backoff depend on it unless WaitForSubscribe is set.
	DrainGrace time.Duration

	// OnUpdate is called with each message, by the goroutine of Run.
	OnUpdate func(platform.EndpointList)
	// OnCurrent is called after each message or empty line of a watch, by the goroutine of Run. Each
	// call confirms that the endpoint list is up to date. OnCurrent may be nil.
	OnCurrent func()
	Log       *slog.Logger
}

// Client follows the endpoint list of one discovery address.
//
// The platform considers an instance notified of a change as soon as discovery has the change,
// whether or not the instance has a watch open. No request may be sent to a draining endpoint later
// than the drain grace after that moment. The Client therefore cancels a watch that has delivered
// nothing for 2.5 s. If discovery is a local agent, the response timeout and the maximum backoff
// are fractions of the drain grace, so that a lost watch is replaced well within it.
type Client struct {
	httpClient *http.Client
	timing     watchTiming
	onUpdate   func(platform.EndpointList)
	onCurrent  func()
	log        *slog.Logger

	subscribed    chan struct{} // closed by the first Subscribe; nil if Run does not wait for it
	subscribeOnce sync.Once

	mu          sync.Mutex
	addr        string             // guarded by mu
	addrChanged bool               // guarded by mu; whether addr has changed since the latest watch was started
	cancelWatch context.CancelFunc // guarded by mu; cancels the latest watch

	// listMu is held while a list or changes are applied, so that origin is always that of the list in
	// force. It is acquired before mu. It guards the next two fields.
	listMu  sync.Mutex
	origin  Origin
	version *int64 // after which the next watch begins; nil: the complete list has to be fetched

	// Only the goroutine of Run uses the fields below.

	hasApplied  bool // a message has been applied
	lastWarning time.Time
}

// New returns a Client that does nothing until Run is called.
func New(o Options) *Client {
	c := &Client{
		// No connection can be reused: a watch occupies its connection until it ends.
		httpClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		timing:     localAgentTiming(o.DrainGrace),
		onUpdate:   o.OnUpdate,
		onCurrent:  o.OnCurrent,
		log:        o.Log,
		addr:       o.Addr,
		origin:     UnknownOrigin(),
	}
	if o.Known != nil {
		c.origin = *o.Known
		c.version = c.origin.versionAt(o.Addr)
	}
	if o.WaitForSubscribe {
		c.timing = sharedServiceTiming
		c.subscribed = make(chan struct{})
	}
	return c
}

// Subscribe allows Run to open watches if Options.WaitForSubscribe is set. It does not block and
// may be called more than once.
func (c *Client) Subscribe() {
	if c.subscribed != nil {
		c.subscribeOnce.Do(func() { close(c.subscribed) })
	}
}

// SetAddress changes the address of discovery. It cancels the watch at the old address. Run then
// fetches the complete list from the new address, because versions at the two addresses may be
// unrelated.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.addr {
		return
	}
	c.addr = addr
	c.addrChanged = true
	if c.cancelWatch != nil {
		c.cancelWatch()
	}
}

// Adopt puts a list in force that another process of this instance has had from the same discovery,
// if it is newer than the list in force. It calls apply to do so, and reports whether it did. The
// watch is then opened again after that list.
func (c *Client) Adopt(origin Origin, apply func()) bool {
	c.listMu.Lock()
	defer c.listMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if origin.Addr != c.addr || origin.Compare(c.origin.Position) <= 0 {
		return false
	}
	c.origin = origin
	c.version = origin.versionAt(c.addr)
	apply()
	if c.cancelWatch != nil {
		c.cancelWatch()
	}
	return true
}

// WithOrigin calls read with the origin of the list in force. The list does not change meanwhile.
func (c *Client) WithOrigin(read func(Origin)) {
	c.listMu.Lock()
	defer c.listMu.Unlock()
	read(c.origin)
}

// Run keeps a watch open until ctx ends. While no watch is open, the latest endpoint list stays in
// use; the next watch delivers the changes since then.
func (c *Client) Run(ctx context.Context) {
	if c.subscribed != nil {
		select {
		case <-ctx.Done():
			return
		case <-c.subscribed:
		}
	}
	backoff := newBackoff(c.timing)
	for {
		start := time.Now()
		received, err := c.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		c.warn(err)
		if received && time.Since(start) >= c.timing.stableAfter {
			backoff.reset()
		}
		sleep(ctx, backoff.nextDelay())
	}
}

// warn logs the error that ended a watch, at most once per warningInterval.
func (c *Client) warn(err error) {
	if time.Since(c.lastWarning) > warningInterval {
		c.lastWarning = time.Now()
		c.log.Warn("discovery watch ended", logkey.Err, err)
	}
}

// sleep returns after d, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
