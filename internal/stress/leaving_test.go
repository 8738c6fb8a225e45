package stress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

const (
	// leaveSlack is how long after its client has left an attempt may still begin.
	leaveSlack     = 100 * time.Millisecond
	pipelinedCount = 200 // requests that a client sends at once
	settleTime     = 2 * time.Second
)

// leaveWays are the ways in which a client ends its connection.
var leaveWays = map[string]func(conn net.Conn){
	"close": func(conn net.Conn) { conn.Close() },
	"reset": func(conn net.Conn) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	},
}

// Guards against requests that are sent on after their client has closed its connection with much
// still unread.
func TestRequestsOfAClientThatLeftAreNotSentOn(t *testing.T) {
	for way, leave := range leaveWays {
		for _, network := range []string{"tcp", "unix"} {
			forEachProgramNamed(t, way+"/"+network, func(t *testing.T, program programName, descriptors int) {
				t.Parallel()
				endpoints, addrs := startEndpoints(t, respondAfter(endpointTime))
				o := options{program: program, descriptors: descriptors, endpoints: addrs}
				if network == "unix" {
					o.program = daemonProgram // the sidecar listens on TCP addresses alone
					o.unixSocket = filepath.Join(t.TempDir(), "socket")
				}
				p := start(t, o)
				conn, err := p.dial()
				if err != nil {
					t.Fatal(err)
				}
				var text strings.Builder
				for n := range pipelinedCount {
					text.WriteString(headText("POST", "/pay/a", fmt.Sprint("left-", n), "Content-Length: 2") + "\r\nhi")
				}
				_, _ = io.WriteString(conn, text.String())
				testpeer.WaitUntil(t, "some requests have reached an endpoint", func() bool {
					return len(receivedTimes(endpoints, "left-")) >= 3
				})
				leave(conn)
				left := time.Now()
				time.Sleep(settleTime)
				times := receivedTimes(endpoints, "left-")
				late := 0
				for _, at := range times {
					if at.After(left.Add(leaveSlack)) {
						late++
					}
				}
				t.Logf("%d of %d requests reached an endpoint, %d later than %v after the client left",
					len(times), pipelinedCount, late, leaveSlack)
				if late > 0 {
					t.Errorf("%d requests reached an endpoint after their client had left", late)
				}
			})
		}
	}
}

// Guards against an id that runs twice when it comes again after its client has left.
func TestIDOfAClientThatLeftDoesNotRunAgain(t *testing.T) {
	const between = 10_000 // requests of others before the id comes again
	for _, delay := range []time.Duration{0, 10 * time.Millisecond, 100 * time.Millisecond} {
		forEachProgramNamed(t, delay.String(), func(t *testing.T, program programName, descriptors int) {
			t.Parallel()
			endpoints, addrs := startEndpoints(t, respondAfter(10*endpointTime))
			p := start(t, options{program: program, descriptors: descriptors, endpoints: addrs})
			for n := range 5 {
				id := fmt.Sprint("again-", n)
				p.sendAndLeave(t, id, delay)
				status := p.send(t, id)
				if runs := len(receivedTimes(endpoints, id)); runs > 1 {
					t.Errorf("the request ran %d times, the second got status %d", runs, status)
				}
			}
			p.sendHopeless(t, between)
			p.send(t, "again-0")
			if runs := len(receivedTimes(endpoints, "again-0")); runs > 1 {
				t.Errorf("after %d requests of others the request ran %d times", between, runs)
			}
		})
	}
}

// sendAndLeave sends a request that must not run twice, and closes the connection after a delay.
func (p *process) sendAndLeave(t *testing.T, id string, delay time.Duration) {
	t.Helper()
	conn, err := p.dial()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, headText("POST", "/pay/a", id, "Content-Length: 2")+"\r\nhi")
	time.Sleep(delay)
	conn.Close()
}

// send sends a request that must not run twice on a new connection, and returns the status of its
// response, or 0.
func (p *process) send(t *testing.T, id string) (status int) {
	t.Helper()
	conn, err := p.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return exchange(conn, headText("POST", "/pay/a", id, "Content-Length: 2")+"\r\nhi")
}

