package sidecar

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/hotrestart"
	"rowancart/internal/proxy"
)

// longWaitSettings let requests wait for as long as a test takes.
const longWaitSettings = `{"Lanes":[{"Name":"look","Semantics":"read_like","OnTimeUs":60000000},
	{"Name":"pay","Semantics":"non_idempotent","OnTimeUs":60000000}],
	"Permissions":{"MayCancel":%v,"TryLimit":4,"DialTimeoutUs":15000000},
	"Rules":{"ColdUs":60000000,"ColdFrom":0.1,"ColdShare":0.000001}}`

// initialCapacity is how many requests fill one endpoint for one sidecar before anything is known.
const initialCapacity = 6

// blockingEndpoint is an endpoint that notes each request from its head on. Those whose names begin so wait for release.
type blockingEndpoint struct {
	net.Listener
	blockPrefix     string
	closeUnanswered bool // then it does not answer these
	release         chan bool

	mu        sync.Mutex
	started   []string
	completed []string // those that came whole
}

func newBlockingEndpoint(t *testing.T, l net.Listener) *blockingEndpoint {
	t.Helper()
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	b := &blockingEndpoint{Listener: l, blockPrefix: "hang", release: make(chan bool)}
	t.Cleanup(func() { l.Close() })
	return b
}

func (e *blockingEndpoint) addr() string { return e.Addr().String() }

// accept begins to accept.
func (e *blockingEndpoint) accept() *blockingEndpoint {
	go func() {
		for {
			nc, err := e.Accept()
			if err != nil {
				return
			}
			go e.serve(nc)
		}
	}()
	return e
}

func (e *blockingEndpoint) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("Req-Id")
		e.mu.Lock()
		e.started = append(e.started, id)
		e.mu.Unlock()
		hangs := strings.HasPrefix(id, e.blockPrefix)
		if hangs {
			<-e.release
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		e.mu.Lock()
		e.completed = append(e.completed, id)
		e.mu.Unlock()
		if hangs && e.closeUnanswered {
			return
		}
		io.WriteString(nc, okResponse)
	}
}

// startedIDs gives the ids of the requests of which anything has come.
func (e *blockingEndpoint) startedIDs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.started)
}

// testClient is a client's connection.
type testClient struct {
	*net.TCPConn
	id string
}

// connectAndSend sends text on a new connection, ID in it standing for the caller's own.
func (s *testSidecar) connectAndSend(t *testing.T, id, text string) *testClient {
	t.Helper()
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testTimeout)) // a bound, not a verdict
	if _, err := io.WriteString(nc, strings.ReplaceAll(text, "ID", id)); err != nil {
		t.Fatal(err)
	}
	return &testClient{nc.(*net.TCPConn), id}
}

// readResponse reads one.
func (c *testClient) readResponse(t *testing.T) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("%s has no answer: %v", c.id, err)
		return &http.Response{}
	}
	return resp
}

func (c *testClient) requireOK(t *testing.T) {
	t.Helper()
	if resp := c.readResponse(t); resp.StatusCode != http.StatusOK {
		t.Errorf("%s, which stays, is answered %d", c.id, resp.StatusCode)
	}
}

const (
	lookRequest      = "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 600000\r\n\r\n"
	pipelinedRequest = "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: ID-next\r\nReq-Deadline-Ms: 600000\r\n\r\n"
)

// partialUpload is a request whose body is still coming: some of it stands unread while the request waits.
var partialUpload = "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 600000\r\nContent-Length: 8388608\r\n\r\n" +
	strings.Repeat("x", 64<<10+10<<10)

// payRequest is a request that must not run twice.
const payRequest = "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 600000\r\nContent-Length: 2\r\n\r\nhi"

// disconnects are the ways in which a client leaves.
var disconnects = map[string]func(c *testClient){
	"fin":              func(c *testClient) { c.Close() },
	"rst":              func(c *testClient) { c.SetLinger(0); c.Close() },
	"half":             func(c *testClient) { c.CloseWrite() },
	"fin behind bytes": func(c *testClient) { io.WriteString(c, strings.ReplaceAll(pipelinedRequest, "ID", c.id)); c.Close() },
	"rst behind bytes": func(c *testClient) {
		io.WriteString(c, strings.ReplaceAll(pipelinedRequest, "ID", c.id))
		c.SetLinger(0)
		c.Close()
	},
}

