package proxy

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/sharedbody"
	"rowancart/internal/testpeer"
)

// testRest is the rest of a body, whose last byte has just been sent.
type testRest struct{ io.Reader }

func (testRest) SentAt() time.Time { return time.Now() }
func (testRest) Interrupt()        {}

// newUploadCall returns a call whose body is received from the client while it is forwarded.
func (p testPool) newUploadCall(id, class string) *Call {
	c := p.newTestCall(id, class, time.Minute)
	c.Streamed = true
	c.message.ClientTimeout = time.Minute
	c.message.Body = sharedbody.NewLong(sharedbody.Long{Length: -1, Rest: testRest{strings.NewReader("body")}})
	return c
}

// attemptCounts returns the numbers of attempts that a call has made and that are in flight.
func (p testPool) attemptCounts(c *Call) (made, inFlight int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(c.attempts), c.attemptsInFlight
}

// An upload is running at an endpoint when its hedged request is due, which cannot be sent, because
// the body has been read. The first attempt must continue: the call was refused instead.
func TestUnsentHedgedUploadLeavesTheFirstAttempt(t *testing.T) {
	for name, row := range map[string]struct {
		response string
		want     ResultKind
	}{
		"the first attempt is served":     {okResponse, Served},
		"the first attempt may have run":  {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", Failed},
		"the first attempt was cut short": {"HTTP/1.1 200 OK\r\n", Failed},
	} {
		t.Run(name, func(t *testing.T) {
			received, release := make(chan bool, 2), make(chan bool)
			endpoints := newTestEndpoints(t, 2, func(nc net.Conn, _ string) bool {
				received <- true
				<-release
				io.WriteString(nc, row.response)
				return false
			})
			p := newTestPool(t, balancer.Settings{CancelAllowed: true}, endpoints.addrs...)
			c := p.newUploadCall("r1", "hedged")
			result := p.doAsync(c)
			<-received
			waitUntil(t, "the hedged request has ended", func() bool {
				made, inFlight := p.attemptCounts(c)
				return made == 2 && inFlight <= 1
			})
			close(release)
			if r := <-result; r.Kind != row.want {
				t.Errorf("got result %+v, want kind %v", r, row.want)
			}
			if n := endpoints.peers[0].Requests.Load() + endpoints.peers[1].Requests.Load(); n != 1 {
				t.Errorf("%d requests were received, want 1", n)
			}
		})
	}
}

// An upload fails at its endpoint, which may have run it, and the hedged request that is still
// being connected cannot be sent. The result must not promise that the request has not run.
func TestUnsentHedgedUploadIsNoProofThatNothingRan(t *testing.T) {
	received, release := make(chan bool, 2), make(chan bool)
	endpoints := newTestEndpoints(t, 2, func(nc net.Conn, _ string) bool {
		received <- true
		<-release
		return false
	})
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, endpoints.addrs...)
	p.stopTimer()
	c := p.newUploadCall("r1", "hedged")
	result := p.doAsync(c)
	<-received
	dialed, releaseDial := p.dialer.blockNext()
	due := p.Now() + 2*time.Millisecond
	waitUntil(t, "the hedged request is due", func() bool { return p.Now() > due })
	p.handleEvent(p.fireDueTimers)
	<-dialed
	close(release)
	waitUntil(t, "the first attempt has ended", func() bool {
		_, inFlight := p.attemptCounts(c)
		return inFlight == 1
	})
	close(releaseDial)
	if r := <-result; r.Kind != Failed || r.Reason != BodyNotReplayable {
		t.Errorf("got result %+v, want kind Failed and reason %s", r, BodyNotReplayable)
	}
}

// sentRest is the rest of a body whose last byte the client has sent at a known time.
type sentRest struct {
	testRest
	at time.Time
}

func (r sentRest) SentAt() time.Time { return r.at }

// Guards against an upload that is sent to one endpoint after another past its client's time.
func TestStuckUploadIsRejectedAtTheClientsDeadline(t *testing.T) {
	const clientTimeout = 300 * time.Millisecond
	release := make(chan bool)
	defer close(release)
	accept := func() string {
		l := testpeer.ListenWithSmallBuffer(t)
		go func() {
			for {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				go func() { <-release; nc.Close() }()
			}
		}()
		return l.Addr().String()
	}
	p := newTestPool(t, balancer.Settings{CancelAllowed: true}, accept(), accept(), accept())
	c := p.newUploadCall("r1", "non-idempotent")
	c.message.ClientTimeout = clientTimeout
	start := time.Now()
	c.message.Body = sharedbody.NewLong(sharedbody.Long{
		Length: -1, Parts: [][]byte{make([]byte, 4<<20)}, Rest: sentRest{at: start},
	})
	result := p.Do(c)
	if took := time.Since(start); result.Kind != Rejected || took > 2*clientTimeout {
		t.Errorf("result %v after %v, want a rejection within %v", result.Kind, took, 2*clientTimeout)
	}
}
