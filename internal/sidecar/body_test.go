package sidecar

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// bodyPattern is repeated in test bodies. Its length differs from the size of every buffer, so that
// missing, duplicated or reordered bytes change the digest.
var bodyPattern = func() []byte {
	b := make([]byte, 65_537)
	rand.NewChaCha8([32]byte{}).Read(b)
	return b
}()

// patternReader is an endless body that needs no memory. Its value is the current index in
// bodyPattern.
type patternReader int

func (r *patternReader) Read(p []byte) (int, error) {
	n := copy(p, bodyPattern[*r:])
	*r = (*r + patternReader(n)) % patternReader(len(bodyPattern))
	return n, nil
}

// testBody returns a body of the given length. Each seed gives a different body.
func testBody(seed uint64, length int64) io.Reader {
	r := patternReader(seed * 997 % uint64(len(bodyPattern)))
	return io.LimitReader(&r, length)
}

// digest reads to the end and returns the checksum and number of the bytes.
func digest(t *testing.T, r io.Reader) (sum [32]byte, n int64) {
	t.Helper()
	h := sha256.New()
	n, err := io.Copy(h, r)
	if err != nil {
		t.Error(err)
	}
	return [32]byte(h.Sum(nil)), n
}

// heapInUse runs a garbage collection and returns the number of bytes that are then in use on the
// heap.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse)
}

// writeBody writes a response with the body of a seed, with Content-Length for even seeds and
// chunked for odd ones. It reports whether the response was written completely.
func writeBody(conn net.Conn, seed uint64, size int64) bool {
	if seed%2 == 0 {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		_, err := io.Copy(conn, testBody(seed, size))
		return err == nil
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	chunk := make([]byte, 100_000)
	for in := testBody(seed, size); ; {
		n, err := io.ReadFull(in, chunk)
		if n > 0 {
			fmt.Fprintf(conn, "%x;part=1\r\n%s\r\n", n, chunk[:n])
		}
		if err != nil {
			break
		}
	}
	_, err := fmt.Fprint(conn, "0\r\nEnd: yes\r\n\r\n")
	return err == nil
}

// 100 clients do not read their responses of 2 MB each, 200 MB in total under a memory limit of
// 64 MB. The sidecar must keep little of that in memory, and every response must arrive complete
// once its client reads on.
func TestLongResponsesUseBoundedMemory(t *testing.T) {
	const responses, size = 100, 2 << 20
	e := newEndpoint(t, func(conn net.Conn, r *http.Request, _ int) bool {
		var seed uint64
		fmt.Sscan(r.URL.Query().Get("seed"), &seed)
		return writeBody(conn, seed, size)
	})
	s := testOptions{
		limits:    platform.ConfigLimits{MemoryMB: 64, Sockets: 1024},
		settings:  longWaitSettings(), // on a busy machine, responses start late and one after the other
		endpoints: []platform.Endpoint{listed("a", e.Addr, platform.StateReady)},
	}.start(t)
	before := heapInUse()
	var begun, all sync.WaitGroup
	begun.Add(responses)
	resume := make(chan bool)
	for i := range responses {
		all.Go(func() {
			resp, err := s.getWithSmallBuffer(t, fmt.Sprint("/look?seed=", i), fmt.Sprint("r", i))
			begun.Done()
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("request %d: response %v, error %v", i, resp, err)
				return
			}
			<-resume
			want, _ := digest(t, testBody(uint64(i), size))
			if got, n := digest(t, resp.Body); got != want {
				t.Errorf("request %d: the body differs from the one sent; got %d bytes", i, n)
			}
		})
	}
	begun.Wait()
	if grown := heapInUse() - before; grown > 40<<20 { // includes the fake endpoint's buffers
		t.Errorf("the heap has grown by %d MB while no client reads", grown>>20)
	}
	close(resume)
	all.Wait()
}

// getWithSmallBuffer sends a request on a connection with a small receive buffer, so that the
// kernel holds little of the response. The connection is closed when the test ends.
func (s *testSidecar) getWithSmallBuffer(t *testing.T, path, id string) (*http.Response, error) {
	r := s.newRequest(t, http.MethodGet, path, id, 60000)
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { conn.Close() })
	conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	if err := r.Write(conn); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), r)
}

// Request bodies that fit into the buffer of a request are buffered, and longer ones are streamed.
// Both must arrive unchanged, with Content-Length and chunked.
func TestLongBodiesArriveUnchanged(t *testing.T) {
	received := make(chan [32]byte, 100)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sum, _ := digest(t, r.Body)
		received <- sum
		io.WriteString(w, "hi")
	}))
	t.Cleanup(e.Close)
	s := startSidecarWithLimits(t, platform.ConfigLimits{MemoryMB: 32}, e.Listener.Addr().String())
	for i, size := range []int64{0, 1, 64 << 10, 64<<10 + 1, 300_000, 1 << 20, 3 << 20, 32 << 20} {
		for _, withLength := range []bool{true, false} {
			r := s.newRequest(t, http.MethodPost, "/pay", fmt.Sprint("r", i, withLength), 60000)
			r.Body = io.NopCloser(testBody(uint64(i), size))
			r.ContentLength = -1
			if withLength {
				r.ContentLength = size
			}
			resp := sendRequest(t, r)
			if resp.status != http.StatusOK || resp.body != "hi" {
				t.Fatalf("%d bytes, with Content-Length %v: status %d, body %q", size, withLength, resp.status, resp.body)
			}
			want, _ := digest(t, testBody(uint64(i), size))
			if sum := <-received; sum != want {
				t.Errorf("%d bytes, with Content-Length %v: the body that arrived differs", size, withLength)
			}
		}
	}
}

