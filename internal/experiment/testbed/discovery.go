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

// entry is a box as the roster lists it (PROTOCOL, Discovery).
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// list is one message of the roster.
type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

const (
	stateReady    = "Ready"
	stateDraining = "Terminating"
	stateGone     = "Gone"
	membersPath   = "/catalog/members"
	beat          = 2 * time.Second // an empty line comes this often while nothing changes
)

var states = map[string]balancer.State{stateReady: balancer.Ready, stateDraining: balancer.Draining, stateGone: balancer.Gone}

// feed is the roster as one sidecar sees it, at an address of its own.
type feed struct {
	told func(entry) // is called when an entry has been written to the sidecar

	mu      sync.Mutex
	version int
	current []entry
	changes []entry // one a version, the first being version 1
	news    chan struct{}
	server  *http.Server
	addr    string
}

func newFeed(first []entry, told func(entry)) (*feed, error) {
	f := &feed{told: told, current: slices.Clone(first), news: make(chan struct{})}
	return f, f.open()
}

// open serves at a new address.
func (f *feed) open() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("roster: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+membersPath, f.serve)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	f.mu.Lock()
	f.server, f.addr = s, l.Addr().String()
	f.mu.Unlock()
	go func() { _ = s.Serve(l) }() // ends with close
	return nil
}

// move turns to a new address; the old one takes no new connections and closes the open ones after a while (TERMS).
func (f *feed) move() error {
	f.mu.Lock()
	old := f.server
	f.mu.Unlock()
	if err := f.open(); err != nil {
		return err
	}
	time.AfterFunc(1500*time.Millisecond, func() { old.Close() })
	return nil
}

func (f *feed) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.server.Close()
}

func (f *feed) address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addr
}

// publish tells the sidecar of a change.
func (f *feed) publish(e entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.changes = append(f.changes, e)
	i := slices.IndexFunc(f.current, func(o entry) bool { return o.ID == e.ID })
	switch {
	case e.State == stateGone && i >= 0:
		f.current = slices.Delete(f.current, i, i+1)
	case e.State == stateGone:
	case i >= 0:
		f.current[i] = e
	default:
		f.current = append(f.current, e)
	}
	close(f.news)
	f.news = make(chan struct{})
}

// known is the whole list as of now.
func (f *feed) known() list {
	f.mu.Lock()
	defer f.mu.Unlock()
	return list{f.version, true, append([]entry{}, f.current...)}
}

func (f *feed) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		l := f.known()
		_ = json.NewEncoder(w).Encode(l) // a sidecar that left needs no answer
		for _, e := range l.Servers {
			f.told(e)
		}
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		http.Error(w, "after: a version is wanted", http.StatusBadRequest)
		return
	}
	flush := http.NewResponseController(w)
	tick := time.NewTicker(beat)
	defer tick.Stop()
	w.WriteHeader(http.StatusOK)
	if err := flush.Flush(); err != nil {
		return
	}
	for {
		f.mu.Lock()
		news, version := f.news, f.version
		after = min(after, version) // of an earlier life of ours
		changed := append([]entry{}, f.changes[after:version]...)
		f.mu.Unlock()
		line := []byte("\n")
		if len(changed) > 0 {
			line, _ = json.Marshal(list{version, false, changed}) // plain values: it cannot fail
			line = append(line, '\n')
			after = version
		}
		if _, err := w.Write(line); err != nil || flush.Flush() != nil {
			return
		}
		for _, e := range changed {
			f.told(e)
		}
		select {
		case <-r.Context().Done():
			return
		case <-news:
		case <-tick.C:
		}
	}
}
