package sidecar

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rowancart/internal/hotrestart"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
)

// disconnectPrefix is the prefix of the ids of clients that disconnect.
const disconnectPrefix = "disconnects"

// waitCase is a sidecar in which requests wait for something, such as capacity or a connection.
type waitCase struct {
	*testSidecar
	endpoint       *blockingEndpoint // receives the requests once the wait ends
	request        string            // the request that waits; empty: lookRequest
	othersInFlight int               // requests in flight that do not wait
	disconnects    []string          // keys of the map disconnects to test; none: all
	whileWaiting   func(t *testing.T, waiting int)
	endWait        func(t *testing.T)
}

// waitForCapacity returns a case in which requests wait for capacity at the only endpoint.
func waitForCapacity(t *testing.T, o testOptions) waitCase {
	e := startBlockingEndpoint(t)
	o.settings = cmp.Or(o.settings, longWaitSettings())
	o.endpoints = listedAll(e)
	s := o.start(t)
	for i := range initialCapacity {
		s.connectAndSend(t, fmt.Sprint("hang", i), lookRequest)
	}
	s.waitForInFlight(t, initialCapacity)
	return waitCase{
		testSidecar:    s,
		endpoint:       e,
		othersInFlight: initialCapacity,
		endWait:        func(*testing.T) { close(e.release) },
	}
}

// waitForCapacityWithoutCancel is like waitForCapacity, but attempts must not be canceled.
func waitForCapacityWithoutCancel(t *testing.T) waitCase {
	return waitForCapacity(t, testOptions{settings: noCancelSettings()})
}

// waitForConnection returns a case in which requests wait until a connection to endpoint z is
// established. The addresses in before are those of further endpoints, whose ids precede z.
func waitForConnection(t *testing.T, settings *platform.SettingsObject, before ...string) waitCase {
	e := newFullBacklogEndpoint(t)
	o := testOptions{
		settings:  settings,
		endpoints: []platform.Endpoint{listed("z", e.addr(), platform.StateReady)},
	}
	for i, addr := range before {
		o.endpoints = append(o.endpoints, listed(fmt.Sprint("a", i), addr, platform.StateReady))
	}
	return waitCase{testSidecar: o.start(t), endpoint: e, endWait: func(*testing.T) { e.startAccepting() }}
}

// waitForRetryConnection returns a case in which retries wait for a connection, after another
// endpoint has refused the connection of the first attempt.
func waitForRetryConnection(t *testing.T) waitCase {
	refusing := newBlockingEndpoint(t)
	refusing.Close()
	return waitForConnection(t, longWaitSettings(), refusing.addr())
}

// waitForCapacityWithBody is like waitForCapacity, but the body of the request is incomplete.
func waitForCapacityWithBody(t *testing.T) waitCase {
	w := waitForCapacity(t, testOptions{limits: platform.ConfigLimits{MemoryMB: 32}})
	w.request = partialUpload
	w.disconnects = []string{"fin", "rst", "half-close"} // further bytes would be the rest of the body
	return w
}

// waitForFirstList returns a case in which requests wait until the endpoint list, which is empty at
// first, contains an endpoint.
func waitForFirstList(t *testing.T) waitCase {
	e := startBlockingEndpoint(t)
	s := startLongWaitSidecar(t)
	return waitCase{testSidecar: s, endpoint: e, endWait: func(t *testing.T) {
		s.updateEndpoints(t, completeList(2, listedAll(e)...))
	}}
}

// waitForRetry returns a case in which requests wait for an endpoint for their retry: the first
// endpoint has failed and is draining, and the second is in slow start.
func waitForRetry(t *testing.T) waitCase {
	first := startBlockingEndpoint(t)
	second := startBlockingEndpoint(t)
	first.blockPrefix = ""
	first.closeUnanswered = true
	s := startLongWaitSidecar(t, first)
	return waitCase{
		testSidecar: s,
		endpoint:    second,
		disconnects: []string{"fin", "rst", "fin after bytes"}, // the retry budget allows no more
		whileWaiting: func(t *testing.T, waiting int) {
			waitUntil(t, "all requests are at the first endpoint", func() bool { return len(first.startedIDs()) == waiting })
			cold := listed("cold", second.addr(), platform.StateReady)
			cold.StartedMs = time.Now().UnixMilli()
			s.updateEndpoints(t, completeList(2, listed("a", first.addr(), platform.StateDraining), cold))
			close(first.release)
			waitUntil(t, "all requests have failed there", func() bool {
				return !slices.ContainsFunc(s.pool.Endpoints(), func(e proxy.EndpointStatus) bool {
					return e.InFlight > 0
				})
			})
		},
		endWait: func(t *testing.T) {
			s.updateEndpoints(t, changes(3, listed("warm", second.addr(), platform.StateReady)))
		},
	}
}

