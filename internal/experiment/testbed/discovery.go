package testbed

import (
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
	keepaliveInterval  = 2 * time.Second         // between empty lines that a watch sends while the list does not change
	minUpdateInterval  = time.Millisecond        // minimum, between updates to a sidecar, so that they stay in order
	oldAddressLifetime = 1500 * time.Millisecond // of watches at the old address after a move (TERMS)
)

// discoveryServer is the discovery service of one sidecar, with its own address.
type discoveryServer struct {
	onDelivered func(platform.Endpoint) // called for each entry that was written to the sidecar

	mu      sync.Mutex
	version int
	current []platform.Endpoint
	changes []platform.Endpoint // changes[i] leads from version i to version i+1
	changed chan struct{}       // closed and replaced at the next change
	servers []*http.Server      // the last one has the current address, the others earlier ones
	addr    string

	goroutines sync.WaitGroup // of the servers
}

// newDiscoveryServer starts a server that serves the given endpoint list as version 0.
func newDiscoveryServer(endpoints []platform.Endpoint,
	onDelivered func(platform.Endpoint)) (*discoveryServer, error) {
	d := &discoveryServer{
		onDelivered: onDelivered,
		current:     slices.Clone(endpoints),
		changed:     make(chan struct{}),
	}
	return d, d.listen()
}

// listen starts to serve at a new address, which becomes the current one.
func (d *discoveryServer) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("discovery server: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.EndpointListPath, d.serve)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = append(d.servers, server)
	d.addr = l.Addr().String()
	d.goroutines.Go(func() { _ = server.Serve(l) }) // until the server is closed
	return nil
}

// moveAddress moves to a new address. The old address is served for oldAddressLifetime longer.
func (d *discoveryServer) moveAddress() error {
	d.mu.Lock()
	old := d.servers[len(d.servers)-1]
	d.mu.Unlock()
	if err := d.listen(); err != nil {
		return err
	}
	time.AfterFunc(oldAddressLifetime, func() { old.Close() })
	return nil
}

// close stops the service at all addresses. It may be called twice.
func (d *discoveryServer) close() {
	d.mu.Lock()
	for _, server := range d.servers {
		server.Close()
	}
	d.mu.Unlock()
	d.goroutines.Wait()
}

// address returns the current address.
func (d *discoveryServer) address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// publish applies a change to the list and notifies the watches.
func (d *discoveryServer) publish(e platform.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.changes = append(d.changes, e)
	i := slices.IndexFunc(d.current, func(other platform.Endpoint) bool { return other.ID == e.ID })
	switch {
	case e.State == platform.StateRemoved && i >= 0:
		d.current = slices.Delete(d.current, i, i+1)
	case e.State == platform.StateRemoved:
	case i >= 0:
		d.current[i] = e
	default:
		d.current = append(d.current, e)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// snapshot returns the complete list.
func (d *discoveryServer) snapshot() platform.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return platform.CompleteList(int64(d.version), d.current...)
}

// serve answers a poll with the complete list, and a watch with changes as they occur.
func (d *discoveryServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get(platform.WatchParameter) == "" {
		list := d.snapshot()
		_, _ = w.Write(append(list.Text(), '\n')) // fails only if the sidecar has disconnected
		d.reportDelivered(list.Endpoints)
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get(platform.VersionParameter))
	if err != nil || after < 0 {
		http.Error(w, platform.VersionParameter+": want a version", http.StatusBadRequest)
		return
	}
	d.serveWatch(w, r, after)
}

// serveWatch sends the changes since a version and all later ones, until the sidecar disconnects.
func (d *discoveryServer) serveWatch(w http.ResponseWriter, r *http.Request, after int) {
	flusher := http.NewResponseController(w)
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	w.WriteHeader(http.StatusOK)
	if err := flusher.Flush(); err != nil {
		return
	}
	for {
		event := d.eventAfter(after)
		after = event.version
		if _, err := w.Write(event.text()); err != nil || flusher.Flush() != nil {
			return
		}
		d.reportDelivered(event.changes)
		select {
		case <-r.Context().Done():
			return
		case <-event.next:
		case <-keepalive.C:
		}
	}
}

// watchEvent holds the changes that a watch sends next.
type watchEvent struct {
	changes []platform.Endpoint
	version int             // after the changes
	next    <-chan struct{} // closed at the next change
}

// text returns the line that a watch sends for the event. It is empty if there are no changes.
func (e *watchEvent) text() []byte {
	if len(e.changes) == 0 {
		return []byte("\n")
	}
	return append(platform.Changes(int64(e.version), e.changes...).Text(), '\n')
}

// eventAfter returns the changes since a version. A version higher than the current one comes from
// an earlier discovery server and is treated as the current one.
func (d *discoveryServer) eventAfter(after int) watchEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	after = min(after, d.version)
	return watchEvent{
		changes: slices.Clone(d.changes[after:d.version]),
		version: d.version,
		next:    d.changed,
	}
}

// reportDelivered calls onDelivered for each entry that was written to the sidecar.
func (d *discoveryServer) reportDelivered(entries []platform.Endpoint) {
	for _, e := range entries {
		d.onDelivered(e)
	}
}

// publish sends a change of a tier's endpoint list to every sidecar before that tier. Each sidecar
// gets its changes after its own delay, in order. While discovery is silent, changes are
// withheld until that fault ends.
func (r *testRun) publish(tier int, e platform.Endpoint) {
	delay, withheld := r.discoveryFaults.intercept(endpointUpdate{tier, e})
	if withheld {
		return
	}
	r.mu.Lock()
	sidecars := slices.Clone(r.sidecars)
	r.mu.Unlock()
	for _, s := range sidecars {
		if s.placement.Tier == tier {
			s.scheduleUpdate(e, delay)
		}
	}
}

// scheduleUpdate publishes a change to the sidecar after the sidecar's own delay plus extra.
func (s *sidecar) scheduleUpdate(e platform.Endpoint, extra time.Duration) {
	discovery := s.run.experiment.Site.Discovery
	delay := discovery.Delay + extra + time.Duration(s.discoverySpread*float64(discovery.Spread))
	s.mu.Lock()
	at := max(s.run.now()+delay, s.lastUpdateAt+minUpdateInterval)
	s.lastUpdateAt = at
	s.mu.Unlock()
	s.run.goroutines.Go(func() {
		if s.run.sleepUntil(at) {
			s.discovery.publish(e)
		}
	})
}
