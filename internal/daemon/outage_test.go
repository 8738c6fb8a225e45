package daemon

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// What happens to a box.
const (
	answers = iota
	resets
	hangs
)

// box is an endpoint that can be killed, or told to fail in other ways.
type box struct {
	*httptest.Server
	mood atomic.Int32
	ran  atomic.Int32
}

func newBox(t *testing.T) *box {
	b := &box{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.ran.Add(1)
		switch b.mood.Load() {
		case resets:
			panic(http.ErrAbortHandler)
		case hangs:
			<-r.Context().Done()
		default:
			_, _ = w.Write([]byte("ok")) // the caller sees what did not come
		}
	}))
	t.Cleanup(b.Close)
	return b
}

func (b *box) kill() {
	_ = b.Listener.Close() // it is there until now
	b.CloseClientConnections()
}

// Two boxes that answer at once, one caller that asks one request after the other. When something
// befalls one of them, the other serves all that it can.
func TestOneOfTwoBoxesIsEnough(t *testing.T) {
	const rounds, asked = 6, 20
	const trialsApart = 375 * time.Millisecond // a backoff at its shortest
	for _, c := range []struct {
		name, method, class string
		befalls             func(b *box)
		lost                int // in each round, at most: at first, and then once for each trial that there was time for
	}{
		{"killed, safe", http.MethodGet, "look", (*box).kill, 0},
		{"killed, unsafe", http.MethodPost, "pay", (*box).kill, 0},
		{"resets, safe", http.MethodGet, "look", func(b *box) { b.mood.Store(resets) }, 0},
		{"resets, unsafe", http.MethodPost, "pay", func(b *box) { b.mood.Store(resets) }, 1},
		{"hangs, safe", http.MethodGet, "look", func(b *box) { b.mood.Store(hangs) }, 1},
		{"hangs, unsafe", http.MethodPost, "pay", func(b *box) { b.mood.Store(hangs) }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for round := range rounds {
				boxes := []*box{newBox(t), newBox(t)}
				s := serve(t, aPool("two", boxes[0].Listener.Addr().String(), boxes[1].Listener.Addr().String())+
					aRoute("x", "/x", c.class, "two", "policy {\n client_waits = \"400ms\"\n}"))
				for range 6 {
					if status, _, _ := s.ask(c.method, "/x"); status != http.StatusOK {
						t.Fatalf("while all is well: %d", status)
					}
				}
				before := boxes[0].ran.Load() + boxes[1].ran.Load()
				c.befalls(boxes[round%2])
				lost, served, begun := 0, 0, time.Now()
				for range asked {
					if status, _, h := s.ask(c.method, "/x"); status == http.StatusOK {
						served++
					} else {
						t.Logf("round %d: %d, %s", round, status, h.Get("Proxy-Status"))
						lost++
					}
				}
				if most := c.lost * (1 + int(time.Since(begun)/trialsApart)); lost > most || served != asked-lost {
					t.Errorf("round %d: %d of %d were lost, at most %d may be", round, lost, asked, most)
				}
				if ran := int(boxes[0].ran.Load() + boxes[1].ran.Load() - before); c.method == http.MethodPost && ran > asked {
					t.Errorf("round %d: %d unsafe requests ran %d times", round, asked, ran)
				}
			}
		})
	}
}
