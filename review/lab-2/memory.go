package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	longAnswer      = 4 << 20 // bytes; the pages allow 32 MB
	longAnswerPiece = 16 << 10
	smallSocket     = 64 << 10 // bytes of the stand-ins' socket buffers, so that little waits in the kernel
)

// memory plays clients that take seconds to read long answers of unknown length, as many as may
// hold requests. The platform kills the sidecar if its memory exceeds the limit.
func memory(r *run) error {
	const (
		memoryMB  = 32
		sockets   = 1024
		clients   = sockets / 3 // "at most a third of the descriptors for requests"
		arrivals  = 15 * time.Millisecond
		deadline  = 6 * time.Second
		readingBy = 10 * time.Second // for one answer
		length    = 20 * time.Second
	)
	var members []member
	for i := range 12 {
		e, err := startEndpoint(fmt.Sprintf("s-%d", i), serveLongAnswer)
		if err != nil {
			return err
		}
		members = append(members, member{e.id, e.addr(), "Ready", 0})
	}
	d, err := startDiscovery(members)
	if err != nil {
		return err
	}
	p, addr, err := r.startSidecar("sidecar", sidecarConfig(d.addr(), memoryMB, sockets, members))
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	ends := map[string]int{}
	for i := range clients {
		group.Go(func() {
			time.Sleep(time.Duration(i) * arrivals)
			pace := time.Duration(0)
			if r.trouble {
				pace = readingBy / (longAnswer / longAnswerPiece)
			}
			end := readLongAnswer(addr, deadline, pace)
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
	}
	most, killed := 0, false
	for until := time.Now().Add(length); time.Now().Before(until) && !p.hasExited(); time.Sleep(20 * time.Millisecond) {
		kb, err := anonymousKB(p.cmd.Process.Pid)
		if err != nil {
			break
		}
		most = max(most, kb)
		if kb > memoryMB<<10 && !killed {
			killed = true
			r.breakRule("the sidecar has %d KiB of anonymous memory, over its limit of %d KiB, and is killed", kb, memoryMB<<10)
			p.signal(syscall.SIGKILL)
		}
	}
	group.Wait()
	r.logf("%d clients; at most %d KiB of anonymous memory, the limit is %d KiB", clients, most, memoryMB<<10)
	r.logf("ends of the requests: %v", ends)
	if !killed && ends["200, whole"] < clients*9/10 {
		return fmt.Errorf("too few requests were served: %v", ends)
	}
	return nil
}

// serveLongAnswer answers 200 with a long body in chunks.
func serveLongAnswer(_ *endpoint, _ arrival, nc net.Conn) bool {
	_ = nc.(*net.TCPConn).SetWriteBuffer(smallSocket)
	time.Sleep(20 * time.Millisecond)
	if _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	piece := strings.Repeat("a", longAnswerPiece)
	for sent := 0; sent < longAnswer; sent += len(piece) {
		if _, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			return false
		}
	}
	_, err := io.WriteString(nc, "0\r\n\r\n")
	return err == nil
}

// readLongAnswer sends a request and reads its answer in pieces, with a pause after each. It
// returns how the request ended.
func readLongAnswer(addr string, deadline, pause time.Duration) string {
	c, err := dialClient(addr)
	if err != nil {
		return "not connected"
	}
	defer c.close()
	_ = c.conn.(*net.TCPConn).SetReadBuffer(smallSocket)
	_ = c.conn.SetDeadline(time.Now().Add(40 * time.Second))
	if _, err := io.WriteString(c.conn, requestText("GET", "form-lookup", newID(), deadline, "")); err != nil {
		return "not sent"
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	total := 0
	for piece := make([]byte, longAnswerPiece); ; time.Sleep(pause) {
		n, err := io.ReadFull(resp.Body, piece)
		total += n
		if err != nil {
			break
		}
	}
	if total < longAnswer && resp.StatusCode == http.StatusOK {
		return "200, cut off"
	}
	return fmt.Sprintf("%d, whole", resp.StatusCode)
}

// anonymousKB returns the anonymous memory of a process in KiB. It leaves out the pages of files.
func anonymousKB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			return strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return 0, fmt.Errorf("no RssAnon of process %d", pid)
}
