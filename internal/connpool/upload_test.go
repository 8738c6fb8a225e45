package connpool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"rowancart/internal/sharedbody"
	"rowancart/internal/testpeer"
)

const (
	uploadPartSize  = 64 << 10 // bytes
	uploadParts     = 16       // parts of an upload that are in memory; more than the sockets' buffers hold
	uploadRestSize  = 1 << 20  // bytes that are read from the client
	smallSendBuffer = 16 << 10 // bytes
)

// uploadEndpoint is a fake endpoint that receives one upload on each connection. It begins to read
// the body once resume is closed, and responds to a complete one.
type uploadEndpoint struct {
	addr          string
	headsReceived chan bool // gets a value for each head
	resume        chan bool
	abort         chan bool           // closed to close the connections without reading a body
	uploads       chan receivedUpload // gets the result of each upload
}

// receivedUpload is the body that an endpoint has received, or the part of it before err.
type receivedUpload struct {
	body []byte
	err  error
}

// startUploadEndpoint starts an endpoint whose receive buffer is small, so that a request to it
// blocks before all of it is written.
func startUploadEndpoint(t *testing.T) *uploadEndpoint {
	t.Helper()
	l := testpeer.ListenWithSmallBuffer(t)
	e := &uploadEndpoint{
		addr:          l.Addr().String(),
		headsReceived: make(chan bool, 10),
		resume:        make(chan bool),
		abort:         make(chan bool),
		uploads:       make(chan receivedUpload, 10),
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(nc)
		}
	}()
	return e
}

func (e *uploadEndpoint) serve(nc net.Conn) {
	defer nc.Close()
	r, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	e.headsReceived <- true
	select {
	case <-e.resume:
	case <-e.abort:
		return
	}
	body, err := io.ReadAll(r.Body)
	e.uploads <- receivedUpload{body, err}
	if err == nil {
		io.WriteString(nc, okResponse)
	}
}

// newUploadPool returns a Pool whose connections have small send buffers.
func newUploadPool(t *testing.T, endpoints ...*uploadEndpoint) *Pool {
	t.Helper()
	p := New(Options{
		IdleTimeout: time.Minute, DialTimeout: waitTimeout, MaxConns: 100,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			if err == nil {
				err = nc.(*net.TCPConn).SetWriteBuffer(smallSendBuffer)
			}
			return nc, err
		},
	})
	for i, e := range endpoints {
		p.SetEndpoint(string(rune('a'+i)), e.addr, true)
	}
	t.Cleanup(p.closeAllIdle)
	return p
}

// testUpload is an upload and the bytes that its client sends.
type testUpload struct {
	request *Request
	sent    []byte
}

// newUpload returns an upload of unknown length. Once its memory is given back, the memory is
// overwritten, as it is when another client's body gets it.
func newUpload() testUpload {
	var parts [][]byte
	for i := range uploadParts {
		parts = append(parts, bytes.Repeat([]byte{'a' + byte(i)}, uploadPartSize))
	}
	rest := bytes.Repeat([]byte{'z'}, uploadRestSize)
	u := testUpload{request: newRequest("/c"), sent: append(bytes.Join(parts, nil), rest...)}
	u.request.Method = http.MethodPost
	u.request.ClientTimeout = waitTimeout
	u.request.Body = sharedbody.NewLong(sharedbody.Long{
		Length: -1, Parts: parts, Rest: &testRest{reader: bytes.NewReader(rest)},
		Free: func() {
			for _, part := range parts {
				copy(part, bytes.Repeat([]byte{'?'}, uploadPartSize))
			}
		},
	})
	return u
}

// testRest is the rest of a body, whose last byte has just been sent.
type testRest struct {
	mu     sync.Mutex
	reader io.Reader
}

func (r *testRest) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader.Read(p)
}

func (r *testRest) SentAt() time.Time { return time.Now() }
func (r *testRest) Interrupt()        {}

// silentRest is the rest of a body whose client sends nothing more.
type silentRest struct {
	reading     chan bool // closed by the first Read
	interrupted chan bool // closed by Interrupt
}

func (r silentRest) Read([]byte) (int, error) {
	close(r.reading)
	<-r.interrupted
	return 0, errors.New("the read was interrupted")
}

func (r silentRest) SentAt() time.Time { return time.Now() }
func (r silentRest) Interrupt()        { close(r.interrupted) }

