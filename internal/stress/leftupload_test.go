package stress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"rowancart/internal/testpeer"
)

const (
	// leftMemoryMB is a memory limit with which the part of one body that a sidecar keeps, a
	// thirty-second of it, is longer than the buffers of a connection to an endpoint.
	leftMemoryMB = 512
	// blockedFor is how long a sender's queue must not have changed to count as blocked.
	blockedFor = 50 * time.Millisecond
	// siocOutqNSD is Linux's SIOCOUTQNSD, the ioctl for the number of bytes that were not sent yet.
	siocOutqNSD = 0x894B
)

// Guards against attempts that begin after the client closed, where data stands before the close.
//
// The first attempt is held at an endpoint that reads nothing, so that the sidecar stops reading
// from its client, and the client's close waits in the client's kernel behind unsent data. The
// attempt then fails as not run.
func TestNoAttemptBeginsAfterTheClientOfAnUploadLeft(t *testing.T) {
	begun := make(chan time.Time, endpointCount)
	mayFail := make(chan struct{})
	_, addrs := startEndpointsOn(t, func(conn net.Conn, _ *http.Request) bool {
		begun <- time.Now()
		<-mayFail
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		return false
	}, func() net.Listener { return testpeer.ListenWithSmallBuffer(t) })
	p := start(t, options{program: sidecarProgram, descriptors: minDescriptors, memoryMB: leftMemoryMB, endpoints: addrs})
	conn, err := p.dial()
	if err != nil {
		t.Fatal(err)
	}
	go writeEndlessUpload(conn)
	first := <-begun
	waitUntilBlocked(t, conn.(*net.TCPConn))
	conn.Close()
	left := time.Now()
	time.AfterFunc(2*leaveSlack, func() { close(mayFail) }) // a later attempt is too late
	testpeer.WaitUntil(t, "the first attempt has failed", func() bool {
		return strings.Contains(p.log.String(), `msg="attempt failed"`)
	})
	// The sidecar decides on a further attempt together with the failure, and exits only once all
	// attempts have ended.
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.exited
	if !first.Before(left) {
		t.Fatalf("the first attempt began %v after the client had left", first.Sub(left))
	}
	for len(begun) > 0 {
		if after := (<-begun).Sub(left); after > leaveSlack {
			t.Errorf("an attempt began %v after its client left, want %v at most", after, leaveSlack)
		}
	}
}

// writeEndlessUpload sends a chunked upload until the connection is closed.
func writeEndlessUpload(conn net.Conn) {
	u := uploadRequest{id: "up", chunked: true, wait: 2 * stuckWait}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	for _, err := io.WriteString(conn, u.head()); err == nil; {
		_, err = io.WriteString(conn, chunk)
	}
}

// waitUntilBlocked waits until the peer of a connection accepts no more data, and some is left that
// has not been sent.
func waitUntilBlocked(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	last, since := int32(0), time.Now()
	testpeer.WaitUntil(t, "data is blocked in the client's queue", func() bool {
		unsent := unsentBytes(t, conn)
		if unsent != last {
			last, since = unsent, time.Now()
		}
		return unsent > 0 && time.Since(since) >= blockedFor
	})
}

// unsentBytes returns how many of the bytes that were written to a connection have not been sent.
func unsentBytes(t *testing.T, conn *net.TCPConn) (n int32) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, fd, siocOutqNSD, uintptr(unsafe.Pointer(&n)))
	})
	if err != nil || errno != 0 {
		t.Fatalf("unsent bytes: %v, %v", err, errno)
	}
	return n
}
