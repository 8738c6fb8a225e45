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

// patientSettings let requests wait for as long as a test takes.
const patientSettings = `{"Lanes":[{"Name":"look","Semantics":"read_like","OnTimeUs":60000000},
	{"Name":"pay","Semantics":"non_idempotent","OnTimeUs":60000000}],
	"Permissions":{"MayCancel":%v,"TryLimit":4,"DialTimeoutUs":15000000},
	"Rules":{"ColdUs":60000000,"ColdFrom":0.1,"ColdShare":0.000001}}`

// fullAt is how many requests fill one endpoint for one sidecar before anything is known.
const fullAt = 6

// box is an endpoint that notes each request from its head on. Those whose names begin so wait for release.
type box struct {
	net.Listener
	hangs   string
	breaks  bool // then it does not answer these
	release chan bool

	mu    sync.Mutex
	ids   []string
	whole []string // those that came whole
}

func newBox(t *testing.T, l net.Listener) *box {
	t.Helper()
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	b := &box{Listener: l, hangs: "hang", release: make(chan bool)}
	t.Cleanup(func() { l.Close() })
	return b
}

func (b *box) addr() string { return b.Addr().String() }

// open begins to accept.
func (b *box) open() *box {
	go func() {
		for {
			nc, err := b.Accept()
			if err != nil {
				return
			}
			go b.serve(nc)
		}
	}()
	return b
}

func (b *box) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("Req-Id")
		b.mu.Lock()
		b.ids = append(b.ids, id)
		b.mu.Unlock()
		hangs := strings.HasPrefix(id, b.hangs)
		if hangs {
			<-b.release
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		b.mu.Lock()
		b.whole = append(b.whole, id)
		b.mu.Unlock()
		if hangs && b.breaks {
			return
		}
		io.WriteString(nc, served)
	}
}

// came gives the ids of the requests of which anything has come.
func (b *box) came() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.ids)
}

// caller is a client's connection.
type caller struct {
	*net.TCPConn
	id string
}

// calls sends text on a new connection, ID in it standing for the caller's own.
func (s *running) calls(t *testing.T, id, text string) *caller {
	t.Helper()
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(patience)) // a bound, not a verdict
	if _, err := io.WriteString(nc, strings.ReplaceAll(text, "ID", id)); err != nil {
		t.Fatal(err)
	}
	return &caller{nc.(*net.TCPConn), id}
}

// answer reads one.
func (c *caller) answer(t *testing.T) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("%s has no answer: %v", c.id, err)
		return &http.Response{}
	}
	return resp
}

func (c *caller) isServed(t *testing.T) {
	t.Helper()
	if resp := c.answer(t); resp.StatusCode != http.StatusOK {
		t.Errorf("%s, which stays, is answered %d", c.id, resp.StatusCode)
	}
}

const (
	look  = "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 600000\r\n\r\n"
	ahead = "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: ID-next\r\nReq-Deadline-Ms: 600000\r\n\r\n"
)

// long is a request whose body is still coming: some of it stands unread while the request waits.
var long = "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 600000\r\nContent-Length: 8388608\r\n\r\n" +
	strings.Repeat("x", 64<<10+10<<10)

// submit is a request that must not run twice.
const submit = "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 600000\r\nContent-Length: 2\r\n\r\nhi"

// leavings are the ways in which a client leaves.
var leavings = map[string]func(c *caller){
	"fin":              func(c *caller) { c.Close() },
	"rst":              func(c *caller) { c.SetLinger(0); c.Close() },
	"half":             func(c *caller) { c.CloseWrite() },
	"fin behind bytes": func(c *caller) { io.WriteString(c, strings.ReplaceAll(ahead, "ID", c.id)); c.Close() },
	"rst behind bytes": func(c *caller) { io.WriteString(c, strings.ReplaceAll(ahead, "ID", c.id)); c.SetLinger(0); c.Close() },
}

// concurrent waits for a number of requests that the module has heard of and that are not done with. The console's figure runs ahead
// of that: a request counts there from the moment at which it is read.
func (s *running) concurrent(t *testing.T, want int) {
	t.Helper()
	until(t, fmt.Sprint(want, " requests are under way"), func() bool { return s.engine.Stats().Calls == want })
}

// wait is something that requests wait for.
type wait struct {
	*running
	box    *box
	text   string   // of the requests; empty: look
	other  int      // requests under way beside them
	ways   []string // of leaving; none: all
	during func(t *testing.T, waiting int)
	over   func(t *testing.T) // ends it
}

// forRoom is a wait for room at one endpoint.
func forRoom(t *testing.T, u setup, mayCancel bool) wait {
	b := newBox(t, nil).open()
	u.settings, u.known = fmt.Sprintf(patientSettings, mayCancel), []string{member("a", b.addr(), "Ready")}
	s := u.run(t)
	for i := range fullAt {
		s.calls(t, fmt.Sprint("hang", i), look)
	}
	s.concurrent(t, fullAt)
	return wait{running: s, box: b, other: fullAt, over: func(*testing.T) { close(b.release) }}
}