// waitForCapacityDuringShutdown is like waitForCapacity, but SIGTERM arrives during the wait.
func waitForCapacityDuringShutdown(t *testing.T) waitCase {
	w := waitForCapacity(t, testOptions{})
	w.whileWaiting = func(*testing.T, int) { w.terminate() }
	return w
}

// waitForCapacityWhileSuperseded is like waitForCapacity, but a successor begins to serve during
// the wait.
func waitForCapacityWhileSuperseded(t *testing.T) waitCase {
	dir := t.TempDir()
	w := waitForCapacity(t, testOptions{sharedDir: dir})
	w.whileWaiting = func(t *testing.T, _ int) {
		sharedDir, err := hotrestart.OpenSharedDir(dir, "")
		if err != nil {
			t.Fatal(err)
		}
		successor, err := sharedDir.Register(time.Now())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(successor.Unregister)
		if err := successor.MarkServing(); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the sidecar is superseded", w.handover.isSuperseded)
	}
	return w
}

// waitCases are all the cases in which a request can wait, by what it waits for.
var waitCases = map[string]func(t *testing.T) waitCase{
	"capacity":                          func(t *testing.T) waitCase { return waitForCapacity(t, testOptions{}) },
	"capacity, no cancellation":         waitForCapacityWithoutCancel,
	"capacity, with an incomplete body": waitForCapacityWithBody,
	"capacity, after SIGTERM":           waitForCapacityDuringShutdown,
	"capacity, while superseded":        waitForCapacityWhileSuperseded,
	"a connection":                      func(t *testing.T) waitCase { return waitForConnection(t, longWaitSettings()) },
	"a connection, no cancellation":     func(t *testing.T) waitCase { return waitForConnection(t, noCancelSettings()) },
	"the connection of a retry":         waitForRetryConnection,
	"the first list":                    waitForFirstList,
	"a retry":                           waitForRetry,
}

// If a client disconnects while its request waits, the request must not be forwarded when the wait
// ends, regardless of what it waits for. The request of a client that stays connected must be
// forwarded, even if the client has sent further pipelined bytes.
func TestNothingIsForwardedAfterClientDisconnect(t *testing.T) {
	for name, startWait := range waitCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startWait(t)
			var disconnectAll []func()
			for way, disconnect := range disconnects {
				if len(w.disconnects) > 0 && !slices.Contains(w.disconnects, way) {
					continue
				}
				c := w.connectAndSend(t, disconnectPrefix+" by "+way, cmp.Or(w.request, lookRequest))
				disconnectAll = append(disconnectAll, func() { disconnect(c) })
			}
			stays := w.connectAndSend(t, "stays", lookRequest+pipelinedRequest)
			waiting := len(disconnectAll) + 1
			w.waitForInFlight(t, w.othersInFlight+waiting)
			if w.whileWaiting != nil {
				w.whileWaiting(t, waiting)
			}
			for _, disconnect := range disconnectAll {
				disconnect()
			}
			w.waitForInFlight(t, w.othersInFlight+1) // the sidecar has noticed all disconnects
			w.endWait(t)
			stays.requireOK(t)
			w.waitForInFlight(t, 0)
			w.endpoint.requireNoneFrom(t, disconnectPrefix)
		})
	}
}

// During a process handover, or while the connection limit is reached, a connection may stay in the
// kernel's accept queue for a long time. If its client sends a request and disconnects meanwhile,
// the request must not be forwarded.
func TestNothingIsForwardedAfterDisconnectBeforeAccept(t *testing.T) {
	e := startBlockingEndpoint(t)
	s := startLongWaitSidecar(t, e)
	s.listener.Pause()
	for way, disconnect := range disconnects {
		disconnect(s.connectAndSend(t, disconnectPrefix+" by "+way, lookRequest))
	}
	stays := s.connectAndSend(t, "stays", lookRequest+pipelinedRequest)
	s.listener.Resume()
	stays.requireOK(t)
	waitUntil(t, "the other connections are closed", func() bool { open, _ := s.listener.Counts(); return open == 1 })
	e.requireNoneFrom(t, disconnectPrefix)
}

// A client disconnects while its body, buffered or still being received, is being written to an
// endpoint that does not read it. The end of that body must not be written to any endpoint, since
// the request would then run. The body of a client that stays connected is written completely.
func TestBodyIsNotCompletedAfterClientDisconnect(t *testing.T) {
	for name, c := range map[string]bodyDisconnectCase{
		"buffered":       {limits: platform.ConfigLimits{MemoryMB: 512}, sentBeforeDisconnect: bodyDisconnectSize},
		"being received": {limits: platform.ConfigLimits{MemoryMB: 32}, sentBeforeDisconnect: 1 << 20},
	} {
		for _, way := range []string{"fin", "rst"} {
			t.Run(name+" "+way, func(t *testing.T) { t.Parallel(); c.runDisconnected(t, disconnects[way]) })
		}
		t.Run(name+" stays", func(t *testing.T) { t.Parallel(); c.runConnected(t) })
	}
}