// startUpload sends a request whose Content-Length is length. It sends only the first bytes of the
// body, as many as sent says, and does so in the background.
func (s *testSidecar) startUpload(t *testing.T, id string, length, sent int64) net.Conn {
	t.Helper()
	conn := s.dial(t)
	fmt.Fprintf(conn, "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Deadline-Ms: 60000\r\n"+
		"Content-Length: %d\r\n\r\n", id, length)
	conn.SetDeadline(time.Now().Add(testTimeout))
	go io.Copy(conn, testBody(1, sent)) // the response may arrive before all of it is sent
	return conn
}

// readUploadResponse reads the response to an upload.
func readUploadResponse(conn net.Conn) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// newResettingEndpoint returns the address of an endpoint that reads the first part of a body and
// then resets the connection.
func newResettingEndpoint(t *testing.T) string {
	t.Helper()
	l := testpeer.ListenWithSmallBuffer(t) // too small for the unread rest of a body
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			io.CopyN(io.Discard, conn, 200_000)
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}()
	return l.Addr().String()
}

// newCountingEndpoint starts an endpoint that serves all requests, and returns its address and the
// counter of the requests that it has served.
func newCountingEndpoint(t *testing.T) (addr string, ran *atomic.Int32) {
	t.Helper()
	ran = new(atomic.Int32)
	e := newEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		ran.Add(1)
		io.WriteString(conn, okResponse)
		return true
	})
	return e.Addr, ran
}

// A request with a buffered body is retried after its endpoint resets the connection. One with a
// streamed body can't be retried, but it has not run if the end of its body was never written. No
// request may run twice.
func TestFailedUploadNeverRunsTwice(t *testing.T) {
	const length = 12 << 20
	resetting := newResettingEndpoint(t)
	counting, ran := newCountingEndpoint(t)
	t.Run("buffered", func(t *testing.T) {
		// The body must be longer than the kernel's send buffer, which is 4 MB at most: a body that
		// fits is written completely before the reset is seen, and its request may have run.
		s := startSidecarWithLimits(t, platform.ConfigLimits{MemoryMB: 512}, resetting, counting)
		for i := range 6 { // the balancer may choose either endpoint first
			resp, err := readUploadResponse(s.startUpload(t, fmt.Sprint("buffered", i), length, length))
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("response %v, error %v; want status 200", resp, err)
			}
			if n := ran.Swap(0); n != 1 {
				t.Errorf("the request ran %d times, want once", n)
			}
		}
	})
	t.Run("reset by its endpoint", func(t *testing.T) {
		s := startSidecarWithLimits(t, platform.ConfigLimits{MemoryMB: 32}, resetting)
		// The client leaves out the last byte, so that the reset is seen before the body is complete.
		resp, err := readUploadResponse(s.startUpload(t, "streamed", length, length-1))
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("response %+v, error %v; want status 503 and a closed connection", resp, err)
		}
	})
	t.Run("aborted by its client", func(t *testing.T) {
		s := startSidecarWithLimits(t, platform.ConfigLimits{MemoryMB: 32}, counting)
		conn := s.startUpload(t, "aborted", 8<<20, 2<<20)
		waitUntil(t, "the upload is in flight", func() bool { return s.metric(t, "sidecar_concurrent") > 0 })
		conn.(*net.TCPConn).CloseWrite()
		resp, err := readUploadResponse(conn)
		if err != nil || resp.StatusCode != http.StatusBadRequest {
			t.Errorf("response %+v, error %v; want status 400", resp, err)
		}
		if n := ran.Load(); n != 0 {
			t.Errorf("the aborted upload ran %d times", n)
		}
		if status := s.get(t, "/look", "next", 4000); status != http.StatusOK {
			t.Errorf("the next request gets status %d, want 200", status)
		}
	})
}

// An endpoint may respond before it has received the complete body. Its response must be forwarded,
// and the rest of the body must not be parsed as the next request.
func TestResponseBeforeEndOfBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				io.WriteString(conn, okResponse)
			}
			defer conn.Close()
		}
	}()
	s := startSidecarWithLimits(t, platform.ConfigLimits{MemoryMB: 32}, l.Addr().String())
	resp, err := readUploadResponse(s.startUpload(t, "early", 8<<20, 8<<20-1))
	if err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("response %+v, error %v; want status 200 and a closed connection", resp, err)
	}
}
