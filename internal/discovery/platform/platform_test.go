package platform

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/testpeer"
)

const patience = testpeer.Patience

var (
	members = testpeer.Members
	member  = testpeer.Member
)

type followed struct {
	*Client
	got   chan EndpointList
	calls chan string
}

func follow(t *testing.T, version int64, change func(*Client), steps ...string) *followed {
	s := &testpeer.Script{Steps: steps, Calls: make(chan string, 100)}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	f := &followed{got: make(chan EndpointList, 100), calls: s.Calls}
	f.Client = New(Options{Addr: server.Listener.Addr().String(), Version: &version, OnUpdate: func(m EndpointList) { f.got <- m },
		Log: slog.New(slog.DiscardHandler)})
	f.silence, f.answer = patience, patience
	if change != nil {
		change(f.Client)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*patience)
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f
}

func (f *followed) expectCalls(t *testing.T, queries ...string) {
	t.Helper()
	for _, want := range queries {
		select {
		case got := <-f.calls:
			if got != want {
				t.Errorf("asked %q, want %q", got, want)
			}
		case <-time.After(patience):
			t.Fatalf("never asked %q", want)
		}
	}
}

func (f *followed) expectVersions(t *testing.T, versions ...int64) {
	t.Helper()
	for _, want := range versions {
		select {
		case m := <-f.got:
			if *m.Version != want {
				t.Errorf("version %d, want %d", *m.Version, want)
			}
		case <-time.After(patience):
			t.Fatalf("version %d never came", want)
		}
	}
}

func TestALostWatchIsResumed(t *testing.T) {
	f := follow(t, 41, nil,
		"\n"+members(43, false, member("a", "127.0.0.1:1", "Terminating"))+"\n\n"+members(44, false)+"\n",
		members(50, true, member("b", "127.0.0.1:2", "Ready"))+"\nSILENT")
	f.expectVersions(t, 43, 44, 50)
	f.expectCalls(t, "watch=1&after=41", "watch=1&after=44")
}

// A watch that breaks off within an object leaves the list as it was, and the version with it: nothing is had anew but what is missing.
func TestHalfALineIsDropped(t *testing.T) {
	line := members(42, false, member("a", "127.0.0.1:1", "Terminating"))
	for _, cut := range []int{1, len(line) / 2, len(line) - 1, len(line)} {
		f := follow(t, 41, nil, "\n"+line[:cut], line+"\nSILENT")
		f.expectVersions(t, 42)
		f.expectCalls(t, "watch=1&after=41", "watch=1&after=41")
	}
}

func TestASilentWatchIsGivenUp(t *testing.T) {
	f := follow(t, 7, func(d *Client) { d.silence = 200 * time.Millisecond },
		"\nSILENT", members(8, false)+"\nSILENT")
	f.expectCalls(t, "watch=1&after=7", "watch=1&after=7")
	f.expectVersions(t, 8)
}

// After what can't be read something may be missing: the whole list is asked for, and the old one stands.
func TestAMalformedLineStartsAnew(t *testing.T) {
	for name, line := range map[string]string{
		"no JSON":          "{nonsense",
		"no entries":       `{"version":42,"full":true}`,
		"no version":       `{"full":false,"servers":[]}`,
		"an unknown state": members(42, false, member("a", "127.0.0.1:1", "Asleep")),
		"no address":       members(42, false, member("a", "", "Ready")),
		"a bad address":    members(42, false, member("a", "127.0.0.1:http", "Ready")),
		"no id":            members(42, false, member("", "127.0.0.1:1", "Ready")),
		"an older version": members(40, false),
	} {
		t.Run(name, func(t *testing.T) {
			f := follow(t, 41, nil, line+"\n", members(60, true), members(61, false)+"\nSILENT")
			f.expectVersions(t, 60, 61)
			f.expectCalls(t, "watch=1&after=41", "", "watch=1&after=60")
		})
	}
}

// Where changes have to be asked for one ask is enough: a watch that ends is opened anew, whoever asks again or does not.
func TestWhereDiscoveryIsAskedThereIsAWatchFromThenOn(t *testing.T) {
	f := follow(t, 41, func(d *Client) { d.asked = make(chan struct{}) }, members(42, false)+"\n", members(43, false)+"\n",
		members(44, false)+"\nSILENT")
	select {
	case q := <-f.calls:
		t.Fatalf("asked %q before anybody wanted it", q)
	default:
	}
	f.Subscribe()
	f.expectVersions(t, 42, 43)
	f.Subscribe()
	f.expectVersions(t, 44)
	f.expectCalls(t, "watch=1&after=41", "watch=1&after=42", "watch=1&after=43")
}

// What the new address knows may have nothing to do with the old one's versions.
func TestAMoveHasTheListAnewAtTheNewAddress(t *testing.T) {
	f := follow(t, 41, nil, members(42, false)+"\nSILENT")
	f.expectVersions(t, 42)
	next := &testpeer.Script{Steps: []string{members(7, true), members(8, false) + "\nSILENT"}, Calls: make(chan string, 100)}
	server := httptest.NewServer(next)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections) // the watch is still on
	f.SetAddress(server.Listener.Addr().String())
	f.expectVersions(t, 7, 8)
	f.calls = next.Calls
	f.expectCalls(t, "", "watch=1&after=7")
}

func TestEntriesAreRead(t *testing.T) {
	m, err := ParseEndpointList([]byte(members(3, true, member("a", "127.0.0.1:1", "Ready"), member("b", "", "Gone"))))
	if err != nil {
		t.Fatal(err)
	}
	a := m.Endpoints[0]
	if *m.Version != 3 || !m.Full || a.ID != "a" || a.Addr != "127.0.0.1:1" || a.Zone != "z" || a.Kind != "k" || a.Cell != 3 ||
		a.State != balancer.Ready || m.Endpoints[1].State != balancer.Gone {
		t.Errorf("%+v", m)
	}
}
