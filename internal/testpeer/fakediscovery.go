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
	emptyLineInterval = 2 * time.Second         // interval of the empty lines of a watch without changes
	oldAddrGrace      = 1500 * time.Millisecond // how long open responses at an old address continue
)

// FakeDiscovery is a discovery agent whose endpoint list is set by a test. It can stop sending on
// open watches, abort their connections, delay its responses, and move to another address. It is
// safe for concurrent use.
type FakeDiscovery struct {
	options DiscoveryOptions

	mu       sync.Mutex
	version  int64
	listed   map[string]listedEndpoint // by endpoint ID
	changed  chan struct{}             // closed and replaced at each change of the list
	epoch    int                       // watches that began in an earlier epoch send nothing
	aborted  chan struct{}             // closed to abort the connections of all open watches
	delay    time.Duration             // wait before each response
	server   *http.Server
	listener net.Listener // of server
	addr     string
}

// listedEndpoint is an endpoint with the version of the list that last changed it.
type listedEndpoint struct {
	platform.Endpoint
	version int64
}

// DiscoveryOptions configure a FakeDiscovery.
type DiscoveryOptions struct {
	// EmptyLineFirst makes each watch begin with an empty line. Otherwise nothing follows the head
	// of the response until the first change, or the first empty line after emptyLineInterval.
	EmptyLineFirst bool
}

// StartDiscovery starts a FakeDiscovery that lists no endpoints. It runs until Close is called.
func StartDiscovery(options DiscoveryOptions) (*FakeDiscovery, error) {
	d := &FakeDiscovery{
		options: options,
		listed:  map[string]listedEndpoint{},
		changed: make(chan struct{}),
		aborted: make(chan struct{}),
	}
	return d, d.Move()
}

// Move makes the agent respond at a new address. The old address accepts no new connections, and
// its open connections are closed after oldAddrGrace.
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

// Addr returns the current address of the agent.
func (d *FakeDiscovery) Addr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// Publish adds an endpoint to the list, or replaces it.
func (d *FakeDiscovery) Publish(e platform.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.listed[e.ID] = listedEndpoint{e, d.version}
	close(d.changed)
	d.changed = make(chan struct{})
}

// LoseState replaces the list with one whose versions begin anew, and aborts the connections of the
// open watches.
func (d *FakeDiscovery) LoseState(endpoints ...platform.Endpoint) {
	d.mu.Lock()
	d.version = 0
	clear(d.listed)
	d.mu.Unlock()
	d.AbortWatches()
	for _, e := range endpoints {
		d.Publish(e)
	}
}

// SilenceWatches makes the open watches send nothing more. Their connections stay open.
func (d *FakeDiscovery) SilenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
}

// AbortWatches aborts the connections of the open watches.
func (d *FakeDiscovery) AbortWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.aborted)
	d.aborted = make(chan struct{})
}

// SetDelay sets how long each response waits before it begins.
func (d *FakeDiscovery) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// serve responds to a watch with the changes as they occur, and to other requests with the complete
// list.
func (d *FakeDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	delay := d.delay
	watch := fakeWatch{discovery: d, epoch: d.epoch, aborted: d.aborted}
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

// completeList returns a line with the complete list.
func (d *FakeDiscovery) completeList() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return listLine(platform.CompleteList(d.version, d.endpointsAfterLocked(0)...))
}

// endpointsAfterLocked returns the endpoints that have changed after a version, in the order of
// their changes. The caller must hold d.mu.
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

// listLine returns an endpoint list as one line of a response.
func listLine(list platform.EndpointList) []byte { return append(list.Text(), '\n') }

// fakeWatch is one watch of a FakeDiscovery.
type fakeWatch struct {
	discovery *FakeDiscovery
	version   int64           // list version that the client knows
	epoch     int             // epoch in which the watch began
	aborted   <-chan struct{} // closed to abort the connection of the watch
}

// next returns a line with the changes after the version that the client knows, and a channel that
// is closed at the next change. The line is nil if there are no changes or the watch is silenced.
func (w *fakeWatch) next() (line []byte, changed <-chan struct{}) {
	d := w.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.epoch != w.epoch:
	case d.version > w.version:
		line = listLine(platform.Changes(d.version, d.endpointsAfterLocked(w.version)...))
	case d.version < w.version: // the client's version is of a list that this agent does not know
		line = listLine(platform.CompleteList(d.version, d.endpointsAfterLocked(0)...))
	}
	w.version = d.version
	return line, d.changed
}

func (w *fakeWatch) isSilenced() bool {
	w.discovery.mu.Lock()
	defer w.discovery.mu.Unlock()
	return w.discovery.epoch != w.epoch
}

// serve writes the changes, and empty lines at intervals without changes, until the watch ends.
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
			if !w.isSilenced() {
				fmt.Fprintln(rw)
			}
		case <-w.aborted:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