// forConnection is a wait for a connection to come up, at the last of the endpoints.
func forConnection(t *testing.T, mayCancel bool, before ...string) wait {
	b := unaccepting(t)
	u := setup{settings: fmt.Sprintf(patientSettings, mayCancel), known: []string{member("z", b.addr(), "Ready")}}
	for i, addr := range before {
		u.known = append(u.known, member(fmt.Sprint("a", i), addr, "Ready"))
	}
	return wait{running: u.run(t), box: b, over: func(*testing.T) { b.open() }}
}

// waits are all that a request may wait for.
var waits = map[string]func(t *testing.T) wait{
	"room":                                  func(t *testing.T) wait { return forRoom(t, setup{}, true) },
	"room, where nothing may be called off": func(t *testing.T) wait { return forRoom(t, setup{}, false) },
	"a connection":                          func(t *testing.T) wait { return forConnection(t, true) },
	"a connection, nothing may be called off": func(t *testing.T) wait { return forConnection(t, false) },
	"the connection of a resend": func(t *testing.T) wait {
		refuses := newBox(t, nil)
		refuses.Close()
		return forConnection(t, true, refuses.addr())
	},
	"room, the body still coming and not read": func(t *testing.T) wait {
		w := forRoom(t, setup{limits: `{"memory_mb":32}`}, true)
		w.text, w.ways = long, []string{"fin", "rst", "half"} // the rest of the body stands before its end in any case
		return w
	},
	"the first list": func(t *testing.T) wait {
		b := newBox(t, nil).open()
		s := setup{settings: fmt.Sprintf(patientSettings, true)}.run(t)
		return wait{running: s, box: b, over: func(t *testing.T) { s.tell(t, members(2, true, member("a", b.addr(), "Ready"))) }}
	},
	"a resend": func(t *testing.T) wait {
		a, b := newBox(t, nil).open(), newBox(t, nil).open()
		a.hangs, a.breaks = "", true
		s := setup{settings: fmt.Sprintf(patientSettings, true), known: []string{member("a", a.addr(), "Ready")}}.run(t)
		return wait{running: s, box: b, ways: []string{"fin", "rst", "fin behind bytes"}, // no more than the budget of resends allows
			during: func(t *testing.T, waiting int) {
				until(t, "all are at the first endpoint", func() bool { return len(a.came()) == waiting })
				cold := strings.Replace(member("cold", b.addr(), "Ready"), `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, time.Now().UnixMilli()), 1)
				s.tell(t, members(2, true, member("a", a.addr(), "Terminating"), cold))
				close(a.release)
				until(t, "all have failed there", func() bool {
					return !slices.ContainsFunc(s.engine.Endpoints(), func(e proxy.EndpointStatus) bool { return e.InFlight > 0 })
				})
			},
			over: func(t *testing.T) { s.tell(t, members(3, false, member("warm", b.addr(), "Ready"))) }}
	},
	"room, SIGTERM has come": func(t *testing.T) wait {
		w := forRoom(t, setup{}, true)
		w.during = func(*testing.T, int) { w.term() }
		return w
	},
	"room, a successor serves": func(t *testing.T) wait {
		temp := t.TempDir()
		w := forRoom(t, setup{temp: temp}, true)
		w.during = func(t *testing.T, _ int) {
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
			until(t, "the successor is seen", func() bool { w.shift.mu.Lock(); defer w.shift.mu.Unlock(); return w.shift.succeeded })
		}
		return w
	},
}

// Whatever a request waits for when its client leaves: nothing is sent for it any more, though the wait ends. Nor is a client that
// stays taken for gone, also one that has sent bytes ahead.
func TestNothingIsSentForACallerThatLeft(t *testing.T) {
	for name, begin := range waits {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := begin(t)
			var leave []func()
			for way, does := range leavings {
				if len(w.ways) > 0 && !slices.Contains(w.ways, way) {
					continue
				}
				c := w.calls(t, "leaves by "+way, cmp.Or(w.text, look))
				leave = append(leave, func() { does(c) })
			}
			stays := w.calls(t, "stays", look+ahead)
			w.concurrent(t, w.other+len(leave)+1)
			if w.during != nil {
				w.during(t, len(leave)+1)
			}
			for _, does := range leave {
				does()
			}
			w.concurrent(t, w.other+1) // all have been looked at, the one that stays as well
			w.over(t)
			stays.isServed(t)
			w.concurrent(t, 0)
			for _, id := range w.box.came() {
				if strings.HasPrefix(id, "leaves") {
					t.Errorf("the request that %s was sent on", id)
				}
			}
		})
	}
}

// A connection may stand in the kernel's queue for long, while another process takes over or all places are taken, with its request
// written and its client gone.
func TestNothingIsSentForACallerThatLeftBeforeItWasAccepted(t *testing.T) {
	b := newBox(t, nil).open()
	s := setup{settings: fmt.Sprintf(patientSettings, true), known: []string{member("a", b.addr(), "Ready")}}.run(t)
	s.conns.Pause()
	for way, leave := range leavings {
		leave(s.calls(t, "leaves by "+way, look))
	}
	stays := s.calls(t, "stays", look+ahead)
	s.conns.Resume()
	stays.isServed(t)
	until(t, "all are done with", func() bool { open, _ := s.conns.Counts(); return open == 1 })
	for _, id := range b.came() {
		if strings.HasPrefix(id, "leaves") {
			t.Errorf("the request that %s was sent on", id)
		}
	}
}

// A body is being written, kept whole or still coming, to an endpoint that reads none of it when its client leaves: its end never goes
// out, there or elsewhere. That of a client that stays does.
func TestABodyIsNotWrittenToItsEndForACallerThatLeft(t *testing.T) {
	const size = 12 << 20 // more than the kernel holds on both sides
	body := strings.Repeat("x", size)
	for name, limits := range map[string]string{"kept": `{"memory_mb":512}`, "still coming": `{"memory_mb":32}`} {
		for way, leave := range map[string]func(c *caller){"fin": leavings["fin"], "rst": leavings["rst"], "stays": nil} {
			t.Run(name+" "+way, func(t *testing.T) {
				t.Parallel()
				a, b := newBox(t, nil).open(), newBox(t, nil).open()
				s := setup{limits: limits, settings: fmt.Sprintf(patientSettings, true),
					known: []string{member("a", a.addr(), "Ready"), member("b", b.addr(), "Ready")}}.run(t)
				c := s.calls(t, "hang", fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 600000\r\nContent-Length: %d\r\n\r\n", size))
				sent := make(chan bool)
				go func() {
					n := size
					if leave != nil && name == "still coming" {
						n = 1 << 20
					}
					io.WriteString(c, body[:n])
					close(sent)
				}()
				until(t, "it is being written", func() bool { return len(a.came())+len(b.came()) == 1 })
				if leave != nil {
					<-sent
					leave(c)
					s.concurrent(t, 0)
				}
				close(a.release)
				close(b.release)
				if leave == nil {
					c.isServed(t)
					<-sent
				}
				s.concurrent(t, 0)
				until(t, "no connection carries anything", func() bool { return s.engine.Stats().Connections <= map[bool]int{true: 1}[leave == nil] })
				a.mu.Lock()
				defer a.mu.Unlock()
				b.mu.Lock()
				defer b.mu.Unlock()
				if n, all := len(a.whole)+len(b.whole), len(a.ids)+len(b.ids); n != map[bool]int{true: 1}[leave == nil] || all != 1 {
					t.Errorf("it was sent %d times, %d times whole", all, n)
				}
			})
		}
	}
}

// An endpoint closes an idle connection when a request that was written there arrives, unheard: the safe one is sent again, the unsafe one,
// which nothing proves not to have run, is not.
func TestAnIdleConnectionClosedUnderARequest(t *testing.T) {
	for path, want := range map[string]int{"/look": http.StatusOK, "/pay": http.StatusBadGateway} {
		method := map[string]string{"/look": http.MethodGet, "/pay": http.MethodPost}[path]
		var closed atomic.Int32
		e := newEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
			if r.Header.Get("Req-Id") == "second" && closed.Add(1) == 1 {
				nc.(*net.TCPConn).SetLinger(0)
				return false
			}
			io.WriteString(nc, served)
			return true
		})
		s := run(t, e.Addr)
		if status, _, _ := ask(t, s.request(t, method, path, "first", 10000)); status != http.StatusOK {
			t.Fatalf("the first on %s: %d", path, status)
		}
		rested := time.Now().Add(settle)
		until(t, "the connection has rested", func() bool { return time.Now().After(rested) })
		if status, _, _ := ask(t, s.request(t, method, path, "second", 10000)); status != want {
			t.Errorf("%s is answered %d", path, status)
		}
		if n, all := e.Connections.Load(), e.Requests.Load(); want == http.StatusOK && (n != 2 || all != 3) || want != http.StatusOK && (n != 1 || all != 2) {
			t.Errorf("%s came %d times on %d connections", path, all, n)
		}
	}
}

// unaccepting is an endpoint whose connections do not come up until it opens: its queue is full.
func unaccepting(t *testing.T) *box {
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
	b := newBox(t, l)
	nc, err := net.Dial("tcp", b.addr()) // the one that there is a place for
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return b
}
