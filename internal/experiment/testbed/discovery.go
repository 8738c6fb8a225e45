package testbed

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"rowancart/balancer"
)

// listEntry is a server as the discovery service lists it (PROTOCOL, Discovery).
type listEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// endpointList is one message of the discovery service.
type endpointList struct {
	Version int         `json:"version"`
	Full    bool        `json:"full"`
	Servers []listEntry `json:"servers"`
}

const (
	stateReady        = "Ready"
	stateDraining     = "Terminating"
	stateGone         = "Gone"
	membersPath       = "/catalog/members"
	keepaliveInterval = 2 * time.Second // an empty line comes this often while nothing changes
)

var endpointStates = map[string]balancer.State{stateReady: balancer.Ready, stateDraining: balancer.Draining, stateGone: balancer.Gone}

// discoveryServer is the discovery service as one sidecar sees it, at an address of its own.
type discoveryServer struct {
	onDelivered func(listEntry) // is called when an entry has been written to the sidecar

	mu      sync.Mutex
	version int
	current []listEntry
	changes []listEntry // one a version, the first being version 1
	changed chan struct{}
	server  *http.Server
	addr    string
}

func newDiscoveryServer(first []listEntry, told func(listEntry)) (*discoveryServer, error) {
	f := &discoveryServer{onDelivered: told, current: slices.Clone(first), changed: make(chan struct{})}
	return f, f.listen()
}

// listen serves at a new address.
func (d *discoveryServer) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("roster: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+membersPath, d.serve)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	d.mu.Lock()
	d.server, d.addr = s, l.Addr().String()
	d.mu.Unlock()
	go func() { _ = s.Serve(l) }() // ends with close
	return nil
}

// moveAddress turns to a new address; the old one takes no new connections and closes the open ones after a while (TERMS).
func (d *discoveryServer) moveAddress() error {
	d.mu.Lock()
	old := d.server
	d.mu.Unlock()
	if err := d.listen(); err != nil {
		return err
	}
	time.AfterFunc(1500*time.Millisecond, func() { old.Close() })
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

// publish tells the sidecar of a change.
func (d *discoveryServer) publish(e listEntry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.changes = append(d.changes, e)
	i := slices.IndexFunc(d.current, func(o listEntry) bool { return o.ID == e.ID })
	switch {
	case e.State == stateGone && i >= 0:
		d.current = slices.Delete(d.current, i, i+1)
	case e.State == stateGone:
	case i >= 0:
		d.current[i] = e
	default:
		d.current = append(d.current, e)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// snapshot is the whole list as of now.
func (d *discoveryServer) snapshot() endpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return endpointList{d.version, true, append([]listEntry{}, d.current...)}
}

func (d *discoveryServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		l := d.snapshot()
		_ = json.NewEncoder(w).Encode(l) // a sidecar that left needs no answer
		for _, e := range l.Servers {
			d.onDelivered(e)
		}
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		http.Error(w, "after: a version is wanted", http.StatusBadRequest)
		return
	}
	flush := http.NewResponseController(w)
	tick := time.NewTicker(keepaliveInterval)
	defer tick.Stop()
	w.WriteHeader(http.StatusOK)
	if err := flush.Flush(); err != nil {
		return
	}
	for {
		d.mu.Lock()
		news, version := d.changed, d.version
		after = min(after, version) // of an earlier life of ours
		changed := append([]listEntry{}, d.changes[after:version]...)
		d.mu.Unlock()
		line := []byte("\n")
		if len(changed) > 0 {
			line, _ = json.Marshal(endpointList{version, false, changed}) // plain values: it cannot fail
			line = append(line, '\n')
			after = version
		}
		if _, err := w.Write(line); err != nil || flush.Flush() != nil {
			return
		}
		for _, e := range changed {
			d.onDelivered(e)
		}
		select {
		case <-r.Context().Done():
			return
		case <-news:
		case <-tick.C:
		}
	}
}
