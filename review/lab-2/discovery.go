package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// member is an endpoint as discovery lists it.
type member struct {
	id, addr, state string
	startedMs       int64
}

// json returns the entry in the form of the protocol page.
func (m member) json() string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"toledo-dc","kind":"gw-std","cell":0,`+
		`"state":%q,"weight":1.0,"started_ms":%d}`, m.id, m.addr, m.state, m.startedMs)
}

// listJSON returns a message of discovery.
func listJSON(version int, full bool, members []member) string {
	var entries []string
	for _, m := range members {
		entries = append(entries, m.json())
	}
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// discovery is a stand-in for the agent of discovery.
type discovery struct {
	listener net.Listener

	mu      sync.Mutex
	version int
	members []member
	changed chan struct{} // closed at the next change
	down    bool          // silent: it answers nothing, and its open watches deliver nothing
}

// startDiscovery starts discovery on a free port.
func startDiscovery(members []member) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: l, version: 41, members: members, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

// addr returns the address of discovery.
func (d *discovery) addr() string { return d.listener.Addr().String() }

// publish replaces the list.
func (d *discovery) publish(members []member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.members = members
	close(d.changed)
	d.changed = make(chan struct{})
}

// current returns the list, its version and a channel that is closed at the next change.
func (d *discovery) current() (list string, version int, changed chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return listJSON(d.version, true, d.members), d.version, d.changed
}

// setDown makes discovery silent, or ends that.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
}

// isDown reports whether discovery is silent.
func (d *discovery) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

// ServeHTTP answers a call. A watch gets the whole list at each change and an empty line every 2 s.
func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/catalog/members" {
		http.NotFound(w, q)
		return
	}
	if d.isDown() {
		<-q.Context().Done() // no byte is answered, until the sidecar gives up
		return
	}
	list, version, changed := d.current()
	if q.URL.Query().Get("watch") == "" {
		fmt.Fprintln(w, list)
		return
	}
	told, err := strconv.Atoi(q.URL.Query().Get("after"))
	if err != nil {
		told = -1
	}
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	flush := w.(http.Flusher).Flush
	fmt.Fprintln(w)
	flush()
	for {
		if version != told {
			fmt.Fprintln(w, list)
			flush()
			told = version
		}
		select {
		case <-q.Context().Done():
			return
		case <-changed:
		case <-tick.C:
			if !d.isDown() {
				fmt.Fprintln(w)
				flush()
			}
		}
		if d.isDown() { // this watch stays silent, also once discovery is back
			<-q.Context().Done()
			return
		}
		list, version, changed = d.current()
	}
}
