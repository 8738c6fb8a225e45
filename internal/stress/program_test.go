// Package stress runs the built programs under the smallest limits that the operators' pages allow,
// beside clients and endpoints that are slow, silent, careless or greedy, and checks from outside
// the processes that the limits and the rules hold. The package holds only tests.
package stress

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// The smallest limits that the operators' pages allow.
const (
	memoryLimitMB  = 32
	minDescriptors = 256
	maxDescriptors = 1024
	// Clients hold at most this part of the descriptors for requests.
	clientShare = 3
)

const (
	startTimeout   = 30 * time.Second
	memoryInterval = 10 * time.Millisecond // between two measurements of the memory
)

// programName names one of the programs under test.
type programName string

const (
	sidecarProgram programName = "sidecar"
	daemonProgram  programName = "daemon"
)

// binDir is the folder of the built programs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs, runs the tests and returns the exit status.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "stress-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "rowancart/cmd/sidecar", "rowancart/cmd/rowancart")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s", err, out)
		return 1
	}
	return m.Run()
}

// forEachProgram runs a test with the sidecar and with the daemon, with the smallest and with the
// greatest limit on descriptors.
func forEachProgram(t *testing.T, run func(t *testing.T, name programName, descriptors int)) {
	for _, name := range []programName{sidecarProgram, daemonProgram} {
		for _, descriptors := range []int{minDescriptors, maxDescriptors} {
			t.Run(fmt.Sprintf("%s/%d", name, descriptors), func(t *testing.T) {
				run(t, name, descriptors)
			})
		}
	}
}

// forEachProgramNamed is forEachProgram in a subtest.
func forEachProgramNamed(t *testing.T, name string, run func(t *testing.T, name programName, descriptors int)) {
	t.Run(name, func(t *testing.T) { forEachProgram(t, run) })
}

// process is a running program.
type process struct {
	cmd    *exec.Cmd
	addr   string // for clients
	log    testpeer.LogBuffer
	exited chan struct{} // closed when the process has exited

	memoryMB  int                     // limit on its memory
	config    string                  // path of the configuration file
	discovery *testpeer.FakeDiscovery // of a sidecar

	peakKB atomic.Int64 // of its memory
	killed atomic.Bool  // because its memory exceeded the limit
}

// options describe a process to start.
type options struct {
	program     programName
	descriptors int
	memoryMB    int      // limit on its memory; 0: memoryLimitMB
	endpoints   []string // addresses
	unixSocket  string   // path on which the daemon listens instead of a TCP address

	// The following fields are for processes of one sidecar that run at the same time.
	listener  *os.File // the socket on which they accept clients; nil: each process has its own
	addr      string   // of listener
	sharedDir string   // their TMPDIR; empty: a folder of its own
}

// memory returns the limit on the memory in MB.
func (o options) memory() int { return cmp.Or(o.memoryMB, memoryLimitMB) }

// start starts a program and waits until it serves. The process is killed when the test ends, and
// as soon as its memory exceeds the limit.
func start(t *testing.T, o options) *process {
	t.Helper()
	dir := t.TempDir()
	var command string
	env := []string{"TMPDIR=" + cmp.Or(o.sharedDir, dir), "PATH=" + os.Getenv("PATH")}
	p := &process{exited: make(chan struct{}), memoryMB: o.memory(), config: filepath.Join(dir, "config")}
	switch o.program {
	case sidecarProgram:
		p.startDiscovery(t)
		writeFile(t, p.config, sidecarConfig(t, o, p.discovery))
		env = append(env, platform.EnvConfig+"="+p.config)
		command = filepath.Join(binDir, "sidecar")
	case daemonProgram:
		writeFile(t, p.config, daemonConfig(o))
		command = filepath.Join(binDir, "rowancart") + " serve " + p.config
	}
	p.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", o.descriptors, command))
	p.cmd.Env = env
	if o.listener != nil {
		p.cmd.ExtraFiles = []*os.File{o.listener}
		p.cmd.Env = append(env, platform.EnvAcceptFD+"=3")
	}
	p.run(t)
	p.waitUntilReady(t)
	go p.enforceMemoryLimit()
	return p
}

// run starts the process and reads its log.
func (p *process) run(t *testing.T) {
	t.Helper()
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			fmt.Fprintln(&p.log, lines.Text())
		}
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("log of the process:\n%.4000s", p.log.String())
		}
	})
}

// dial opens a connection of a client to the process.
func (p *process) dial() (net.Conn, error) {
	if strings.HasPrefix(p.addr, "/") {
		return net.Dial("unix", p.addr)
	}
	return net.Dial("tcp", p.addr)
}

var listeningLine = regexp.MustCompile(`msg="?listening.* addr=(127\.0\.0\.1:[0-9]+|/\S+)`)

