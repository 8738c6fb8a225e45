package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"rowancart/internal/hotrestart"
	"rowancart/internal/platform"
)

// blockingEndpoint is a fake endpoint that records each request once it has received its head. A
// request whose id begins with blockPrefix is held, with its body unread, until release is closed.
type blockingEndpoint struct {
	net.Listener
	blockPrefix     string
	closeUnanswered bool // close the connections of held requests without a response
	release         chan bool

	mu        sync.Mutex
	started   []string // ids of the requests whose head has been received
	completed []string // ids of those whose body has been received as well
}

// newBlockingEndpoint returns an endpoint on a loopback port that does not accept connections yet.
func newBlockingEndpoint(t *testing.T) *blockingEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newBlockingEndpointOn(t, l)
}

// newBlockingEndpointOn returns an endpoint on a listener, which is closed when the test ends.
func newBlockingEndpointOn(t *testing.T, l net.Listener) *blockingEndpoint {
	t.Cleanup(func() { l.Close() })
	return &blockingEndpoint{Listener: l, blockPrefix: "hang", release: make(chan bool)}
}

// startBlockingEndpoint returns an endpoint that accepts connections.
func startBlockingEndpoint(t *testing.T) *blockingEndpoint {
	t.Helper()
	e := newBlockingEndpoint(t)
	e.startAccepting()
	return e
}

// newFullBacklogEndpoint returns an endpoint whose accept queue is full, so that connections to it
// are not established until startAccepting is called.
func newFullBacklogEndpoint(t *testing.T) *blockingEndpoint {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	l, err := hotrestart.InheritedListener(strconv.Itoa(fd))
	if err != nil {
		t.Fatal(err)
	}
	e := newBlockingEndpointOn(t, l)
	conn, err := net.Dial("tcp", e.addr()) // fills the queue, which holds one connection
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return e
}

func (e *blockingEndpoint) addr() string { return e.Addr().String() }

// startAccepting accepts connections until the listener is closed.
func (e *blockingEndpoint) startAccepting() {
	go func() {
		for {
			conn, err := e.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
}

func (e *blockingEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get(platform.RequestIDHeader)
		e.record(&e.started, id)
		blocks := strings.HasPrefix(id, e.blockPrefix)
		if blocks {
			<-e.release
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		e.record(&e.completed, id)
		if blocks && e.closeUnanswered {
			return
		}
		io.WriteString(conn, okResponse)
	}
}

func (e *blockingEndpoint) record(ids *[]string, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*ids = append(*ids, id)
}

// startedIDs returns the ids of the requests whose head has been received.
func (e *blockingEndpoint) startedIDs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.started)
}

// counts returns how many requests were received up to the end of their head, and how many
// completely.
func (e *blockingEndpoint) counts() (started, completed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.started), len(e.completed)
}

// requireNoneFrom checks that the endpoint has received no request whose id begins with prefix.
func (e *blockingEndpoint) requireNoneFrom(t *testing.T, prefix string) {
	t.Helper()
	for _, id := range e.startedIDs() {
		if strings.HasPrefix(id, prefix) {
			t.Errorf("the request %q was forwarded", id)
		}
	}
}

// listedAll returns the entries of the endpoints in an endpoint list, with the ids a, b, ...
func listedAll(endpoints ...*blockingEndpoint) []platform.Endpoint {
	var entries []platform.Endpoint
	for i, e := range endpoints {
		entries = append(entries, listed(string(rune('a'+i)), e.addr(), platform.StateReady))
	}
	return entries
}
