package stress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

const (
	stuckUploads    = 8
	stuckWait       = 2500 * time.Millisecond
	stuckMemoryMB   = 96
	smallestUpload  = 2_200_000 // bytes
	uploadIncrement = 100_000   // bytes
)

// readUpTo returns a responder that reads so many bytes of a body and then nothing more.
func readUpTo(bytes int) responder {
	return func(_ net.Conn, r *http.Request) bool {
		_, _ = io.ReadFull(r.Body, make([]byte, bytes))
		time.Sleep(time.Minute)
		return false
	}
}

// readAt returns a responder that reads a body at a rate in bytes per second.
func readAt(rate int) responder {
	const pause = 20 * time.Millisecond
	return func(conn net.Conn, r *http.Request) bool {
		buffer := make([]byte, rate*int(pause/time.Millisecond)/1000)
		for {
			if _, err := io.ReadFull(r.Body, buffer); err != nil {
				return respondOK(conn, r)
			}
			time.Sleep(pause)
		}
	}
}

// uploadAtOnce sends uploads at the same time and returns what their clients got.
func uploadAtOnce(t *testing.T, p *process, chunked bool) []uploadResult {
	t.Helper()
	results := make([]uploadResult, stuckUploads)
	var group sync.WaitGroup
	for i := range results {
		conn, err := p.dial()
		if err != nil {
			t.Fatal(err)
		}
		group.Go(func() {
			results[i] = upload(conn, uploadRequest{
				id: fmt.Sprint("up-", i), size: smallestUpload + i*uploadIncrement, chunked: chunked, wait: stuckWait,
			})
		})
	}
	group.Wait()
	return results
}

// requireInTime fails the test for each result that came later than the pages allow.
func requireInTime(t *testing.T, results []uploadResult, wait time.Duration) {
	t.Helper()
	for i, r := range results {
		t.Logf("upload %d: status %d, %v after the last byte, sent in %v, all sent: %v",
			i, r.status, r.afterLast.Round(time.Millisecond), r.sending.Round(time.Millisecond), r.complete)
		if r.status == 0 || r.complete && r.afterLast > wait+answerSlack {
			t.Errorf("upload %d: status %d came %v after the last byte, want %v at most",
				i, r.status, r.afterLast, wait+answerSlack)
		}
	}
}

// Guards against uploads that get no answer while their endpoint doesn't read, or reads slowly.
func TestUploadsToStuckEndpointsAreAnsweredInTime(t *testing.T) {
	for name, respond := range map[string]responder{
		"stops at 5 KB": readUpTo(5 << 10), "stops at 20 KB": readUpTo(20 << 10), "400 kB per s": readAt(400_000),
	} {
		for _, chunked := range []bool{false, true} {
			for _, program := range []programName{sidecarProgram, daemonProgram} {
				t.Run(fmt.Sprintf("%s/chunked %v/%s", name, chunked, program), func(t *testing.T) {
					t.Parallel()
					_, addrs := startEndpointsOn(t, respond, func() net.Listener { return testpeer.ListenWithEthernetMSS(t) })
					p := start(t, options{
						program: program, descriptors: maxDescriptors, memoryMB: stuckMemoryMB, endpoints: addrs,
					})
					requireInTime(t, uploadAtOnce(t, p, chunked), stuckWait)
				})
			}
		}
	}
}
