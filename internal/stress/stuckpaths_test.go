package stress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

const (
	pathMemoryMB   = 64 // so that a part of the upload is in memory and the rest is not
	pathUploadSize = 3_000_000
	midwayAfter    = 500 * time.Millisecond
	exitTimeout    = 10 * time.Second
	logInterval    = 20 * time.Millisecond // between two looks at the log
)

// startStuck starts a program and endpoints whose connections have an Ethernet's segment size.
func startStuck(t *testing.T, program programName, respond responder) (*process, options) {
	t.Helper()
	_, addrs := startEndpointsOn(t, respond, func() net.Listener { return testpeer.ListenWithEthernetMSS(t) })
	o := options{program: program, descriptors: maxDescriptors, memoryMB: pathMemoryMB, endpoints: addrs}
	return start(t, o), o
}

// eachStuckProgram runs a test for both programs and both framings, in parallel.
func eachStuckProgram(t *testing.T, run func(t *testing.T, program programName, u uploadRequest)) {
	for _, program := range []programName{sidecarProgram, daemonProgram} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/chunked %v", program, chunked), func(t *testing.T) {
				t.Parallel()
				run(t, program, uploadRequest{id: "up", size: pathUploadSize, chunked: chunked, wait: stuckWait})
			})
		}
	}
}

// sendUpload sends the upload on a new connection and applies a change midway. It returns what the
// client got.
func sendUpload(t *testing.T, p *process, u uploadRequest, midway func()) uploadResult {
	t.Helper()
	conn, err := p.dial()
	if err != nil {
		t.Fatal(err)
	}
	changed := time.AfterFunc(midwayAfter, midway)
	defer changed.Stop()
	return upload(conn, u)
}

// Guards against uploads that get no answer in time because something changes while they are stuck.
func TestStuckUploadIsAnsweredInTimeAcrossChanges(t *testing.T) {
	for name, respond := range map[string]responder{"stops": readUpTo(20 << 10), "400 kB per s": readAt(400_000)} {
		t.Run(name, func(t *testing.T) {
			eachStuckProgram(t, func(t *testing.T, program programName, u uploadRequest) {
				changes := midwayChanges(program)
				changes["SIGTERM twice"] = func(_ *testing.T, p *process, _ options) {
					_ = p.cmd.Process.Signal(syscall.SIGTERM)
					_ = p.cmd.Process.Signal(syscall.SIGTERM)
				}
				for change, apply := range changes {
					t.Run(change, func(t *testing.T) {
						p, o := startStuck(t, program, respond)
						r := sendUpload(t, p, u, func() { apply(t, p, o) })
						requireInTime(t, []uploadResult{r}, u.wait)
					})
				}
			})
		})
	}
}

// Guards against a shutdown that a stuck upload keeps from ending, or that ends without its answer.
func TestShutdownEndsWithAStuckUpload(t *testing.T) {
	eachStuckProgram(t, func(t *testing.T, program programName, u uploadRequest) {
		u.wait = 10 * time.Second // longer than the shutdown
		p, _ := startStuck(t, program, readUpTo(20<<10))
		r := sendUpload(t, p, u, func() { _ = p.cmd.Process.Signal(syscall.SIGTERM) })
		if r.status != http.StatusServiceUnavailable && r.status != http.StatusBadGateway {
			t.Errorf("status %d, want an answer before the end of the process", r.status)
		}
		select {
		case <-p.exited:
			if !p.cmd.ProcessState.Success() && program == sidecarProgram {
				t.Errorf("the process has ended with %v", p.cmd.ProcessState)
			}
		case <-time.After(exitTimeout):
			t.Errorf("the process has not ended within %v", exitTimeout)
		}
	})
}

