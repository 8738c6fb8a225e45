package watch

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"rowancart/internal/platform"
)

// The tests of this file run in synctest bubbles and measure the time until a client is notified of
// a drain.

// drainObserver is a running client that records when it was notified of the drain.
type drainObserver struct {
	notified atomic.Int64 // Unix time in ns; 0: not yet
	stop     func()       // ends the client and the discovery server
}

func (o *drainObserver) notifiedAt() time.Time { return time.Unix(0, o.notified.Load()) }

// wasNotifiedBy reports whether the client was notified by the deadline.
func (o *drainObserver) wasNotifiedBy(deadline time.Time) bool {
	return o.notified.Load() != 0 && !o.notifiedAt().After(deadline)
}

// observeDrain starts a discovery server with the handler discovery, and a client connected to it
// through in-memory connections. Connections are refused while refuses returns true.
func observeDrain(t *testing.T, options Options, discovery http.Handler, refuses func() bool) *drainObserver {
	observer := &drainObserver{}
	options.Addr = "127.0.0.1:1"
	options.Known = knownAt(options.Addr, 41)
	options.Log = slog.New(slog.DiscardHandler)
	options.OnUpdate = func(list platform.EndpointList) {
		if *list.Version == 42 {
			observer.notified.CompareAndSwap(0, time.Now().UnixNano())
		}
	}
	listener := make(pipeListener)
	client := New(options)
	client.Subscribe()
	client.httpClient.Transport = &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if refuses() {
				return nil, syscall.ECONNREFUSED
			}
			clientSide, serverSide := net.Pipe()
			listener <- serverSide
			return clientSide, nil
		},
	}
	server := &http.Server{Handler: discovery}
	ctx, cancel := context.WithCancel(t.Context())
	serverDone, clientDone := make(chan struct{}), make(chan struct{})
	go func() { server.Serve(listener); close(serverDone) }()
	go func() { client.Run(ctx); close(clientDone) }()
	observer.stop = func() {
		cancel()
		<-clientDone
		close(listener)
		server.Close()
		<-serverDone
	}
	return observer
}

// pipeListener is a net.Listener of in-memory connections.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// agent is a fake discovery agent on the client's machine.
type agent struct {
	refusesWhenDown bool // refuses connections while it is down; if false, accepts them without a response
	// firstWatch writes the beginning of the first watch, which then stalls; nil: no watch stalls.
	firstWatch func(w http.ResponseWriter)
	down       atomic.Bool
	draining   atomic.Bool
	watches    atomic.Int32
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	watch := a.watches.Add(1)
	if a.down.Load() {
		<-r.Context().Done()
		return
	}
	if a.firstWatch != nil {
		if watch == 1 {
			a.firstWatch(w)
		}
		w.(http.Flusher).Flush()
		if watch == 1 {
			<-r.Context().Done()
			return
		}
	}
	a.serveWatch(w, r)
}

// serveWatch checks every 100 ms whether there is a drain to report, and writes an empty line every
// 2 s.
func (a *agent) serveWatch(w http.ResponseWriter, r *http.Request) {
	reported := false
	for tick := 0; !a.down.Load(); tick++ {
		switch {
		case a.draining.Load() && !reported:
			reported = true
			w.Write([]byte(drainMessage + "\n"))
		case tick%20 == 0:
			w.Write([]byte("\n"))
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
	<-r.Context().Done()
}

// drainCase is a state of the agent and its watches in which an endpoint begins to drain.
type drainCase struct {
	agent func() *agent
	// drain starts the drain and returns the instant at which the drain grace begins. It is passed
	// the length of the grace.
	drain func(a *agent, grace time.Duration) time.Time
}

// drainOnStalledWatch is a drain that the first watch does not deliver, because it stalls after the
// given beginning. The platform treats a watch that has been stalled for 6 s as having delivered
// the drain. This case is stricter: the drain grace ends, rather than begins, 6 s after the drain.
func drainOnStalledWatch(beginning string) drainCase {
	const bound = 6 * time.Second
	return drainCase{
		agent: func() *agent {
			return &agent{firstWatch: func(w http.ResponseWriter) { w.Write([]byte(beginning)) }}
		},
		drain: func(a *agent, grace time.Duration) time.Time {
			a.draining.Store(true)
			return time.Now().Add(bound - grace)
		},
	}
}

// drainAtOutage is a drain that begins when an outage of the agent ends. The outage starts after
// delay and lasts for length.
func drainAtOutage(newAgent func() *agent, delay, length time.Duration) drainCase {
	return drainCase{newAgent, func(a *agent, _ time.Duration) time.Time {
		time.Sleep(delay)
		a.down.Store(true)
		time.Sleep(length)
		a.draining.Store(true)
		a.down.Store(false)
		return time.Now()
	}}
}

func drainCases() map[string]drainCase {
	hanging := func() *agent { return &agent{} }
	refusing := func() *agent { return &agent{refusesWhenDown: true} }
	return map[string]drainCase{
		"a healthy watch": {hanging, func(a *agent, _ time.Duration) time.Time {
			time.Sleep(7 * time.Second)
			a.draining.Store(true)
			return time.Now()
		}},
		"stalled from its first byte":                  drainOnStalledWatch(""),
		"stalled within its first line":                drainOnStalledWatch(drainMessage[:30]),
		"stalled after a line":                         drainOnStalledWatch(changes(41) + "\n"),
		"discovery down for long, calls hang":          drainAtOutage(hanging, 3*time.Second, 8*time.Second),
		"discovery down for long, connections refused": drainAtOutage(refusing, 0, 9*time.Second),
		// The outage begins just before the next empty line is due.
		"discovery down for some seconds": drainAtOutage(hanging, 1900*time.Millisecond, 2*time.Second),
	}
}

// The platform considers an instance notified as soon as the agent has the change, whether or not a
// watch is open, and no request may be sent later than the drain grace after that. However a watch
// stalls, and however long discovery is down, the client must be notified within the grace.
func TestClientIsNotifiedOfDrainWithinGrace(t *testing.T) {
	for _, setting := range []time.Duration{0, 800 * time.Millisecond, 2 * time.Second} {
		grace := setting
		if grace == 0 {
			grace = defaultDrainGrace
		}
		for name, test := range drainCases() {
			t.Run(name+" "+setting.String(), func(t *testing.T) {
				for range 20 { // the jitter of backoffs is random
					synctest.Test(t, func(t *testing.T) {
						a := test.agent()
						observer := observeDrain(t, Options{DrainGrace: setting}, a,
							func() bool { return a.refusesWhenDown && a.down.Load() })
						graceBegins := test.drain(a, grace)
						time.Sleep(20 * time.Second)
						observer.stop()
						if !observer.wasNotifiedBy(graceBegins.Add(grace)) {
							t.Errorf("notified %v after the drain grace of %v began", observer.notifiedAt().Sub(graceBegins), grace)
						}
					})
				}
			})
		}
	}
}
