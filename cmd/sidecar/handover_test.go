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
	"syscall"
	"testing"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// Three processes of one sidecar replace one another under load. No request may be lost. A disabled
// endpoint must stay disabled, whichever process received the command, and even if that process is
// killed right after its response.
func TestHandoverUnderLoadLosesNoRequest(t *testing.T) {
	const inFlight = 8 // requests that may still reach an endpoint after it was disabled
	slow := func(conn net.Conn, _ *http.Request, _ int) bool {
		time.Sleep(5 * time.Millisecond) // keeps requests in flight at all times; the result does not depend on it
		_, err := io.WriteString(conn, testpeer.OKResponse)
		return err == nil
	}
	a := testpeer.StartEndpoint(t, slow)
	b := testpeer.StartEndpoint(t, slow)
	c := testpeer.StartEndpoint(t, slow)
	p := newTestPlatform(t, a.Addr, b.Addr, c.Addr)
	first := p.startReady(t)
	clients := p.startClients(t, 8)
	clients.waitForMore(t, 50)
	first.requireSuccess(t, "disable-server a")
	second := p.startReady(t)
	whenDisabledA := a.Requests.Load()
	second.requireSuccess(t, "disable-server b") // while both processes run
	first.waitForMetric(t, "sidecar_targets_disabled", 2)
	whenDisabledB := b.Requests.Load()
	clients.waitForMore(t, 50)
	first.Process.Signal(syscall.SIGTERM)
	first.waitForExit(t)
	clients.waitForMore(t, 50)
	if now := a.Requests.Load(); now > whenDisabledA+inFlight {
		t.Errorf("endpoint a got %d more requests after it was disabled", now-whenDisabledA)
	}
	if now := b.Requests.Load(); now > whenDisabledB+inFlight {
		t.Errorf("endpoint b got %d more requests after it was disabled", now-whenDisabledB)
	}

	second.requireSuccess(t, "enable-server a")
	third := p.startReady(t)
	second.requireSuccess(t, "disable-server a")
	clients.stop()
	second.kill()
	third.waitForMetric(t, "sidecar_targets_disabled", 2) // also after the process that received the command has exited
	if !strings.Contains(third.log.String(), `msg="snapshot restored"`) {
		t.Errorf("the third process did not restore the snapshot of the second:\n%s", third.log.String())
	}
}

// If a successor is killed right after it has become ready, its predecessor must accept connections
// again.
func TestPredecessorResumesWhenSuccessorIsKilled(t *testing.T) {
	a := testpeer.StartEndpoint(t, testpeer.RespondWith(testpeer.OKResponse, testpeer.KeepConn))
	p := newTestPlatform(t, a.Addr)
	first := p.startReady(t)
	second := p.startReady(t)
	first.waitUntilSuperseded(t)
	second.kill()
	clients := p.startClients(t, 1)
	clients.waitForMore(t, 10)
	clients.stop()
	first.Process.Signal(syscall.SIGTERM)
	first.waitForExit(t)
}

// Files in the shared directory that do not come from a sidecar, or are damaged, must not prevent a
// process from starting.
func TestForeignFilesInSharedDirDoNotPreventStart(t *testing.T) {
	a := testpeer.StartEndpoint(t, testpeer.RespondWith(testpeer.OKResponse, testpeer.KeepConn))
	p := newTestPlatform(t, a.Addr)
	dir := filepath.Join(p.sharedDir, "rowancart-t")
	if err := os.MkdirAll(filepath.Join(dir, "bans"), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"learned": "{torn", "serving-x": "", "bans/zz": "", "bans/61": ""} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s := p.startReady(t)
	if text := s.adminCommand(t, "show-stat"); !strings.Contains(text, "sidecar_targets_disabled 1\n") {
		t.Errorf("the disabled endpoint in the shared directory has not been applied: %s", text)
	}
	for _, want := range []string{`msg="snapshot not restored"`, `msg="foreign files ignored"`} {
		if !strings.Contains(s.log.String(), want) {
			t.Errorf("not logged: %s", want)
		}
	}
}

