package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"rowancart/internal/testpeer"
)

// drains is what must not be missed.
var drains = members(42, false, member("a", "127.0.0.1:1", "Terminating"))

// However a watch stops bringing anything, it is given up, and what it would have brought is had from the next one.
func TestAWatchThatStopsIsOpenedAnew(t *testing.T) {
	for name, row := range map[string]struct {
		version int64
		steps   []string
		calls   []string
	}{
		"silent before its head":       {41, []string{"MUTE", drains + "\nSILENT"}, []string{"watch=1&after=41", "watch=1&after=41"}},
		"silent behind its head":       {41, []string{"SILENT", drains + "\nSILENT"}, []string{"watch=1&after=41", "watch=1&after=41"}},
		"silent in its first line":     {41, []string{drains[:20] + "SILENT", drains + "\nSILENT"}, []string{"watch=1&after=41", "watch=1&after=41"}},
		"silent in a later line":       {40, []string{members(41, false) + "\n\n" + drains[:20] + "SILENT", drains + "\nSILENT"}, []string{"watch=1&after=40", "watch=1&after=41"}},
		"silent before a line's end":   {41, []string{drains + "SILENT", drains + "\nSILENT"}, []string{"watch=1&after=41", "watch=1&after=41"}},
		"reset at once":                {41, []string{"RESET", drains + "\nSILENT"}, []string{"watch=1&after=41", "watch=1&after=41"}},
		"reset in a line":              {40, []string{members(41, false) + "\n" + drains[:20] + "RESET", drains + "\nSILENT"}, []string{"watch=1&after=40", "watch=1&after=41"}},
		"a list that says nothing":     {-1, []string{"MUTE", members(41, true), drains + "\nSILENT"}, []string{"", "", "watch=1&after=41"}},
		"a list that stops":            {-1, []string{drains[:20] + "SILENT", members(41, true), drains + "\nSILENT"}, []string{"", "", "watch=1&after=41"}},
		"a list, then a silent watch":  {-1, []string{members(41, true), "MUTE", drains + "\nSILENT"}, []string{"", "watch=1&after=41", "watch=1&after=41"}},
		"two in a row, then a reset":   {41, []string{"MUTE", "SILENT", "RESET", drains + "\nSILENT"}, []string{"watch=1&after=41", "watch=1&after=41", "watch=1&after=41"}},
		"a list that can't be read":    {-1, []string{"{nonsense", members(41, true), drains + "\nSILENT"}, []string{"", "", "watch=1&after=41"}},
		"a line too long, never whole": {41, []string{`{"version":"` + strings.Repeat("x", maxList), drains + "\nSILENT"}, []string{"watch=1&after=41", "watch=1&after=41"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := follow(t, row.version, func(d *Client) {
				d.answer = 200 * time.Millisecond
				if row.version < 0 {
					d.version = nil
				}
			}, row.steps...)
			f.expectCalls(t, row.calls...)
			for m := range f.got {
				if *m.Version == 42 {
					break
				}
			}
		})
	}
}

// Lists may come indented, by themselves or on a watch, in whatever pieces.
func TestIndentedListsAreRead(t *testing.T) {
	indented := func(text string) string {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(text), "", "\t"); err != nil {
			t.Fatal(err)
		}
		return strings.ReplaceAll(b.String(), "\n", "\r\n")
	}
	text := indented(members(41, true, member("{[\"\\", "127.0.0.1:1", "Ready"), member("b}", "127.0.0.1:2", "Ready")))
	f := follow(t, 0, func(d *Client) { d.version = nil }, text,
		"\n"+indented(members(42, false, member("}\\\"{", "127.0.0.1:1", "Ready")))+"\n\n"+members(43, false)+"\n"+indented(members(44, false))+"\nSILENT")
	f.expectVersions(t, 41, 42, 43, 44)
	f.expectCalls(t, "", "watch=1&after=41")
}

// A configuration that moves discovery may come at any point of a watch: the old address is left at once, and the list had anew.
func TestAMoveAtAnyPointOfAWatch(t *testing.T) {
	for name, step := range map[string]string{"before its head": "MUTE", "behind its head": "SILENT", "in a line": drains[:20] + "SILENT",
		"between lines": "\nSILENT"} {
		t.Run(name, func(t *testing.T) {
			f := follow(t, 41, nil, step)
			f.expectCalls(t, "watch=1&after=41")
			next := &testpeer.Script{Steps: []string{members(7, true), members(8, false) + "\nSILENT"}, Calls: make(chan string, 100)}
			server := httptest.NewServer(next)
			t.Cleanup(server.Close)
			t.Cleanup(server.CloseClientConnections) // the watch is still on
			f.SetAddress(server.Listener.Addr().String())
			f.expectVersions(t, 7, 8)
		})
	}
}