// bodyDisconnectSize is the length of a body that does not fit into the kernel's buffers on both
// sides.
const bodyDisconnectSize = 12 << 20

// bodyDisconnectCase is one case of TestBodyIsNotCompletedAfterClientDisconnect.
type bodyDisconnectCase struct {
	limits               platform.ConfigLimits
	sentBeforeDisconnect int // bytes of the body
}

// runDisconnected tests a client that disconnects while its body is being written.
func (c bodyDisconnectCase) runDisconnected(t *testing.T, disconnect func(*testClient)) {
	u := c.startUpload(t, c.sentBeforeDisconnect)
	<-u.sent
	disconnect(u.client)
	u.waitForInFlight(t, 0)
	for _, e := range u.endpoints {
		close(e.release)
	}
	u.waitForInFlight(t, 0)
	u.requireUploads(t, 0)
}

// runConnected tests a client that stays connected until its request is served.
func (c bodyDisconnectCase) runConnected(t *testing.T) {
	u := c.startUpload(t, bodyDisconnectSize)
	for _, e := range u.endpoints {
		close(e.release)
	}
	u.client.requireOK(t)
	<-u.sent
	u.waitForInFlight(t, 0)
	u.requireUploads(t, 1)
}

// pendingUpload is an upload that the sidecar is writing to one of two endpoints.
type pendingUpload struct {
	*testSidecar
	client    *testClient
	sent      chan bool // closed once the client has sent its part of the body
	endpoints []*blockingEndpoint
}

// startUpload starts an upload, of whose body the client sends the given number of bytes, and waits
// until it is being written to one of the endpoints.
func (c bodyDisconnectCase) startUpload(t *testing.T, bytes int) pendingUpload {
	first := startBlockingEndpoint(t)
	second := startBlockingEndpoint(t)
	s := testOptions{
		limits:    c.limits,
		settings:  longWaitSettings(),
		endpoints: listedAll(first, second),
	}.start(t)
	u := pendingUpload{
		testSidecar: s,
		client:      s.connectAndSend(t, "hang", uploadHead(bodyDisconnectSize)),
		sent:        make(chan bool),
		endpoints:   []*blockingEndpoint{first, second},
	}
	go func() {
		io.WriteString(u.client, strings.Repeat("x", bytes))
		close(u.sent)
	}()
	waitUntil(t, "the upload is being written to an endpoint", func() bool {
		return len(first.startedIDs())+len(second.startedIDs()) == 1
	})
	return u
}

// requireUploads checks that one upload was started in total, that wantCompleted uploads were
// completed, and that no more than wantCompleted connections to endpoints stay open.
func (u pendingUpload) requireUploads(t *testing.T, wantCompleted int) {
	t.Helper()
	waitUntil(t, "connections to endpoints are closed", func() bool { return u.pool.Stats().Connections <= wantCompleted })
	var started, completed int
	for _, e := range u.endpoints {
		n, complete := e.counts()
		started += n
		completed += complete
	}
	if started != 1 || completed != wantCompleted {
		t.Errorf("the upload was started %d times and completed %d times, want 1 and %d", started, completed, wantCompleted)
	}
}

// An endpoint closes an idle connection just when a request has been written to it. An idempotent
// request must be retried. A non-idempotent one must not be, since it may have run.
func TestIdleEndpointConnectionClosedDuringRequest(t *testing.T) {
	for _, c := range []struct {
		method, path      string
		want              int   // status
		conns, deliveries int32 // that the endpoint sees, including those of the first request
	}{
		{http.MethodGet, "/look", http.StatusOK, 2, 3},
		{http.MethodPost, "/pay", http.StatusBadGateway, 1, 2},
	} {
		var closed atomic.Int32
		e := newEndpoint(t, func(conn net.Conn, r *http.Request, _ int) bool {
			if r.Header.Get(platform.RequestIDHeader) == "second" && closed.Add(1) == 1 {
				conn.(*net.TCPConn).SetLinger(0)
				return false
			}
			io.WriteString(conn, okResponse)
			return true
		})
		s := startSidecar(t, e.Addr)
		if status := sendRequest(t, s.newRequest(t, c.method, c.path, "first", 10000)).status; status != http.StatusOK {
			t.Fatalf("the first request to %s gets status %d, want 200", c.path, status)
		}
		quarantineEnd := time.Now().Add(responseQuarantine)
		waitUntil(t, "the quarantine is over", func() bool { return time.Now().After(quarantineEnd) })
		if status := sendRequest(t, s.newRequest(t, c.method, c.path, "second", 10000)).status; status != c.want {
			t.Errorf("the second request to %s gets status %d", c.path, status)
		}
		if conns, deliveries := e.Connections.Load(), e.Requests.Load(); conns != c.conns || deliveries != c.deliveries {
			t.Errorf("%s: the endpoint received %d requests on %d connections", c.path, deliveries, conns)
		}
	}
}