// waitUntilReady waits until the process answers a health check.
func (p *process) waitUntilReady(t *testing.T) {
	t.Helper()
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if m := listeningLine.FindStringSubmatch(p.log.String()); m != nil {
			p.addr = m[1]
			if conn, err := p.dial(); err == nil {
				_ = conn.SetDeadline(time.Now().Add(time.Second))
				_, _ = io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				conn.Close()
				if err == nil && resp.StatusCode == http.StatusOK {
					return
				}
			}
		}
	}
	t.Fatalf("the process does not serve: %s", p.log.String())
}

// enforceMemoryLimit records the peak of the memory, and kills the process above the limit, as the
// platform does. The pages of program files are not counted.
func (p *process) enforceMemoryLimit() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(memoryInterval):
		}
		kb := memoryKB(p.cmd.Process.Pid)
		if kb > p.peakKB.Load() {
			p.peakKB.Store(kb)
		}
		if kb > int64(p.memoryMB)<<10 && !p.killed.Swap(true) {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
}

// memoryKB returns the resident anonymous and shared memory of a process in KiB; 0 if it is
// unknown.
func memoryKB(pid int) (sum int64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && (fields[0] == "RssAnon:" || fields[0] == "RssShmem:") {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			sum += kb
		}
	}
	return sum
}

// requireWithinMemory fails the test if the process has exceeded its memory limit or has exited.
func (p *process) requireWithinMemory(t *testing.T) {
	t.Helper()
	t.Logf("peak memory: %d KiB, limit %d KiB", p.peakKB.Load(), p.memoryMB<<10)
	if p.killed.Load() {
		t.Errorf("the process had %d KiB of memory, over its limit of %d KiB, and was killed",
			p.peakKB.Load(), p.memoryMB<<10)
		return
	}
	select {
	case <-p.exited:
		t.Errorf("the process has exited: %v", p.cmd.ProcessState)
	default:
	}
}

// startDiscovery starts the discovery service of a sidecar.
func (p *process) startDiscovery(t *testing.T) {
	t.Helper()
	var err error
	p.discovery, err = testpeer.StartDiscovery(testpeer.DiscoveryOptions{EmptyLineFirst: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.discovery.Close)
}

// sidecarConfig returns the configuration of a sidecar, and lists its endpoints at its discovery.
func sidecarConfig(t *testing.T, o options, discovery *testpeer.FakeDiscovery) string {
	t.Helper()
	var known []platform.Endpoint
	for i, addr := range o.endpoints {
		e := testpeer.ListedEndpoint(fmt.Sprintf("s-%d", i), addr, platform.StateReady)
		known = append(known, e)
		discovery.Publish(e)
	}
	const objectiveUs = 2_500_000
	text, err := json.Marshal(platform.ConfigFile{
		Name:           "stress",
		Listen:         cmp.Or(o.addr, "127.0.0.1:0"),
		Discovery:      discovery.Addr(),
		Seed:           "1",
		Limits:         platform.ConfigLimits{Cores: 1, MemoryMB: o.memory(), Sockets: o.descriptors},
		KnownEndpoints: platform.CompleteList(1, known...),
		Settings: platform.SettingsObject{
			Classes: []platform.ClassSettings{
				{Name: "look", Idempotency: platform.Idempotent, LatencyObjectiveUs: objectiveUs},
				{Name: "pay", Idempotency: platform.NonIdempotent, LatencyObjectiveUs: objectiveUs},
			},
			Permissions: platform.Permissions{CancelAllowed: true, MaxAttempts: 4, DialTimeoutUs: 250_000},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// daemonConfig returns the configuration of a daemon.
func daemonConfig(o options) string {
	address := "127.0.0.1:0"
	if o.unixSocket != "" {
		address = "unix:" + o.unixSocket
	}
	var b strings.Builder
	fmt.Fprintf(&b, `limits {
  memory      = "%dMiB"
  connections = %d
}
listener "front" {
  address = %q
}
class "look" {
  effect = "safe"
  aim    = "2500ms"
}
class "pay" {
  effect = "unsafe"
  aim    = "2500ms"
}
pool "all" {
  connections = %d
  roster "static" {
`, o.memory(), o.descriptors/clientShare, address, o.descriptors/clientShare)
	for i, addr := range o.endpoints {
		fmt.Fprintf(&b, "    endpoint \"s-%d\" {\n      address = %q\n    }\n", i, addr)
	}
	b.WriteString("  }\n}\n")
	for _, class := range []string{"look", "pay"} {
		fmt.Fprintf(&b, `route %q {
  path          = "/%s/*"
  class         = %q
  pool          = "all"
  tenant_header = "Req-Owner"
  policy {
    client_waits = "6s"
    tenant_rate  = "1000/s"
  }
}
`, class, class, class)
	}
	return b.String()
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// dial opens a connection of a client whose socket buffers are small, so that little data waits in
// the kernel. It returns nil if the connection fails.
func dial(addr string) *net.TCPConn {
	const bufferSize = 16 << 10
	nc, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return nil
	}
	conn := nc.(*net.TCPConn)
	_ = conn.SetReadBuffer(bufferSize)
	_ = conn.SetWriteBuffer(bufferSize)
	return conn
}
