// Package watch is a client of the platform's endpoint discovery: it fetches an endpoint list
// over HTTP, and then follows the changes of that list on a watch.
//
// The list is the response to GET of platform.EndpointListPath. A watch is the same with
// platform.WatchQuery: a response without an end that carries one JSON message for each change
// after a version, and an empty line at least every 2 s while nothing changes.
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

// warningInterval is the least time between two warnings about discovery. While it is down,
// attempts fail many times a second.
const warningInterval = 10 * time.Second

// Options configure a Client.
type Options struct {
	// Addr is the host:port of discovery.
	Addr string
	// WaitForSubscribe says that no watch is opened before the first call of Subscribe. From then on
	// there is always one, or an attempt at one. It also says that discovery is one service shared by
	// all instances, which sets the timing of attempts.
	WaitForSubscribe bool
	// Version is that of the endpoint list that is known already; nil: the complete list is fetched.
	Version *int64
	// DrainGrace is how long a draining endpoint may still be sent requests; 0: one second.
	DrainGrace time.Duration

	// OnUpdate is passed each message, by the goroutine of Run.
	OnUpdate func(platform.EndpointList)
	// OnCurrent is called after each message or empty line of a watch, by the goroutine of Run: the
	// endpoint list is up to date. It may be nil.
	OnCurrent func()
	Log       *slog.Logger
}

// Client follows the endpoint list of one discovery address.
//
// An instance counts as notified of a change from the moment at which discovery has it, whether or
// not a watch is open, and requests to a draining endpoint have to end within the drain grace of
// that moment. A watch that delivers nothing is therefore cancelled and the next one opened well
// within the grace.
type Client struct {
	httpClient *http.Client
	timing     watchTiming
	onUpdate   func(platform.EndpointList)
	onCurrent  func()
	log        *slog.Logger

	subscribed    chan struct{} // closed by the first Subscribe; nil if Run doesn't wait for one
	subscribeOnce sync.Once

	mu          sync.Mutex
	addr        string             // guarded by mu
	addrChanged bool               // guarded by mu; since the current or latest watch was started
	cancelWatch context.CancelFunc // guarded by mu; of the current or latest watch

	// The fields below belong to the goroutine of Run.

	version     *int64 // of the latest message; nil: the complete list has to be fetched
	lastWarning time.Time
}

// New returns a Client that does nothing until Run is called.
func New(o Options) *Client {
	c := &Client{
		// A watch holds its connection to the end, so there is none to reuse.
		httpClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		timing:     localAgentTiming(o.DrainGrace),
		onUpdate:   o.OnUpdate,
		onCurrent:  o.OnCurrent,
		log:        o.Log,
		addr:       o.Addr,
		version:    o.Version,
	}
	if o.WaitForSubscribe {
		c.timing = sharedServiceTiming
		c.subscribed = make(chan struct{})
	}
	return c
}

// Subscribe lets Run open watches from now on, if it waits for that. It doesn't block and may be
// called more than once.
func (c *Client) Subscribe() {
	if c.subscribed != nil {
		c.subscribeOnce.Do(func() { close(c.subscribed) })
	}
}

// SetAddress changes the address of discovery. The watch at the old address is cancelled, and the
// complete list is fetched from the new one: its versions need not have anything to do with those
// of the old one.
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

// Run keeps a watch open until ctx ends. While there is none the latest endpoint list stays in use;
// the next watch delivers what has changed since.
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

// warn logs the error that ended a watch, unless it has logged within the last warningInterval.
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
