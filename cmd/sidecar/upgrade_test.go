package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

// testPlatform starts processes of one sidecar as the platform does: it holds the listening socket, and all have one folder for
// what does not last.
type testPlatform struct {
	program, sharedDir, discovery string
	listener                      *os.File
	addr                          string
}

// sidecarProcess is one of them.
type sidecarProcess struct {
	*exec.Cmd
	adminAddr string
	log       logBuffer
	exited    chan error
}

// logBuffer is what a process has logged so far.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) appendLine(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text.WriteString(line + "\n")
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// newPlatform builds the program and lists the endpoints given, named a, b, ...
func newPlatform(t *testing.T, endpoints ...string) *testPlatform {
	t.Helper()
	p := &testPlatform{program: filepath.Join(t.TempDir(), "sidecar"), sharedDir: t.TempDir()}
	if out, err := exec.Command("go", "build", "-o", p.program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	var entries []string
	for i, addr := range endpoints {
		entries = append(entries, testpeer.Member(string(rune('a'+i)), addr, "Ready"))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	agent := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, testpeer.Members(1, true, entries...))
		w.(http.Flusher).Flush()
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
	})}
	go agent.Serve(l)
	t.Cleanup(func() { agent.Close() })
	p.discovery = l.Addr().String()

	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	p.addr = held.Addr().String()
	if p.listener, err = held.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.listener.Close() })
	return p
}