// sendAsync sends the upload to an endpoint in a new goroutine, which sends the attempt's outcome
// to the channel.
func (u testUpload) sendAsync(t *testing.T, p *Pool, a *Attempt, endpoint string) <-chan FailureKind {
	ended := make(chan FailureKind, 1)
	go func() {
		kind, _ := roundTrip(t, p, a, endpoint, u.request)
		ended <- kind
	}()
	return ended
}

// An attempt that finds its body in use by another attempt must show in the count of conflicts:
// neither the log nor another metric tells that two attempts shared a body.
func TestBodyConflictsAreCounted(t *testing.T) {
	a, b := startUploadEndpoint(t), startUploadEndpoint(t)
	p := newUploadPool(t, a, b)
	u := newUpload()
	first, second := attemptWithin(waitTimeout), attemptWithin(waitTimeout)
	firstEnded := u.sendAsync(t, p, first, "a")
	<-a.headsReceived // the attempt is blocked in the part of the body that is in memory
	if n := p.BodyConflicts(); n != 0 {
		t.Errorf("%d conflicts with one attempt, want none", n)
	}
	if kind := <-u.sendAsync(t, p, second, "b"); kind != NotSent {
		t.Errorf("the second attempt: outcome %v, want not sent", kind)
	}
	first.Cancel()
	<-firstEnded
	if n := p.BodyConflicts(); n != 1 {
		t.Errorf("%d conflicts of two attempts, want 1", n)
	}
}

// makeTwoAttempts sends an upload to endpoint a, which pauses until a second attempt at endpoint b
// has ended, and waits until the first attempt has ended too.
func (u testUpload) makeTwoAttempts(t *testing.T) (a, b *uploadEndpoint) {
	t.Helper()
	a, b = startUploadEndpoint(t), startUploadEndpoint(t)
	close(b.resume)
	p := newUploadPool(t, a, b)
	ended := u.sendAsync(t, p, attemptWithin(waitTimeout), "a")
	<-a.headsReceived // the attempt is blocked in the part of the body that is in memory
	roundTrip(t, p, attemptWithin(waitTimeout), "b", u.request)
	close(a.resume)
	<-ended
	return a, b
}

// Two attempts of one request are in flight, and the second one reads the body past the part that
// is in memory. The memory must not be given back while the first attempt writes from it: its
// endpoint received parts of other clients' bodies.
func TestBodyMemoryIsNotReusedWhileAnAttemptWritesIt(t *testing.T) {
	u := newUpload()
	a, _ := u.makeTwoAttempts(t)
	if got := <-a.uploads; !bytes.HasPrefix(u.sent, got.body) {
		t.Errorf("the endpoint received %d bytes, of which those from %d on are not the client's",
			len(got.body), commonPrefixLength(got.body, u.sent))
	}
}

// commonPrefixLength returns the number of leading bytes that are the same in b and c.
func commonPrefixLength(b, c []byte) int {
	for i := range min(len(b), len(c)) {
		if b[i] != c[i] {
			return i
		}
	}
	return min(len(b), len(c))
}

// Two attempts of one request are in flight. Only one of them may read the part of the body that is
// received from the client: the other one found the body at its end, ended the request after the
// part in memory, and its endpoint ran a request that no client had sent.
func TestOneAttemptReadsTheBodyFromTheClient(t *testing.T) {
	u := newUpload()
	a, b := u.makeTwoAttempts(t)
	completed := 0
	for name, e := range map[string]*uploadEndpoint{"a": a, "b": b} {
		select {
		case got := <-e.uploads:
			if got.err != nil {
				continue // an incomplete request does not run
			}
			completed++
			if len(got.body) != len(u.sent) {
				t.Errorf("endpoint %s received a complete request with %d of %d bytes", name, len(got.body), len(u.sent))
			}
		default: // no request was sent to it
		}
	}
	if completed != 1 {
		t.Errorf("%d endpoints received a complete request, want 1", completed)
	}
}

