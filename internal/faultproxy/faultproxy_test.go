package faultproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

func TestScriptTellsTheFaultInForce(t *testing.T) {
	s := Script{{At: time.Second, For: 2 * time.Second, Fault: Fault{Hold: true}}, {At: 2 * time.Second, Fault: Fault{Loss: 0.3}}}
	cases := []struct {
		at   time.Duration
		want Fault
	}{{0, Fault{}}, {time.Second, Fault{Hold: true}}, {2 * time.Second, Fault{Loss: 0.3}}, {time.Hour, Fault{Loss: 0.3}}}
	for _, c := range cases {
		if got := s.At(c.at); got != c.want {
			t.Errorf("at %v: %+v, want %+v", c.at, got, c.want)
		}
	}
	if next, ok := s.Next(1500 * time.Millisecond); !ok || next != 2*time.Second {
		t.Errorf("next after 1.5 s: %v %v", next, ok)
	}
	if err := (Script{{Fault: Fault{Loss: 2}}}).Check(); err == nil {
		t.Error("a loss of 2 is taken")
	}
}

func TestARelayRefusesWhatIsNotLoopback(t *testing.T) {
	if _, err := Listen("192.0.2.1:80", Options{}); err == nil {
		t.Fatal("a relay to another machine is started")
	}
}

// echo is a target that sends back each line.
func echo(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String()
}

func relay(t *testing.T, o Options) (*Relay, net.Conn, *bufio.Reader) {
	r, err := Listen(echo(t), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second)) // a bound, not a verdict
	return r, c, bufio.NewReader(c)
}

// refusal opens one more stream and gives how it failed. The kernel completes a handshake before the relay sees the stream, and the
// reset may come before or after the dial has looked: either shows it.
func refusal(t *testing.T, r *Relay) error {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second)) // a bound, not a verdict
	_, err = c.Read(make([]byte, 1))
	return err
}

func roundTrip(t *testing.T, c net.Conn, in *bufio.Reader, line string) {
	t.Helper()
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		t.Fatal(err)
	}
	if got, err := in.ReadString('\n'); err != nil || got != line+"\n" {
		t.Fatalf("%q came back as %q (%v)", line, got, err)
	}
}

// A partition keeps what was sent and delivers it at the heal, as TCP's retransmissions would.
func TestAPartitionHoldsAndTheHealDelivers(t *testing.T) {
	r, c, in := relay(t, Options{})
	roundTrip(t, c, in, "before")
	r.Set(Fault{Hold: true})
	io.WriteString(c, "during\n")
	testpeer.Until(t, "the chunk sent during the partition held", func() bool { return r.Stats().Held > 0 })
	r.Heal()
	if got, err := in.ReadString('\n'); err != nil || got != "during\n" {
		t.Fatalf("after the heal: %q (%v)", got, err)
	}
	if s := r.Stats(); s.Held != 0 || s.Streams != 1 {
		t.Errorf("stats after the heal: %+v", s)
	}
}

func TestACutResetsStreamsAndRefusesNewOnes(t *testing.T) {
	r, c, in := relay(t, Options{})
	roundTrip(t, c, in, "one")
	r.Set(Fault{Cut: true})
	if _, err := in.ReadString('\n'); err == nil {
		t.Fatal("a stream stands through a cut")
	}
	if err := refusal(t, r); err == nil {
		t.Fatal("a new stream is served during a cut")
	}
	r.Heal()
	c2, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c2.Close()
	c2.SetDeadline(time.Now().Add(10 * time.Second))
	roundTrip(t, c2, bufio.NewReader(c2), "after")
}

func TestADelayIsAddedEachWay(t *testing.T) {
	const delay = 30 * time.Millisecond
	_, c, in := relay(t, Options{Script: Script{{Fault: Fault{Delay: delay}}}})
	start := time.Now()
	roundTrip(t, c, in, "slow")
	if took := time.Since(start); took < 2*delay {
		t.Errorf("a round trip took %v, under twice the delay of %v", took, delay)
	}
}

// Half-open: what the target sends never arrives, while what the caller sends still does.
func TestAHalfOpenStreamStandsAndCarriesOneWay(t *testing.T) {
	r, c, in := relay(t, Options{})
	roundTrip(t, c, in, "one")
	r.Set(Fault{Half: true, Way: Back})
	io.WriteString(c, "two\n")
	testpeer.Until(t, "what the caller sent passed", func() bool { return r.Stats().Carried >= int64(len("one\n")*2+len("two\n")) })
	if s := r.Stats(); s.Carried != int64(len("one\n")*2+len("two\n")) {
		t.Errorf("the answer passed a half-open way: %+v", s)
	}
}

func TestARelayIsBoundedInStreams(t *testing.T) {
	r, c, in := relay(t, Options{Conns: 1})
	roundTrip(t, c, in, "one")
	if err := refusal(t, r); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("a stream over the bound is not reset: %v", err)
	}
	if s := r.Stats(); s.Refused != 1 {
		t.Errorf("stats: %+v", s)
	}
}