// start starts a process; ready waits until it says that it serves.
func (p *testPlatform) start(t *testing.T) *sidecarProcess {
	t.Helper()
	config := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"t","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256},
		"settings":{"Lanes":[{"Name":"look","Semantics":"read_like","OnTimeUs":2000000},{"Name":"pay","Semantics":"non_idempotent","OnTimeUs":2000000}],
		"Permissions":{"MayCancel":true,"TryLimit":4}}}`, p.addr, p.discovery)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	x := &sidecarProcess{Cmd: exec.Command(p.program), exited: make(chan error, 1)}
	x.Env = []string{"ROUTER_CONFIG=" + config, "ROUTER_CONSOLE=127.0.0.1:0", "ROUTER_ACCEPT_FD=3", "TMPDIR=" + p.sharedDir}
	x.ExtraFiles = []*os.File{p.listener}
	out, err := x.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := x.Start(); err != nil {
		t.Fatal(err)
	}
	addr := make(chan string, 1)
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			x.log.appendLine(lines.Text())
			if _, rest, ok := strings.Cut(lines.Text(), "msg=console name=t addr="); ok {
				addr <- rest
			}
		}
		x.exited <- x.Wait()
	}()
	t.Cleanup(func() { x.Process.Kill(); <-x.exited })
	select {
	case x.adminAddr = <-addr:
	case <-time.After(testTimeout):
		t.Fatal("no console")
	}
	return x
}

// adminCommand asks a console.
func (p *sidecarProcess) adminCommand(t *testing.T, line string) string {
	t.Helper()
	nc, err := net.Dial("tcp", p.adminAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	io.WriteString(nc, line+"\n")
	text, err := io.ReadAll(nc)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func (p *sidecarProcess) waitUntilReady(t *testing.T) {
	t.Helper()
	testpeer.Until(t, "ready", func() bool { return strings.HasPrefix(p.adminCommand(t, "ready"), "SUCCESS") })
}

// waitForExit waits for a process that was told to end.
func (p *sidecarProcess) waitForExit(t *testing.T) {
	t.Helper()
	select {
	case err := <-p.exited:
		p.exited <- err
		if err != nil {
			t.Errorf("ended with %v:\n%s", err, p.log.String())
		}
	case <-time.After(testTimeout):
		t.Error("never ended")
	}
}

// runClient keeps a connection and asks one request after the other. A request to which a connection that was used before says nothing
// at all is asked once more on a new one.
func (p *testPlatform) runClient(t *testing.T, name string, stop <-chan struct{}, served *atomic.Int32) {
	var nc net.Conn
	var in *bufio.Reader
	used := false
	for n := 0; ; n++ {
		select {
		case <-stop:
			if nc != nil {
				nc.Close()
			}
			return
		default:
		}
		for {
			if nc == nil {
				var err error
				if nc, err = net.Dial("tcp", p.addr); err != nil {
					t.Error(err)
					return
				}
				in, used = bufio.NewReader(nc), false
			}
			fmt.Fprintf(nc, "GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: %s-%d\r\nReq-Deadline-Ms: 10000\r\n\r\n", name, n)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				nc.Close()
				nc = nil
				if used {
					continue
				}
				t.Errorf("%s-%d: %v", name, n, err)
				return
			}
			_, err = io.Copy(io.Discard, resp.Body)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%s-%d: status %d, %v", name, n, resp.StatusCode, err)
			}
			served.Add(1)
			if used = true; resp.Close {
				nc.Close()
				nc = nil
			}
			break
		}
	}
}

// Three processes follow one another under load. No request is lost, bans hold whichever process they were said to, and also
// where the one that said yes is killed right after.
func TestHandoverUnderLoadLosesNoRequest(t *testing.T) {
	slow := func(nc net.Conn, r *http.Request, _ int) bool {
		time.Sleep(5 * time.Millisecond) // so that requests are under way at any moment; nothing hangs on how long
		_, err := io.WriteString(nc, testpeer.Served)
		return err == nil
	}
	a, b, c := testpeer.New(t, slow), testpeer.New(t, slow), testpeer.New(t, slow)
	p := newPlatform(t, a.Addr, b.Addr, c.Addr)
	first := p.start(t)
	first.waitUntilReady(t)

	stop := make(chan struct{})
	var served atomic.Int32
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() { p.runClient(t, fmt.Sprint("c", i), stop, &served) })
	}
	more := func() {
		n := served.Load()
		testpeer.Until(t, "more is served", func() bool { return served.Load() > n+50 })
	}
	more()
	if answer := first.adminCommand(t, "disable-server a"); !strings.HasPrefix(answer, "SUCCESS") {
		t.Fatal(answer)
	}
	second := p.start(t)
	second.waitUntilReady(t)
	n := a.Requests.Load()
	if answer := second.adminCommand(t, "disable-server b"); !strings.HasPrefix(answer, "SUCCESS") { // while both run
		t.Fatal(answer)
	}
	testpeer.Until(t, "the first process heeds it, too", func() bool {
		return strings.Contains(first.adminCommand(t, "show-stat"), "sidecar_targets_disabled 2\n")
	})
	settled := b.Requests.Load()
	more()
	first.Process.Signal(syscall.SIGTERM)
	first.waitForExit(t)
	more()
	if now := a.Requests.Load(); now > n+8 { // what was under way at the ban
		t.Errorf("the banned endpoint got %d more", now-n)
	}
	if now := b.Requests.Load(); now > settled+8 {
		t.Errorf("the one banned later got %d more", now-settled)
	}

	if answer := second.adminCommand(t, "enable-server a"); !strings.HasPrefix(answer, "SUCCESS") {
		t.Fatal(answer)
	}
	third := p.start(t)
	third.waitUntilReady(t)
	if answer := second.adminCommand(t, "disable-server a"); !strings.HasPrefix(answer, "SUCCESS") {
		t.Fatal(answer)
	}
	close(stop)
	callers.Wait()
	second.Process.Kill()
	<-second.exited
	second.exited <- nil
	testpeer.Until(t, "the ban outlives the process that said yes", func() bool {
		return strings.Contains(third.adminCommand(t, "show-stat"), "sidecar_targets_disabled 2\n")
	})
	if !strings.Contains(third.log.String(), "starting with what was learned") {
		t.Errorf("the third process learned nothing from the second:\n%s", third.log.String())
	}
}

// A successor that dies before it says yes, or right after, leaves the first process serving.
func TestPredecessorResumesWhenSuccessorDies(t *testing.T) {
	a := testpeer.New(t, testpeer.Says(testpeer.Served, true))
	p := newPlatform(t, a.Addr)
	first := p.start(t)
	first.waitUntilReady(t)
	second := p.start(t)
	second.waitUntilReady(t)
	testpeer.Until(t, "the first has seen it", func() bool { return strings.Contains(first.log.String(), "is_so=true") })
	second.Process.Kill()
	<-second.exited
	second.exited <- nil
	var served atomic.Int32
	stop := make(chan struct{})
	ended := make(chan bool)
	go func() { p.runClient(t, "c", stop, &served); close(ended) }()
	testpeer.Until(t, "the first serves again", func() bool { return served.Load() > 10 })
	close(stop)
	<-ended
	first.Process.Signal(syscall.SIGTERM)
	first.waitForExit(t)
}

// Whatever lies in the shared folder, a start is a start.
func TestForeignFilesInSharedDirDoNotPreventStart(t *testing.T) {
	a := testpeer.New(t, testpeer.Says(testpeer.Served, true))
	p := newPlatform(t, a.Addr)
	folder := filepath.Join(p.sharedDir, "rowancart-t")
	if err := os.MkdirAll(filepath.Join(folder, "bans"), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"learned": "{torn", "serving-x": "", "bans/zz": "", "bans/61": ""} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	x := p.start(t)
	x.waitUntilReady(t)
	if text := x.adminCommand(t, "show-stat"); !strings.Contains(text, "sidecar_targets_disabled 1\n") {
		t.Errorf("the ban that stands is not heeded: %s", text)
	}
	for _, want := range []string{"starting without what was learned", "stand for no ban"} {
		if !strings.Contains(x.log.String(), want) {
			t.Errorf("no word of it: %s", want)
		}
	}
}

func TestInvalidListenerDescriptorFailsStart(t *testing.T) {
	p := newPlatform(t)
	for _, fd := range []string{"seven", "63"} {
		config := filepath.Join(t.TempDir(), "config.json")
		writeConfig(t, config, p.discovery)
		c := exec.Command(p.program)
		c.Env = []string{"ROUTER_CONFIG=" + config, "ROUTER_ACCEPT_FD=" + fd, "TMPDIR=" + p.sharedDir}
		out, err := c.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "sidecar: ROUTER_ACCEPT_FD: ") {
			t.Errorf("%s: %v, %q", fd, err, out)
		}
	}
}

// SIGHUP and SIGTERM come while the new process still waits for its list, and it dies before it has said yes: the first goes on, and what
// comes after SIGTERM is answered.
func TestSignalsDuringHandoverLoseNoRequest(t *testing.T) {
	a := testpeer.New(t, testpeer.Says(testpeer.Served, true))
	p := newPlatform(t, a.Addr)
	first := p.start(t)
	first.waitUntilReady(t)
	discovery := p.discovery
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	p.discovery = silent.Addr().String()
	second := p.start(t)
	p.discovery = discovery
	if answer := second.adminCommand(t, "ready"); !strings.HasPrefix(answer, "FAILURE") {
		t.Errorf("ready without a list: %q", answer)
	}
	first.Process.Signal(syscall.SIGHUP)
	testpeer.Until(t, "the first has reloaded", func() bool {
		return strings.Contains(first.adminCommand(t, "show-stat"), "sidecar_reload_success 1\n")
	})
	second.Process.Kill()
	<-second.exited
	second.exited <- nil
	stop := make(chan struct{})
	var served atomic.Int32
	ended := make(chan bool)
	go func() { p.runClient(t, "c", stop, &served); close(ended) }()
	testpeer.Until(t, "the first serves", func() bool { return served.Load() > 10 })
	third := p.start(t)
	first.Process.Signal(syscall.SIGTERM) // whether the third has said yes or not
	first.waitForExit(t)
	third.waitUntilReady(t)
	n := served.Load()
	testpeer.Until(t, "the third serves", func() bool { return served.Load() > n+10 })
	close(stop)
	<-ended
}

// A request is half read, in its head or in its body, when a successor says yes and SIGTERM comes: who began to read it answers it.
func TestHandoverWithPartiallyReadRequest(t *testing.T) {
	a := testpeer.New(t, testpeer.Says(testpeer.Served, true))
	p := newPlatform(t, a.Addr)
	first := p.start(t)
	first.waitUntilReady(t)
	whole := "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: ID\r\nReq-Deadline-Ms: 10000\r\nContent-Length: 4\r\n\r\nbody"
	type half struct {
		net.Conn
		rest string
	}
	var halves []half
	for i, at := range []int{1, len(whole) / 2, len(whole) - 5, len(whole) - 1} {
		nc, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(testTimeout))
		text := strings.Replace(whole, "ID", fmt.Sprint("r", i), 1)
		io.WriteString(nc, text[:at])
		halves = append(halves, half{nc, text[at:]})
	}
	// One that came behind them has been served: connections are accepted in their order, so that these are the first process's.
	stop := make(chan struct{})
	var served atomic.Int32
	ended := make(chan bool)
	go func() { p.runClient(t, "c", stop, &served); close(ended) }()
	testpeer.Until(t, "more is served", func() bool { return served.Load() > 10 })
	second := p.start(t)
	second.waitUntilReady(t)
	testpeer.Until(t, "the first has seen it", func() bool { return strings.Contains(first.log.String(), "is_so=true") })
	first.Process.Signal(syscall.SIGTERM)
	for i, h := range halves {
		io.WriteString(h, h.rest)
		resp, err := http.ReadResponse(bufio.NewReader(h), nil)
		if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("half %d: %+v, %v", i, resp, err)
		}
	}
	first.waitForExit(t)
	close(stop)
	<-ended
}