// agent is discovery in a synctest bubble, over connections in memory.
type agent struct {
	refuses bool // connections, while it is down; else it takes them and says nothing
	down    atomic.Bool
	drain   atomic.Bool
	opens   func(n int32, w http.ResponseWriter) // what the n-th watch begins with
	n       atomic.Int32
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := a.n.Add(1)
	if a.down.Load() {
		<-r.Context().Done()
		return
	}
	if a.opens != nil {
		a.opens(n, w)
		w.(http.Flusher).Flush()
		if n == 1 {
			<-r.Context().Done()
			return
		}
	}
	for told, beat := false, 0; ; beat++ {
		switch {
		case a.drain.Load() && !told:
			told = true
			w.Write([]byte(drains + "\n"))
		case beat%20 == 0:
			w.Write([]byte("\n"))
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
		if a.down.Load() {
			<-r.Context().Done()
			return
		}
	}
}

// pipes is a listener of connections in memory.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	nc, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return nc, nil
}
func (p pipes) Close() error   { return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// followIn follows an agent in a bubble, and gives when the drain was heard of.
func followIn(t *testing.T, grace time.Duration, a *agent) (heard func() time.Time, end func()) {
	return followHandler(t, Options{DrainGrace: grace}, a, func() bool { return a.refuses && a.down.Load() })
}

// followHandler is followIn for whatever serves as discovery. Connections fail while refuses says so.
func followHandler(t *testing.T, o Options, h http.Handler, refuses func() bool) (heard func() time.Time, end func()) {
	l := make(pipes)
	server := &http.Server{Handler: h}
	var at atomic.Int64
	version := int64(41)
	o.Addr, o.Version, o.Log = "127.0.0.1:1", &version, slog.New(slog.DiscardHandler)
	o.OnUpdate = func(m EndpointList) {
		if *m.Version == 42 {
			at.CompareAndSwap(0, time.Now().UnixNano())
		}
	}
	d := New(o)
	d.Subscribe()
	d.client.Transport = &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		if refuses() {
			return nil, syscall.ECONNREFUSED
		}
		here, there := net.Pipe()
		l <- there
		return here, nil
	}}
	ctx, cancel := context.WithCancel(t.Context())
	served, ran := make(chan bool), make(chan bool)
	go func() { server.Serve(l); close(served) }()
	go func() { d.Run(ctx); close(ran) }()
	return func() time.Time { return time.Unix(0, at.Load()) }, func() {
		cancel()
		<-ran
		close(l)
		server.Close()
		<-served
	}
}

