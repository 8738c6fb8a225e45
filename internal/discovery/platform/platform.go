// Package platform is the roster that the platform keeps: a list of endpoints over HTTP, and a watch for its changes.
package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rowancart/balancer"
	"rowancart/internal/netaddr"
	"rowancart/internal/proxy"
)

const (
	membersPath  = "/catalog/members"
	maxList      = 4 << 20                 // bytes of a list or a line of changes
	watchSilence = 2500 * time.Millisecond // an empty line comes every 2 s while nothing changes
	defaultGrace = time.Second
	answerShare  = 0.5 // of the grace, within which an agent that answers at once has done so, or a line that has begun ends
	retryLeast   = 50 * time.Millisecond
	retryShare   = 0.2                     // of the grace, between two watches at most
	askedAnswer  = 2500 * time.Millisecond // for an answer to begin where all instances ask one service: a call waits its turn there for up to 2 s
	askedRetry   = 1600 * time.Millisecond // longest backoff there: calls that come sooner than they are served keep all of them from it
	askedSettled = time.Second             // a watch there that ends sooner resets no backoff
	complainGap  = 10 * time.Second        // between two log lines about discovery
)

// Endpoint is an endpoint as discovery lists it.
type Endpoint struct {
	ID        string         `json:"id"`
	Addr      string         `json:"addr"`
	Zone      string         `json:"zone"`
	Kind      string         `json:"kind"`
	Cell      int            `json:"cell"`
	StateName string         `json:"state"`
	StartedMs int64          `json:"started_ms"`
	State     balancer.State `json:"-"`
}

// EndpointList is a message from discovery: the whole list, or what has changed.
type EndpointList struct {
	Version   *int64     `json:"version"`
	Full      bool       `json:"full"`
	Endpoints []Endpoint `json:"servers"`
}

// ForPool is the message as an engine hears it.
func (m EndpointList) ForPool() proxy.EndpointList {
	out := proxy.EndpointList{Complete: m.Full}
	for _, s := range m.Endpoints {
		out.Endpoints = append(out.Endpoints, proxy.Endpoint{ID: s.ID, Addr: s.Addr, Zone: s.Zone, Kind: s.Kind, Cell: s.Cell,
			State: s.State, StartedMs: s.StartedMs})
	}
	return out
}

var stateNames = map[string]balancer.State{"Ready": balancer.Ready, "Terminating": balancer.Draining, "Gone": balancer.Gone}

// ParseEndpointList reads and checks a message from discovery. One bad entry spoils the message.
func ParseEndpointList(text []byte) (EndpointList, error) {
	var m EndpointList
	if err := json.Unmarshal(text, &m); err != nil {
		return EndpointList{}, err
	}
	if m.Version == nil {
		return EndpointList{}, errors.New("version: missing")
	}
	if m.Endpoints == nil { // must not pass for a list on which nobody is left
		return EndpointList{}, errors.New("servers: missing")
	}
	for i := range m.Endpoints {
		s := &m.Endpoints[i]
		var ok bool
		if s.State, ok = stateNames[s.StateName]; !ok {
			return EndpointList{}, fmt.Errorf("state: %q of %q is unknown", s.StateName, s.ID)
		}
		if s.ID == "" {
			return EndpointList{}, errors.New("id: missing")
		}
		if s.State == balancer.Gone {
			continue
		}
		if err := netaddr.Check("addr", s.Addr); err != nil {
			return EndpointList{}, err
		}
	}
	return m, nil
}

// Client follows the list of endpoints. What the agent has counts as told whether or not a watch is open, and sends to an endpoint
// that drains have to end within the grace: a watch that brings nothing is given up, and the next one opened, well within that.
type Client struct {
	mu    sync.Mutex
	addr  string             // guarded by mu, as are the next two
	moved bool               // since the latest watch began
	stop  context.CancelFunc // ends the watch that is on

	asked     chan struct{} // closed by the first Subscribe; nil: none is waited for
	ask       sync.Once     // closes it
	version   *int64        // of the latest message; nil: the whole list is wanted
	deliver   func(EndpointList)
	current   func()
	log       *slog.Logger
	client    *http.Client
	silence   time.Duration // after which a watch is given up that has brought something
	answer    time.Duration // within which an answer begins, and what has begun of one is whole
	retryMost time.Duration
	settled   time.Duration // a watch that lasts this long resets the backoff
	spokeAt   time.Time
}

