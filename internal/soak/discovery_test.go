package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is an endpoint as discovery lists it.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
	version   int
}

// How long discovery's troubles free the sidecars of what it has to tell.
const (
	silenceGrace = 6 * time.Second // after a watch fell silent
	reloadGrace  = 4 * time.Second // after SIGHUP
	upgradeGrace = 2 * time.Second // after a new process is ready
	emptyLine    = 2 * time.Second // between two empty lines of a watch
)

// discovery is the agent of all sidecars. It can fall silent, break its watches off, be slow and
// move to another address.
type discovery struct {
	mu       sync.Mutex
	version  int
	entries  map[string]entry
	changed  chan struct{} // closed at each change
	epoch    int           // watches of an earlier one are silent
	broken   chan struct{} // closed when all watches break off
	delay    time.Duration // before each answer
	graceEnd time.Time     // until when what is new does not count as told
	server   *http.Server
	listener net.Listener // of server
	addr     string
}

func newDiscovery() (*discovery, error) {
	d := &discovery{entries: map[string]entry{}, changed: make(chan struct{}), broken: make(chan struct{})}
	return d, d.move()
}

// move lets the agent answer at a new address. The old one takes no new connections, and those that
// are open close after 1.5 s.
func (d *discovery) move() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, listener := d.server, d.listener; old != nil {
		listener.Close()
		time.AfterFunc(1500*time.Millisecond, func() { old.Close() })
	}
	d.server, d.listener = &http.Server{Handler: http.HandlerFunc(d.serve)}, l
	d.addr = l.Addr().String()
	go d.server.Serve(l)
	return nil
}

// close ends the agent.
func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.server.Close()
}

// address returns where the agent answers now.
func (d *discovery) address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr
}

// publish lists an endpoint anew and returns when all sidecars count as told.
func (d *discovery) publish(e entry) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	e.version = d.version
	d.entries[e.ID] = e
	close(d.changed)
	d.changed = make(chan struct{})
	if now := time.Now(); now.After(d.graceEnd) {
		return now
	}
	return d.graceEnd
}

// allow frees the sidecars of what is new for so long from now on.
func (d *discovery) allow(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if end := time.Now().Add(grace); end.After(d.graceEnd) {
		d.graceEnd = end
	}
}

// fallSilent lets all open watches bring nothing any more.
func (d *discovery) fallSilent() {
	d.allow(silenceGrace)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
}

// breakWatches ends all open watches.
func (d *discovery) breakWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.broken)
	d.broken = make(chan struct{})
}

// setDelay lets each answer begin so late.
func (d *discovery) setDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// message returns what has changed after a version, or the whole list for a version below 0.
func (d *discovery) message(after int) (text []byte, version int) {
	list := struct {
		Version int     `json:"version"`
		Full    bool    `json:"full"`
		Servers []entry `json:"servers"`
	}{d.version, after < 0, []entry{}}
	for _, e := range d.entries {
		if e.version > after {
			list.Servers = append(list.Servers, e)
		}
	}
	text, _ = json.Marshal(list)
	return append(text, '\n'), d.version
}

// serve answers a call.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	delay, epoch, broken := d.delay, d.epoch, d.broken
	d.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	after := -1
	if text := r.URL.Query().Get("after"); text != "" {
		after, _ = strconv.Atoi(text)
	}
	watch := r.URL.Query().Get("watch") != ""
	for {
		d.mu.Lock()
		changed, silent := d.changed, d.epoch != epoch
		var text []byte
		if !watch || d.version > after {
			text, after = d.message(after)
		}
		d.mu.Unlock()
		if text != nil && !silent {
			w.Write(text)
		}
		if !watch {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(emptyLine):
			d.mu.Lock()
			silent = d.epoch != epoch
			d.mu.Unlock()
			if !silent {
				fmt.Fprintln(w)
			}
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