// Guards against an early answer that is noticed only when the client's time is over.
func TestEarlyAnswerToAStuckUploadIsPassedOn(t *testing.T) {
	const most = time.Second
	answerEarly := func(conn net.Conn, r *http.Request) bool {
		_, _ = io.ReadFull(r.Body, make([]byte, 20<<10))
		time.Sleep(midwayAfter) // the write blocks by now
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(time.Minute)
		return false
	}
	eachStuckProgram(t, func(t *testing.T, program programName, u uploadRequest) {
		p, _ := startStuck(t, program, answerEarly)
		start := time.Now()
		r := sendUpload(t, p, u, func() {})
		if took := time.Since(start); r.status != http.StatusOK || took > most {
			t.Errorf("status %d after %v, want 200 within %v", r.status, took, most)
		}
	})
}

// Guards against an upload that is given up although its endpoint closed, so that it has not run.
func TestUploadGoesToAnotherEndpointIfOneClosesEarly(t *testing.T) {
	eachStuckProgram(t, func(t *testing.T, program programName, u uploadRequest) {
		var connections atomic.Int32
		p, _ := startStuck(t, program, func(conn net.Conn, r *http.Request) bool {
			if connections.Add(1) > 1 {
				return respondOK(conn, r)
			}
			_, _ = io.ReadFull(r.Body, make([]byte, 20<<10))
			time.Sleep(midwayAfter)
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			return false
		})
		if r := sendUpload(t, p, u, func() {}); r.status != http.StatusOK && r.status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 200 of another endpoint, or a refusal if the body can't be sent again", r.status)
		} else if connections.Load() > 1 && r.status != http.StatusOK {
			t.Errorf("status %d of an upload that another endpoint has run", r.status)
		}
	})
}

// Guards against a stuck attempt that outlives its client. A reset is seen at once; a close may
// stand behind data in the client's kernel, and the attempt then ends with the client's time.
func TestStuckUploadEndsWhenItsClientLeaves(t *testing.T) {
	for name, way := range map[string]struct {
		leave func(*net.TCPConn)
		most  time.Duration // from leaving to the end of the attempt
	}{
		"reset": {func(conn *net.TCPConn) { _ = conn.SetLinger(0); conn.Close() }, time.Second},
		"close": {func(conn *net.TCPConn) { conn.Close() }, stuckWait + answerSlack},
	} {
		t.Run(name, func(t *testing.T) {
			eachStuckProgram(t, func(t *testing.T, program programName, u uploadRequest) {
				p, _ := startStuck(t, program, readUpTo(20<<10))
				conn, err := p.dial()
				if err != nil {
					t.Fatal(err)
				}
				go func() { _, _ = io.WriteString(conn, u.head()); _ = u.writeBody(conn) }()
				time.Sleep(midwayAfter)
				way.leave(conn.(*net.TCPConn))
				for left := time.Now(); !strings.Contains(p.log.String(), "attempt failed"); time.Sleep(logInterval) {
					if time.Since(left) > way.most {
						t.Fatalf("the attempt is still in flight %v after its client left", way.most)
					}
				}
			})
		})
	}
}

// Guards against a client that has sent more, or the end of its side, and gets no answer.
func TestStuckUploadWithMoreBehindItIsAnsweredInTime(t *testing.T) {
	for name, after := range map[string]func(net.Conn){
		"half-close": func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() },
		"another request": func(conn net.Conn) {
			_, _ = io.WriteString(conn, "GET /look/a HTTP/1.1\r\nHost: h\r\nReq-Id: next\r\nReq-Deadline-Ms: 1000\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			eachStuckProgram(t, func(t *testing.T, program programName, u uploadRequest) {
				p, _ := startStuck(t, program, readUpTo(20<<10))
				conn, err := p.dial()
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				sent := make(chan time.Time, 1)
				go func() {
					_, _ = io.WriteString(conn, u.head())
					_ = u.writeBody(conn)
					sent <- time.Now()
					after(conn)
				}()
				_ = conn.SetReadDeadline(time.Now().Add(u.wait + 4*time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if late := time.Since(<-sent) - u.wait; err != nil || late > answerSlack {
					t.Errorf("response %v, error %v, %v after its time", resp, err, late)
				}
			})
		})
	}
}