// Options say what to follow, and who hears of it.
type Options struct {
	Addr             string             // host:port
	WaitForSubscribe bool               // the first watch begins with a Subscribe; from then on there is always one
	Version          *int64             // of the list that is known already; nil: the whole list is wanted
	DrainGrace       time.Duration      // for which endpoints that drain may still be sent to; 0: a second
	OnUpdate         func(EndpointList) // takes each message
	OnCurrent        func()             // hears at each word of a watch, also that nothing has changed, that the list is up to date; nil: nobody asks
	Log              *slog.Logger
}

// New returns a follower. Run does the work.
func New(o Options) *Client {
	grace := float64(cmp.Or(o.DrainGrace, defaultGrace))
	d := &Client{addr: o.Addr, version: o.Version, deliver: o.OnUpdate, current: o.OnCurrent, log: o.Log, silence: watchSilence,
		answer: time.Duration(answerShare * grace), retryMost: time.Duration(retryShare * grace),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if o.WaitForSubscribe { // discovery is no agent of this machine then, but one service of bounded capacity for all
		d.asked = make(chan struct{})
		d.answer, d.retryMost, d.settled = askedAnswer, askedRetry, askedSettled
	}
	return d
}

// Subscribe asks for watches from now on. It does not block.
func (d *Client) Subscribe() {
	if d.asked != nil {
		d.ask.Do(func() { close(d.asked) })
	}
}

// SetAddress turns to another address: the watch at the old one ends, and the list is had anew.
func (d *Client) SetAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.addr, d.moved = addr, true
	if d.stop != nil {
		d.stop()
	}
}

// begin gives the context of a new watch and the address to keep it at.
func (d *Client) begin(ctx context.Context) (context.Context, context.CancelFunc, string) {
	ctx, cancel := context.WithCancel(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.moved {
		d.moved, d.version = false, nil
	}
	d.stop = cancel
	return ctx, cancel, d.addr
}

// Run keeps a watch until ctx ends. A watch that breaks leaves the old list standing; the next one asks for what
// has changed since.
func (d *Client) Run(ctx context.Context) {
	if d.asked != nil {
		select {
		case <-ctx.Done():
			return
		case <-d.asked:
		}
	}
	gap := min(retryLeast, d.retryMost)
	for {
		begun := time.Now()
		heard, err := d.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		d.complain(err)
		if heard && time.Since(begun) >= d.settled {
			gap = min(retryLeast, d.retryMost)
		}
		sleep(ctx, time.Duration(float64(gap)*(0.5+rand.Float64()))) // jitter: all sidecars lose their watch together
		gap = min(2*gap, d.retryMost)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// complain logs, but not more often than of use.
func (d *Client) complain(err error) {
	if time.Since(d.spokeAt) > complainGap {
		d.spokeAt = time.Now()
		d.log.Warn("discovery: watch ended", "err", err)
	}
}

// follow keeps one watch, after a whole list if one is wanted, and tells whether it brought anything.
func (d *Client) follow(ctx context.Context) (heard bool, err error) {
	ctx, cancel, addr := d.begin(ctx)
	defer cancel()
	watchdog := time.AfterFunc(d.answer, cancel)
	defer watchdog.Stop()
	if d.version == nil {
		if err := d.list(ctx, addr); err != nil {
			return false, err
		}
		watchdog.Reset(d.answer)
	}
	body, err := d.get(ctx, addr, "?watch=1&after="+strconv.FormatInt(*d.version, 10))
	if err != nil {
		return false, err
	}
	defer body.Close()
	for in := newLines(body, func() { watchdog.Reset(d.answer) }); ; {
		object, err := in.next()
		if err != nil {
			return heard, fmt.Errorf("watch: %w", err)
		}
		watchdog.Reset(d.silence)
		if len(object) > 0 {
			if err := d.take(object); err != nil {
				return heard, err
			}
		}
		heard = true
		if d.current != nil {
			d.current()
		}
	}
}

// list gets the whole list once.
func (d *Client) list(ctx context.Context, addr string) error {
	body, err := d.get(ctx, addr, "")
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxList))
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	return d.take(text)
}

func (d *Client) get(ctx context.Context, addr, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+membersPath+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("%s%s: %s", membersPath, query, resp.Status)
	}
	return resp.Body, nil
}

// take passes on one message. After one that can't be read, or changes to a list older than ours, something may
// have been missed: the whole list is asked for anew.
func (d *Client) take(text []byte) error {
	m, err := ParseEndpointList(text)
	if err == nil && !m.Full && (d.version == nil || *m.Version < *d.version) {
		err = fmt.Errorf("version: %d does not follow", *m.Version)
	}
	if err != nil {
		d.version = nil
		return fmt.Errorf("malformed message: %w", err)
	}
	d.version = m.Version
	d.deliver(m)
	return nil
}
