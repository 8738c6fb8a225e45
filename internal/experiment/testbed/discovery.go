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
	keepaliveInterval = 2 * time.Second         // of empty lines while nothing changes
	oldAddressTime    = 1500 * time.Millisecond // for which watches at an old address go on (TERMS)
)

// discoveryServer is discovery as one sidecar sees it, at an address of its own.
type discoveryServer struct {
	onDelivered func(platform.Endpoint) // called when an entry has been written to the sidecar

	mu      sync.Mutex
	version int
	current []platform.Endpoint
	changes []platform.Endpoint // changes[i] makes version i+1
	changed chan struct{}       // closed at the next change, which makes a new one
	server  *http.Server
	addr    string
}

func newDiscoveryServer(first []platform.Endpoint, onDelivered func(platform.Endpoint)) (*discoveryServer, error) {
	d := &discoveryServer{onDelivered: onDelivered, current: slices.Clone(first), changed: make(chan struct{})}
	return d, d.listen()
}

// listen serves at a new address.
func (d *discoveryServer) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.EndpointListPath, d.serve)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	d.mu.Lock()
	d.server, d.addr = server, l.Addr().String()
	d.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends with close
	return nil
}

// moveAddress moves to a new address. Connections to the old one are closed after a while.
func (d *discoveryServer) moveAddress() error {
	d.mu.Lock()
	old := d.server
	d.mu.Unlock()
	if err := d.listen(); err != nil {
		return err
	}
	time.AfterFunc(oldAddressTime, func() { old.Close() })
	return nil
}

func (d *discoveryServer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.server.Close()
}

func (d *discoveryServer) address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// publish adds a change to the list.
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

// serve answers a poll with the complete list, or a watch with changes as they come.
func (d *discoveryServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get(platform.WatchParameter) == "" {
		list := d.snapshot()
		_, _ = w.Write(append(list.Text(), '\n')) // fails only if the sidecar has left
		d.delivered(list.Endpoints)
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get(platform.VersionParameter))
	if err != nil || after < 0 {
		http.Error(w, platform.VersionParameter+": a version is wanted", http.StatusBadRequest)
		return
	}
	d.serveWatch(w, r, after)
}

// serveWatch sends the changes after a version, and those to come, until the sidecar leaves.
func (d *discoveryServer) serveWatch(w http.ResponseWriter, r *http.Request, after int) {
	flusher := http.NewResponseController(w)
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	w.WriteHeader(http.StatusOK)
	if err := flusher.Flush(); err != nil {
		return
	}
	for {
		changes, version, changed := d.changesAfter(after)
		line := []byte("\n")
		if len(changes) > 0 {
			line = append(platform.Changes(int64(version), changes...).Text(), '\n')
		}
		after = version
		if _, err := w.Write(line); err != nil || flusher.Flush() != nil {
			return
		}
		d.delivered(changes)
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-keepalive.C:
		}
	}
}

// changesAfter returns the changes after a version, the present version, and a channel that is
// closed at the next change. A version from the future, which an earlier discovery server issued,
// stands for the present one.
func (d *discoveryServer) changesAfter(after int) (changes []platform.Endpoint, version int, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	after = min(after, d.version)
	return append([]platform.Endpoint{}, d.changes[after:d.version]...), d.version, d.changed
}

func (d *discoveryServer) delivered(entries []platform.Endpoint) {
	for _, e := range entries {
		d.onDelivered(e)
	}
}

// publish notifies every sidecar before a tier of a change, each after its own delay and in the
// order of the changes.
func (r *testRun) publish(tier int, e platform.Endpoint) {
	delay, withheld := r.discoveryFaults.intercept(notice{tier, e})
	if withheld {
		return
	}
	r.mu.Lock()
	sidecars := slices.Clone(r.sidecars)
	r.mu.Unlock()
	for _, s := range sidecars {
		if s.tier == tier {
			s.scheduleNotice(e, delay)
		}
	}
}

// scheduleNotice publishes a change to the sidecar after its delay and an extra one.
func (s *sidecar) scheduleNotice(e platform.Endpoint, extra time.Duration) {
	discovery := s.run.experiment.Site.Discovery
	delay := discovery.Delay + extra + time.Duration(s.discoverySpread*float64(discovery.Spread))
	s.mu.Lock()
	at := time.Now().Add(delay)
	if !at.After(s.lastNotice) {
		at = s.lastNotice.Add(time.Millisecond)
	}
	s.lastNotice = at
	s.mu.Unlock()
	time.AfterFunc(time.Until(at), func() { s.discovery.publish(e) })
}
