package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

// Guards against requests without an answer when further signals arrive while a stop waits for an
// endpoint that hangs.
func TestSignalsDuringAStopLoseNoRequest(t *testing.T) {
	arrived := make(chan bool, 1)
	hangs := testpeer.StartEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		arrived <- true
		_, _ = nc.Read(make([]byte, 1)) // until the connection is closed
		return false
	})
	d := startReplaceableWithTimeout(t, hangs.Addr, time.Second)
	conn, err := net.Dial("unix", d.socket)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testpeer.WaitTimeout))
	_, _ = io.WriteString(conn, "POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nform")
	<-arrived
	d.signal(t, syscall.SIGTERM)
	d.log.wait(t, 1, "shutdown started()")
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR2} {
		d.signal(t, s)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("response %+v, error %v; want status 502", resp, err)
	}
	if err := d.first.Wait(); err != nil {
		t.Errorf("the daemon exited with %v", err)
	}
}