// waitForInFlight waits for a number of requests that the module has heard of and that are not done with. The console's figure runs ahead
// of that: a request counts there from the moment at which it is read.
func (s *testSidecar) waitForInFlight(t *testing.T, want int) {
	t.Helper()
	waitUntil(t, fmt.Sprint(want, " requests are under way"), func() bool { return s.pool.Stats().Calls == want })
}

// waitCase is something that requests wait for.
type waitCase struct {
	*testSidecar
	endpoint       *blockingEndpoint
	request        string   // of the requests; empty: look
	othersInFlight int      // requests under way beside them
	disconnects    []string // of leaving; none: all
	whileWaiting   func(t *testing.T, waiting int)
	endWait        func(t *testing.T) // ends it
}

// waitForCapacity is a wait for room at one endpoint.
func waitForCapacity(t *testing.T, u testOptions, mayCancel bool) waitCase {
	b := newBlockingEndpoint(t, nil).accept()
	u.settings, u.endpoints = fmt.Sprintf(longWaitSettings, mayCancel), []string{endpointJSON("a", b.addr(), "Ready")}
	s := u.start(t)
	for i := range initialCapacity {
		s.connectAndSend(t, fmt.Sprint("hang", i), lookRequest)
	}
	s.waitForInFlight(t, initialCapacity)
	return waitCase{testSidecar: s, endpoint: b, othersInFlight: initialCapacity, endWait: func(*testing.T) { close(b.release) }}
}

// waitForConnection is a wait for a connection to come up, at the last of the endpoints.
func waitForConnection(t *testing.T, mayCancel bool, before ...string) waitCase {
	b := newFullBacklogEndpoint(t)
	u := testOptions{settings: fmt.Sprintf(longWaitSettings, mayCancel), endpoints: []string{endpointJSON("z", b.addr(), "Ready")}}
	for i, addr := range before {
		u.endpoints = append(u.endpoints, endpointJSON(fmt.Sprint("a", i), addr, "Ready"))
	}
	return waitCase{testSidecar: u.start(t), endpoint: b, endWait: func(*testing.T) { b.accept() }}
}

