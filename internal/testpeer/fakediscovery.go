package testpeer

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"rowancart/internal/platform"
)

const (
	emptyLineInterval = 2 * time.Second         // of a watch, while nothing changes
	oldAddrGrace      = 1500 * time.Millisecond // for which open responses at an old address go on
)

// FakeDiscovery is a discovery agent whose list a test changes. It can let its watches fall silent,
// break them, respond late, and move to another address. It is safe for concurrent use.
type FakeDiscovery struct {
	options DiscoveryOptions

	mu       sync.Mutex
	version  int64
	listed   map[string]listedEndpoint // by ID
	changed  chan struct{}             // closed at each change
	epoch    int                       // watches that began in an earlier one are silent
	broken   chan struct{}             // closed when all watches break
	delay    time.Duration             // before each response
	server   *http.Server
	listener net.Listener // of server
	addr     string
}

// listedEndpoint is an endpoint and the version of the list that brought it in its latest form.
type listedEndpoint struct {
	platform.Endpoint
	version int64
}

// DiscoveryOptions configure a FakeDiscovery.
type DiscoveryOptions struct {
	// EmptyLineFirst says that a watch begins with an empty line. Else nothing follows the response's
	// head before the first change, or the first of the empty lines that come at intervals.
	EmptyLineFirst bool
}

// StartDiscovery starts a FakeDiscovery that lists no endpoints. It runs until Close is called.
func StartDiscovery(options DiscoveryOptions) (*FakeDiscovery, error) {
	d := &FakeDiscovery{
		options: options,
		listed:  map[string]listedEndpoint{},
		changed: make(chan struct{}),
		broken:  make(chan struct{}),
	}
	return d, d.Move()
}

// Move lets the agent respond at a new address. The old one accepts no new connections, and those
// that are open are closed after a grace.
func (d *FakeDiscovery) Move() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.server; old != nil {
		d.listener.Close()
		time.AfterFunc(oldAddrGrace, func() { old.Close() })
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	d.listener = l
	d.addr = l.Addr().String()
	go d.server.Serve(l)
	return nil
}

// Close ends the agent and its open responses.
func (d *FakeDiscovery) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.server.Close()
}

// Addr returns the address at which the agent responds now.
func (d *FakeDiscovery) Addr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// Publish lists an endpoint, or replaces it.
func (d *FakeDiscovery) Publish(e platform.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.listed[e.ID] = listedEndpoint{e, d.version}
	close(d.changed)
	d.changed = make(chan struct{})
}

// SilenceWatches lets the watches that are open deliver nothing any more.
func (d *FakeDiscovery) SilenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
}

// BreakWatches breaks the connections of the watches that are open.
func (d *FakeDiscovery) BreakWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.broken)
	d.broken = make(chan struct{})
}

// SetDelay sets how long each response waits before it begins.
func (d *FakeDiscovery) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// serve responds with the complete list, or to a watch with the changes as they come.
func (d *FakeDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	delay := d.delay
	watch := fakeWatch{discovery: d, epoch: d.epoch, broken: d.broken}
	d.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	query := r.URL.Query()
	if query.Get(platform.WatchParameter) == "" {
		w.Write(d.completeList())
		return
	}
	watch.version, _ = strconv.ParseInt(query.Get(platform.VersionParameter), 10, 64)
	watch.serve(w, r)
}

// completeList returns the line with the complete list.
func (d *FakeDiscovery) completeList() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return listLine(platform.CompleteList(d.version, d.endpointsAfterLocked(0)...))
}

// endpointsAfterLocked returns the endpoints that have changed after a version, in the order of
// their changes.
func (d *FakeDiscovery) endpointsAfterLocked(version int64) []platform.Endpoint {
	var changed []listedEndpoint
	for _, e := range d.listed {
		if e.version > version {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b listedEndpoint) int { return cmp.Compare(a.version, b.version) })
	var endpoints []platform.Endpoint
	for _, e := range changed {
		endpoints = append(endpoints, e.Endpoint)
	}
	return endpoints
}

// listLine returns a message as one line of a response.
func listLine(list platform.EndpointList) []byte { return append(list.Text(), '\n') }

// fakeWatch is one watch of a FakeDiscovery.
type fakeWatch struct {
	discovery *FakeDiscovery
	version   int64           // that the client knows
	epoch     int             // in which the watch began
	broken    <-chan struct{} // closed when the watch breaks
}

// next returns the line with the changes after the version that the client knows, nil if there are
// none or the watch is silent, and a channel that is closed at the next change.
func (w *fakeWatch) next() (line []byte, changed <-chan struct{}) {
	d := w.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.version > w.version && d.epoch == w.epoch {
		line = listLine(platform.Changes(d.version, d.endpointsAfterLocked(w.version)...))
	}
	w.version = max(w.version, d.version)
	return line, d.changed
}

func (w *fakeWatch) isSilent() bool {
	w.discovery.mu.Lock()
	defer w.discovery.mu.Unlock()
	return w.discovery.epoch != w.epoch
}

// serve writes changes, and empty lines while there are none, until the watch ends.
func (w *fakeWatch) serve(rw http.ResponseWriter, r *http.Request) {
	if w.discovery.options.EmptyLineFirst {
		fmt.Fprintln(rw)
	}
	for {
		line, changed := w.next()
		rw.Write(line)
		rw.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(emptyLineInterval):
			if !w.isSilent() {
				fmt.Fprintln(rw)
			}
		case <-w.broken:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