// An attempt that waits for more of the client's body is canceled. It must end at once, like one
// that waits for its endpoint: the goroutine that ran it could not pass the request's result on.
func TestCancelInterruptsTheReadOfTheBody(t *testing.T) {
	b := startUploadEndpoint(t)
	close(b.resume)
	p := newUploadPool(t, b)
	rest := silentRest{reading: make(chan bool), interrupted: make(chan bool)}
	u := newUpload()
	u.request.Body = sharedbody.NewLong(sharedbody.Long{Length: -1, Rest: rest})
	a := attemptWithin(waitTimeout)
	ended := u.sendAsync(t, p, a, "a")
	<-rest.reading
	a.Cancel()
	select {
	case kind := <-ended:
		if kind != Canceled {
			t.Errorf("outcome %v, want canceled", kind)
		}
	case <-time.After(waitTimeout):
		t.Error("the attempt has not ended")
	}
}

// An attempt that ended before it read the rest of the body, because its endpoint closed the
// connection or because it was canceled, leaves the complete body to the next attempt.
func TestUnfinishedAttemptLeavesTheBodyToTheNext(t *testing.T) {
	for want, end := range map[FailureKind]func(a *Attempt, e *uploadEndpoint){
		Canceled:      func(a *Attempt, _ *uploadEndpoint) { a.Cancel() },
		ConnectFailed: func(_ *Attempt, e *uploadEndpoint) { close(e.abort) },
	} {
		t.Run(want.String(), func(t *testing.T) {
			a, b := startUploadEndpoint(t), startUploadEndpoint(t)
			close(b.resume)
			p := newUploadPool(t, a, b)
			u := newUpload()
			first := attemptWithin(waitTimeout)
			ended := u.sendAsync(t, p, first, "a")
			<-a.headsReceived // the attempt is blocked in the part of the body that is in memory
			end(first, a)
			if kind := <-ended; kind != want {
				t.Errorf("the first attempt: outcome %v, want %v", kind, want)
			}
			if kind, _ := roundTrip(t, p, attemptWithin(waitTimeout), "b", u.request); kind != succeeded {
				t.Fatalf("the next attempt: outcome %v, want success", kind)
			}
			if got := <-b.uploads; !bytes.Equal(got.body, u.sent) {
				t.Errorf("the next endpoint received %d bytes, want the %d that the client sent", len(got.body), len(u.sent))
			}
		})
	}
}

// stuckRest is the rest of a body whose last byte the client sent at sentAt.
type stuckRest struct {
	io.Reader
	sentAt time.Time
}

func (r stuckRest) SentAt() time.Time { return r.sentAt }
func (r stuckRest) Interrupt()        {}

// Guards against an attempt that outlasts the client's time in a step that is bounded by another.
func TestStuckUploadEndsAtTheClientsDeadline(t *testing.T) {
	const clientTimeout = 300 * time.Millisecond
	inMemory := [][]byte{bytes.Repeat([]byte{'a'}, uploadParts*uploadPartSize)}
	for name, parts := range map[string][][]byte{"in the part in memory": inMemory, "in the rest": nil} {
		t.Run(name, func(t *testing.T) {
			p := newUploadPool(t, startUploadEndpoint(t)) // it does not read the body
			u := newUpload()
			u.request.ClientTimeout = clientTimeout
			start := time.Now()
			u.request.Body = sharedbody.NewLong(sharedbody.Long{
				Length: -1, Parts: parts, Rest: stuckRest{bytes.NewReader(u.sent), start},
			})
			kind, _ := roundTrip(t, p, attemptWithin(waitTimeout), "a", u.request)
			if took := time.Since(start); kind != ConnectFailed || took > 2*clientTimeout {
				t.Errorf("outcome %v after %v, want %v within %v", kind, took, ConnectFailed, 2*clientTimeout)
			}
		})
	}
}

// lateEnd is a reader whose end comes a while after its data.
type lateEnd struct{ io.Reader }

func (r lateEnd) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		time.Sleep(3 * uploadCheckInterval)
	}
	return n, err
}

// Guards against a last chunk that is written under the deadline of the piece before it.
func TestLastChunkMayComeLate(t *testing.T) {
	e := startUploadEndpoint(t)
	close(e.resume)
	p := newUploadPool(t, e)
	u := newUpload()
	u.request.Body = sharedbody.NewLong(sharedbody.Long{
		Length: -1, Rest: &testRest{reader: lateEnd{strings.NewReader("body")}},
	})
	if kind, _ := roundTrip(t, p, attemptWithin(waitTimeout), "a", u.request); kind != succeeded {
		t.Errorf("outcome %v, want success", kind)
	}
}