// waitCases are all that a request may wait for.
var waitCases = map[string]func(t *testing.T) waitCase{
	"room":                                  func(t *testing.T) waitCase { return waitForCapacity(t, testOptions{}, true) },
	"room, where nothing may be called off": func(t *testing.T) waitCase { return waitForCapacity(t, testOptions{}, false) },
	"a connection":                          func(t *testing.T) waitCase { return waitForConnection(t, true) },
	"a connection, nothing may be called off": func(t *testing.T) waitCase { return waitForConnection(t, false) },
	"the connection of a resend": func(t *testing.T) waitCase {
		refuses := newBlockingEndpoint(t, nil)
		refuses.Close()
		return waitForConnection(t, true, refuses.addr())
	},
	"room, the body still coming and not read": func(t *testing.T) waitCase {
		w := waitForCapacity(t, testOptions{limits: `{"memory_mb":32}`}, true)
		w.request, w.disconnects = partialUpload, []string{"fin", "rst", "half"} // the rest of the body stands before its end in any case
		return w
	},
	"the first list": func(t *testing.T) waitCase {
		b := newBlockingEndpoint(t, nil).accept()
		s := testOptions{settings: fmt.Sprintf(longWaitSettings, true)}.start(t)
		return waitCase{testSidecar: s, endpoint: b, endWait: func(t *testing.T) {
			s.updateEndpoints(t, endpointListJSON(2, true, endpointJSON("a", b.addr(), "Ready")))
		}}
	},
	"a resend": func(t *testing.T) waitCase {
		a, b := newBlockingEndpoint(t, nil).accept(), newBlockingEndpoint(t, nil).accept()
		a.blockPrefix, a.closeUnanswered = "", true
		s := testOptions{settings: fmt.Sprintf(longWaitSettings, true), endpoints: []string{endpointJSON("a", a.addr(), "Ready")}}.start(t)
		return waitCase{testSidecar: s, endpoint: b, disconnects: []string{"fin", "rst", "fin behind bytes"}, // no more than the budget of resends allows
			whileWaiting: func(t *testing.T, waiting int) {
				waitUntil(t, "all are at the first endpoint", func() bool { return len(a.startedIDs()) == waiting })
				cold := strings.Replace(endpointJSON("cold", b.addr(), "Ready"), `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, time.Now().UnixMilli()), 1)
				s.updateEndpoints(t, endpointListJSON(2, true, endpointJSON("a", a.addr(), "Terminating"), cold))
				close(a.release)
				waitUntil(t, "all have failed there", func() bool {
					return !slices.ContainsFunc(s.pool.Endpoints(), func(e proxy.EndpointStatus) bool { return e.InFlight > 0 })
				})
			},
			endWait: func(t *testing.T) {
				s.updateEndpoints(t, endpointListJSON(3, false, endpointJSON("warm", b.addr(), "Ready")))
			}}
	},
	"room, SIGTERM has come": func(t *testing.T) waitCase {
		w := waitForCapacity(t, testOptions{}, true)
		w.whileWaiting = func(*testing.T, int) { w.terminate() }
		return w
	},
	"room, a successor serves": func(t *testing.T) waitCase {
		temp := t.TempDir()
		w := waitForCapacity(t, testOptions{sharedDir: temp}, true)
		w.whileWaiting = func(t *testing.T, _ int) {
			folder, err := hotrestart.OpenSharedDir(temp, "")
			if err != nil {
				t.Fatal(err)
			}
			successor, err := folder.Register(time.Now())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(successor.Unregister)
			if err := successor.MarkServing(); err != nil {
				t.Fatal(err)
			}
			waitUntil(t, "the successor is seen", w.handover.isSuperseded)
		}
		return w
	},
}

// Whatever a request waits for when its client leaves: nothing is sent for it any more, though the wait ends. Nor is a client that
// stays taken for gone, also one that has sent bytes ahead.
func TestNothingIsForwardedAfterClientDisconnect(t *testing.T) {
	for name, begin := range waitCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := begin(t)
			var leave []func()
			for way, does := range disconnects {
				if len(w.disconnects) > 0 && !slices.Contains(w.disconnects, way) {
					continue
				}
				c := w.connectAndSend(t, "leaves by "+way, cmp.Or(w.request, lookRequest))
				leave = append(leave, func() { does(c) })
			}
			stays := w.connectAndSend(t, "stays", lookRequest+pipelinedRequest)
			w.waitForInFlight(t, w.othersInFlight+len(leave)+1)
			if w.whileWaiting != nil {
				w.whileWaiting(t, len(leave)+1)
			}
			for _, does := range leave {
				does()
			}
			w.waitForInFlight(t, w.othersInFlight+1) // all have been looked at, the one that stays as well
			w.endWait(t)
			stays.requireOK(t)
			w.waitForInFlight(t, 0)
			for _, id := range w.endpoint.startedIDs() {
				if strings.HasPrefix(id, "leaves") {
					t.Errorf("the request that %s was sent on", id)
				}
			}
		})
	}
}

// A connection may stand in the kernel's queue for long, while another process takes over or all places are taken, with its request
// written and its client gone.
func TestNothingIsForwardedAfterDisconnectBeforeAccept(t *testing.T) {
	b := newBlockingEndpoint(t, nil).accept()
	s := testOptions{settings: fmt.Sprintf(longWaitSettings, true), endpoints: []string{endpointJSON("a", b.addr(), "Ready")}}.start(t)
	s.listener.Pause()
	for way, leave := range disconnects {
		leave(s.connectAndSend(t, "leaves by "+way, lookRequest))
	}
	stays := s.connectAndSend(t, "stays", lookRequest+pipelinedRequest)
	s.listener.Resume()
	stays.requireOK(t)
	waitUntil(t, "all are done with", func() bool { open, _ := s.listener.Counts(); return open == 1 })
	for _, id := range b.startedIDs() {
		if strings.HasPrefix(id, "leaves") {
			t.Errorf("the request that %s was sent on", id)
		}
	}
}

// A body is being written, kept whole or still coming, to an endpoint that reads none of it when its client leaves: its end never goes
// out, there or elsewhere. That of a client that stays does.
func TestBodyIsNotCompletedAfterClientDisconnect(t *testing.T) {
	const size = 12 << 20 // more than the kernel holds on both sides
	body := strings.Repeat("x", size)
	for name, limits := range map[string]string{"kept": `{"memory_mb":512}`, "still coming": `{"memory_mb":32}`} {
		for way, leave := range map[string]func(c *testClient){"fin": disconnects["fin"], "rst": disconnects["rst"], "stays": nil} {
			t.Run(name+" "+way, func(t *testing.T) {
				t.Parallel()
				a, b := newBlockingEndpoint(t, nil).accept(), newBlockingEndpoint(t, nil).accept()
				s := testOptions{limits: limits, settings: fmt.Sprintf(longWaitSettings, true),
					endpoints: []string{endpointJSON("a", a.addr(), "Ready"), endpointJSON("b", b.addr(), "Ready")}}.start(t)
				c := s.connectAndSend(t, "hang", fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 600000\r\nContent-Length: %d\r\n\r\n", size))
				sent := make(chan bool)
				go func() {
					n := size
					if leave != nil && name == "still coming" {
						n = 1 << 20
					}
					io.WriteString(c, body[:n])
					close(sent)
				}()
				waitUntil(t, "it is being written", func() bool { return len(a.startedIDs())+len(b.startedIDs()) == 1 })
				if leave != nil {
					<-sent
					leave(c)
					s.waitForInFlight(t, 0)
				}
				close(a.release)
				close(b.release)
				if leave == nil {
					c.requireOK(t)
					<-sent
				}
				s.waitForInFlight(t, 0)
				waitUntil(t, "no connection carries anything", func() bool { return s.pool.Stats().Connections <= map[bool]int{true: 1}[leave == nil] })
				a.mu.Lock()
				defer a.mu.Unlock()
				b.mu.Lock()
				defer b.mu.Unlock()
				if n, all := len(a.completed)+len(b.completed), len(a.started)+len(b.started); n != map[bool]int{true: 1}[leave == nil] || all != 1 {
					t.Errorf("it was sent %d times, %d times whole", all, n)
				}
			})
		}
	}
}

// An endpoint closes an idle connection when a request that was written there arrives, unheard: the safe one is sent again, the unsafe one,
// which nothing proves not to have run, is not.
func TestIdleEndpointConnectionClosedDuringRequest(t *testing.T) {
	for path, want := range map[string]int{"/look": http.StatusOK, "/pay": http.StatusBadGateway} {
		method := map[string]string{"/look": http.MethodGet, "/pay": http.MethodPost}[path]
		var closed atomic.Int32
		e := newEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
			if r.Header.Get("Req-Id") == "second" && closed.Add(1) == 1 {
				nc.(*net.TCPConn).SetLinger(0)
				return false
			}
			io.WriteString(nc, okResponse)
			return true
		})
		s := startSidecar(t, e.Addr)
		if status, _, _ := sendRequest(t, s.newRequest(t, method, path, "first", 10000)); status != http.StatusOK {
			t.Fatalf("the first on %s: %d", path, status)
		}
		rested := time.Now().Add(responseQuarantine)
		waitUntil(t, "the connection has rested", func() bool { return time.Now().After(rested) })
		if status, _, _ := sendRequest(t, s.newRequest(t, method, path, "second", 10000)); status != want {
			t.Errorf("%s is answered %d", path, status)
		}
		if n, all := e.Connections.Load(), e.Requests.Load(); want == http.StatusOK && (n != 2 || all != 3) || want != http.StatusOK && (n != 1 || all != 2) {
			t.Errorf("%s came %d times on %d connections", path, all, n)
		}
	}
}

// newFullBacklogEndpoint is an endpoint whose connections do not come up until it opens: its queue is full.
func newFullBacklogEndpoint(t *testing.T) *blockingEndpoint {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	l, err := hotrestart.InheritedListener(strconv.Itoa(fd))
	if err != nil {
		t.Fatal(err)
	}
	b := newBlockingEndpoint(t, l)
	nc, err := net.Dial("tcp", b.addr()) // the one that there is a place for
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return b
}