// What the agent has counts as told whether or not a watch is open, and sends have to end a grace later. So however a watch fell
// silent, or discovery was down, a drain is heard of well within the grace, in the time of the settings; a watch that has been silent
// for 6 s counts as one that has told.
func TestADrainIsHeardOfWithinItsBound(t *testing.T) {
	for _, grace := range []time.Duration{0, 800 * time.Millisecond, 2 * time.Second} {
		whole := grace
		if whole == 0 {
			whole = defaultGrace
		}
		for name, row := range map[string]struct {
			agent  *agent
			drains func(a *agent) time.Time // brings the drain about, and gives when it counts as told
		}{
			"a watch that is well": {agent: &agent{}, drains: func(a *agent) time.Time {
				time.Sleep(7 * time.Second)
				a.drain.Store(true)
				return time.Now()
			}},
			"silent from its first byte": {agent: &agent{opens: func(int32, http.ResponseWriter) {}}, drains: func(a *agent) time.Time {
				a.drain.Store(true)
				return time.Now().Add(6*time.Second - whole)
			}},
			"silent within its first line": {agent: &agent{opens: func(n int32, w http.ResponseWriter) {
				if n == 1 {
					w.Write([]byte(drains[:30]))
				}
			}}, drains: func(a *agent) time.Time {
				a.drain.Store(true)
				return time.Now().Add(6*time.Second - whole)
			}},
			"silent behind a line": {agent: &agent{opens: func(n int32, w http.ResponseWriter) {
				if n == 1 {
					w.Write([]byte(members(41, false) + "\n"))
				}
			}}, drains: func(a *agent) time.Time {
				a.drain.Store(true)
				return time.Now().Add(6*time.Second - whole)
			}},
			"discovery down for long, calls hang": {agent: &agent{}, drains: func(a *agent) time.Time {
				time.Sleep(3 * time.Second)
				a.down.Store(true)
				time.Sleep(8 * time.Second)
				a.drain.Store(true)
				a.down.Store(false)
				return time.Now()
			}},
			"discovery down for long, connections refused": {agent: &agent{refuses: true}, drains: func(a *agent) time.Time {
				a.down.Store(true)
				time.Sleep(9 * time.Second)
				a.drain.Store(true)
				a.down.Store(false)
				return time.Now()
			}},
			"discovery down for some seconds": {agent: &agent{}, drains: func(a *agent) time.Time {
				time.Sleep(1900 * time.Millisecond) // right before a line is due
				a.down.Store(true)
				time.Sleep(2 * time.Second)
				a.drain.Store(true)
				a.down.Store(false)
				return time.Now()
			}},
		} {
			t.Run(name+" "+grace.String(), func(t *testing.T) {
				for range 20 { // gaps are drawn
					synctest.Test(t, func(t *testing.T) {
						a := &agent{refuses: row.agent.refuses, opens: row.agent.opens}
						heard, end := followIn(t, grace, a)
						told := row.drains(a)
						time.Sleep(20 * time.Second)
						end()
						if late := heard().Sub(told); late > whole || heard().Unix() == 0 {
							t.Errorf("heard of %v after it counted as told", late)
						}
					})
				}
			})
		}
	}
}

// service is discovery where all instances ask one service: it answers one call after the other, takes a while for each, and turns calls
// away while as many wait as it has places. Until it has fallen silent, a watch is opened at once and stays well.
type service struct {
	silent  chan struct{} // closed: open watches bring nothing any more
	lane    chan struct{} // of one place: held by the call that is being answered
	waiting atomic.Int32
}

const (
	servicePlaces = 8 // the last one waits for 2 s
	serviceTakes  = 250 * time.Millisecond
	serviceRefuse = 35 * time.Millisecond
)

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-s.silent:
	default:
		beats(w, r, s.silent)
		<-r.Context().Done()
		return
	}
	if s.waiting.Add(1) > servicePlaces {
		s.waiting.Add(-1)
		time.Sleep(serviceRefuse)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.lane <- struct{}{}
	time.Sleep(serviceTakes) // also for a call that was given up meanwhile
	<-s.lane
	s.waiting.Add(-1)
	w.Write([]byte(drains + "\n"))
	beats(w, r, nil)
}

// beats writes empty lines, the first at once, until the caller leaves or stop is closed.
func beats(w http.ResponseWriter, r *http.Request, stop <-chan struct{}) {
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for {
		w.Write([]byte("\n"))
		w.(http.Flusher).Flush()
		select {
		case <-stop:
			return
		case <-r.Context().Done():
			return
		case <-beat.C:
		}
	}
}

// Where lists are asked for, all instances lose their watches together and ask one service anew. What they ask must not keep it from
// answering: each of them hears of a drain within 6 s of the silence and the grace.
func TestInstancesThatAskOneServiceLeaveItTimeToAnswer(t *testing.T) {
	const instances, bound = 13, 6*time.Second + defaultGrace
	for range 20 { // gaps are drawn
		synctest.Test(t, func(t *testing.T) {
			s := &service{silent: make(chan struct{}), lane: make(chan struct{}, 1)}
			var heard []func() time.Time
			var ends []func()
			for range instances {
				h, end := followHandler(t, Options{WaitForSubscribe: true}, s, func() bool { return false })
				heard, ends = append(heard, h), append(ends, end)
			}
			time.Sleep(5 * time.Second)
			silent := time.Now()
			close(s.silent)
			time.Sleep(20 * time.Second)
			for _, end := range ends {
				end()
			}
			time.Sleep(3 * time.Second) // calls that were given up are answered to their end
			for i, h := range heard {
				if late := h().Sub(silent); late > bound || h().Unix() == 0 {
					t.Errorf("instance %d heard of a drain %v after its watch fell silent", i, late)
				}
			}
		})
	}
}