// sendHopeless sends requests of which none has enough time, on several connections, and waits for
// their responses.
func (p *process) sendHopeless(t *testing.T, count int) {
	t.Helper()
	const connections = 20
	var clients sync.WaitGroup
	for c := range connections {
		clients.Go(func() {
			conn := dial(p.addr)
			if conn == nil {
				t.Error("no connection")
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for n := range count / connections {
				text := fmt.Sprintf("GET /look/a HTTP/1.1\r\nHost: h\r\nReq-Id: between-%d-%d\r\nReq-Deadline-Ms: 1\r\n\r\n", c, n)
				if !request(conn, reader, text) {
					t.Errorf("hopeless request %d is not answered", n)
					return
				}
			}
		})
	}
	clients.Wait()
}

// Guards against an id that runs twice because it comes again at the other process of an upgrade.
func TestIDDoesNotRunAgainAtTheOtherProcess(t *testing.T) {
	t.Run("sidecar", func(t *testing.T) {
		t.Parallel()
		endpoints, addrs := startEndpoints(t, respondOK)
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer socket.Close()
		listener, err := socket.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		o := options{
			program: sidecarProgram, descriptors: minDescriptors, endpoints: addrs,
			listener: listener, addr: socket.Addr().String(), sharedDir: t.TempDir(),
		}
		first := start(t, o)
		kept := first.keptConnections(t)
		start(t, o)
		testpeer.WaitUntil(t, "the first process has paused accepting", func() bool {
			return strings.Contains(first.log.String(), "msg=superseded")
		})
		requireRunsOnce(t, endpoints, first, kept)
	})
	t.Run("daemon", func(t *testing.T) {
		t.Parallel()
		endpoints, addrs := startEndpoints(t, respondOK)
		first := start(t, options{program: daemonProgram, descriptors: minDescriptors, endpoints: addrs})
		kept := first.keptConnections(t)
		first.startSuccessor(t)
		requireRunsOnce(t, endpoints, first, kept)
	})
}

// keptIDs are the ids of the requests that keptConnections sends, and connections to the process
// that has answered them.
type keptIDs struct {
	ids   []string
	conns []net.Conn
}

// keptConnections sends requests, each on a connection that stays open.
func (p *process) keptConnections(t *testing.T) keptIDs {
	t.Helper()
	var kept keptIDs
	for n := range 5 {
		conn, err := p.dial()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		id := fmt.Sprint("before-", n)
		if status := exchange(conn, headText("POST", "/pay/a", id, "Content-Length: 2")+"\r\nhi"); status != http.StatusOK {
			t.Fatalf("%s: status %d", id, status)
		}
		kept.ids, kept.conns = append(kept.ids, id), append(kept.conns, conn)
	}
	return kept
}

// requireRunsOnce sends ids that the first process has answered to its successor, and ids that the
// successor has answered on the connections to the first process. None may run again.
func requireRunsOnce(t *testing.T, endpoints []*endpoint, p *process, kept keptIDs) {
	t.Helper()
	for _, id := range kept.ids {
		status := p.send(t, id)
		if runs := len(receivedTimes(endpoints, id)); runs != 1 {
			t.Errorf("%s, which the first process has answered, ran %d times; the successor answers %d", id, runs, status)
		}
	}
	for n, conn := range kept.conns {
		id := fmt.Sprint("after-", n)
		if status := p.send(t, id); status != http.StatusOK {
			t.Errorf("%s: the successor answers %d", id, status)
		}
		status := exchange(conn, headText("POST", "/pay/a", id, "Content-Length: 2")+"\r\nhi")
		if runs := len(receivedTimes(endpoints, id)); runs != 1 {
			t.Errorf("%s, which the successor has answered, ran %d times; the first process answers %d", id, runs, status)
		}
	}
}

var successorLine = regexp.MustCompile(`msg="handover completed".* pid=(\d+)`)

// startSuccessor makes a daemon hand over to a successor, which is killed when the test ends.
func (p *process) startSuccessor(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGUSR2); err != nil {
		t.Fatal(err)
	}
	testpeer.WaitUntil(t, "a successor serves", func() bool { return successorLine.MatchString(p.log.String()) })
	pid, err := strconv.Atoi(successorLine.FindStringSubmatch(p.log.String())[1])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Kill(pid, syscall.SIGKILL) })
}