// If the inherited descriptor is not an open socket, the process must fail to start, with an error
// of one line.
func TestInvalidListenerDescriptorFailsStart(t *testing.T) {
	p := newTestPlatform(t)
	for _, fd := range []string{"seven", "63"} {
		config := filepath.Join(t.TempDir(), "config.json")
		writeConfig(t, config, configWithoutEndpoints(anyLoopbackAddr, p.discovery))
		c := exec.Command(p.program)
		c.Env = []string{
			platform.EnvConfig + "=" + config,
			platform.EnvAcceptFD + "=" + fd,
			platform.EnvSharedDir + "=" + p.sharedDir,
		}
		out, err := c.CombinedOutput()
		oneLine := strings.Count(string(out), "\n") == 1
		if err == nil || !oneLine || !strings.HasPrefix(string(out), "sidecar: "+platform.EnvAcceptFD+": ") {
			t.Errorf("descriptor %s: error %v, output %q; want one line that names the variable", fd, err, out)
		}
	}
}

// A predecessor receives SIGHUP while its successor still waits for the endpoint list, and the
// successor is killed before it is ready: the predecessor must go on. It receives SIGTERM while the
// next successor starts: requests that arrive after SIGTERM must be answered.
func TestSignalsDuringHandoverLoseNoRequest(t *testing.T) {
	a := testpeer.StartEndpoint(t, testpeer.RespondWith(testpeer.OKResponse, testpeer.KeepConn))
	p := newTestPlatform(t, a.Addr)
	first := p.startReady(t)
	discovery := p.discovery
	silent, err := net.Listen("tcp", "127.0.0.1:0") // a fake discovery that sends nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	p.discovery = silent.Addr().String()
	second := p.start(t)
	p.discovery = discovery
	if response := second.adminCommand(t, "ready"); !strings.HasPrefix(response, "FAILURE") {
		t.Errorf("response to ready without an endpoint list: %q, want FAILURE", response)
	}
	first.Process.Signal(syscall.SIGHUP)
	first.waitForMetric(t, "sidecar_reload_success", 1)
	second.kill()
	clients := p.startClients(t, 1)
	clients.waitForMore(t, 10)
	third := p.start(t)
	first.Process.Signal(syscall.SIGTERM) // whether the third process is ready or not
	first.waitForExit(t)
	third.waitUntilReady(t)
	clients.waitForMore(t, 10)
	clients.stop()
}

// A request may have been received only partially, up to somewhere in its head or body, when a
// successor becomes ready and SIGTERM arrives. The process that began to read it must answer it.
func TestHandoverWithPartiallyReadRequest(t *testing.T) {
	a := testpeer.StartEndpoint(t, testpeer.RespondWith(testpeer.OKResponse, testpeer.KeepConn))
	p := newTestPlatform(t, a.Addr)
	first := p.startReady(t)
	request := testpeer.Request{Method: http.MethodPost, Path: "/pay", ID: "r0", Deadline: 10 * time.Second, Body: "body"}
	textLen := len(request.Text())
	type partialRequest struct {
		net.Conn
		rest string
	}
	var partial []partialRequest
	for i, sent := range []int{1, textLen / 2, textLen - 5, textLen - 1} {
		conn, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testTimeout))
		request.ID = fmt.Sprint("r", i)
		text := request.Text()
		io.WriteString(conn, text[:sent])
		partial = append(partial, partialRequest{Conn: conn, rest: text[sent:]})
	}
	// Connections are accepted in the order in which they were opened. Once clients that connected
	// later are served, the first process has accepted all connections above.
	clients := p.startClients(t, 1)
	clients.waitForMore(t, 10)
	p.startReady(t)
	first.waitUntilSuperseded(t)
	first.Process.Signal(syscall.SIGTERM)
	for i, r := range partial {
		io.WriteString(r, r.rest)
		resp, err := http.ReadResponse(bufio.NewReader(r), nil)
		if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("request %d: response %+v, error %v; want status 200 and a closed connection", i, resp, err)
		}
	}
	first.waitForExit(t)
	clients.stop()
}
