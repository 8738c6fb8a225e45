package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an entry of the endpoint list, in discovery's form.
type member struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// memberList is a message of discovery.
type memberList struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []member `json:"servers"`
}

// discovery is the platform's agent. It sends changes as they are made.
type discovery struct {
	addr string

	mu      sync.Mutex
	list    memberList
	history []memberList // one message a change
	changed chan struct{}
}

// startDiscovery serves a list of endpoints that are ready and started long ago.
func startDiscovery(addrs ...string) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: l.Addr().String(), changed: make(chan struct{})}
	d.list = memberList{Version: 1, Full: true, Servers: []member{}}
	for i, addr := range addrs {
		d.list.Servers = append(d.list.Servers, member{
			ID: fmt.Sprintf("s-%04d", i), Addr: addr, Zone: "toledo-dc", Kind: "gw-std", Cell: i, State: "Ready", Weight: 1,
		})
	}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

// set changes the state of an endpoint, at once for all watches.
func (d *discovery) set(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Version++
	change := memberList{Version: d.list.Version, Servers: []member{}}
	for i := range d.list.Servers {
		if d.list.Servers[i].ID == id {
			d.list.Servers[i].State = state
			change.Servers = append(change.Servers, d.list.Servers[i])
		}
	}
	d.history = append(d.history, change)
	close(d.changed)
	d.changed = make(chan struct{})
}

// text returns the whole list as JSON.
func (d *discovery) text() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return mustJSON(d.list)
}

func mustJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

// since returns the messages after a version, and a channel that is closed at the next change.
func (d *discovery) since(version int) ([]memberList, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var news []memberList
	for _, m := range d.history {
		if m.Version > version {
			news = append(news, m)
		}
	}
	return news, d.changed
}

// ServeHTTP implements http.Handler.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		_, _ = io.WriteString(w, d.text()+"\n")
		return
	}
	version, _ := strconv.Atoi(r.URL.Query().Get("after"))
	flusher := w.(http.Flusher)
	_, _ = io.WriteString(w, "\n")
	flusher.Flush()
	for {
		news, changed := d.since(version)
		for _, m := range news {
			if _, err := io.WriteString(w, mustJSON(m)+"\n"); err != nil {
				return
			}
			version = m.Version
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
		}
	}
}

// settings are those of a small deployment of intake-toledo: a front sidecar of the first tier.
const settings = `{"Accounts":[{"Name":"erie-county","QuotaPerS":44,"Share":0.7},
{"Name":"huron-county","QuotaPerS":19,"Share":0.3}],
"Blend":{"Whole":0.3,"WorstClass":0.3,"WorstTenant":0.1,"WorstWindow":0.3},"Clients":{"MarksRetry":true},
"Discovery":"automatic","Domain":{"PassesDeadline":false},"DomainType":"chain","Kinds":["gw-std"],
"Lanes":[
{"Credit":1,"Group":"all","HardLimitUs":6000000,"LateValue":0.25,"Name":"form-lookup","OnTimeUs":2500000,
"Semantics":"read_like","Streaming":false,"WindowUs":5000000},
{"Credit":1,"Group":"all","HardLimitUs":6000000,"LateValue":0.2,"Name":"draft-save","OnTimeUs":2500000,
"Semantics":"read_like","Streaming":false,"WindowUs":5000000},
{"Credit":10,"Group":"all","HardLimitUs":6000000,"LateValue":0.2,"Name":"return-submit","OnTimeUs":2500000,
"Semantics":"non_idempotent","Streaming":false,"WindowUs":5000000}],
"Me":0,"NInstances":1,"OverShareWorth":0.1,
"Permissions":{"ConnIdleUs":30000000,"CpuUsPerRequest":0,"CpuUsPerS":400000,"DialTimeoutUs":250000,"MaxOpen":20000,
"MaxRetryAfterUs":2000000,"MayCancel":true,"MayProbe":true,"Peers":false,"RetryAfter":false,"SecondCopies":true,
"StreamsPerConn":1,"TryLimit":5},
"Report":{"Fields":["err_rps","waiting"],"How":"piggyback"},"ResolutionUs":5000,
"Rules":{"AnswerSlackUs":20000,"AskWithinUs":10000000,"ColdFrom":0.31,"ColdUs":7600000,"DrainGraceUs":1000000,
"FallMultiple":4,"TipAfterUs":1000000},
"Tier":0,"Tiers":["form-gateway","form-check","return-filing"],"Weights":"silent","WorthBy":"request",
"Zone":"toledo-dc","Zones":["toledo-dc"]}`

// sidecarConfig is what the platform tells a sidecar.
type sidecarConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Console   string          `json:"console,omitempty"`
	Seed      string          `json:"seed"`
	Limits    sidecarLimits   `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

type sidecarLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// startSidecar starts a sidecar as the platform does, and waits until it is healthy.
func (e *environment) startSidecar(
	d *discovery, settings string, limits sidecarLimits,
) (addr string, p *process, err error) {
	if addr, err = freeAddr(); err != nil {
		return "", nil, err
	}
	c := sidecarConfig{
		Name: "n1", Listen: addr, Discovery: d.addr, Seed: "8c1f30d27a5be964", Limits: limits,
		Known: json.RawMessage(d.text()), Settings: json.RawMessage(settings),
	}
	path, err := e.writeFile("sidecar.json", mustJSON(c))
	if err != nil {
		return "", nil, err
	}
	if p, err = e.run("sidecar", "exec bin/sidecar", "ROUTER_CONFIG="+path); err != nil {
		return "", nil, err
	}
	return addr, p, awaitHealthy(addr, 10*time.Second)
}
