package testpeer

import (
	"bufio"
	"net/http"
	"testing"

	"rowancart/internal/platform"
)

func startDiscovery(t *testing.T) *FakeDiscovery {
	t.Helper()
	d, err := StartDiscovery(DiscoveryOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// call calls discovery and returns a reader of the response.
func call(t *testing.T, addr, query string) *bufio.Reader {
	t.Helper()
	resp, err := http.Get("http://" + addr + platform.EndpointListPath + "?" + query)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return bufio.NewReader(resp.Body)
}

func expectLine(t *testing.T, lines *bufio.Reader, want string) {
	t.Helper()
	if line, err := lines.ReadString('\n'); err != nil || line != want+"\n" {
		t.Fatalf("line %q, %v, want %q", line, err, want)
	}
}

func TestFakeDiscoveryListsAndWatches(t *testing.T) {
	d := startDiscovery(t)
	expectLine(t, call(t, d.Addr(), ""), CompleteList(0))
	a := ListedEndpoint("a", "127.0.0.1:1", platform.StateReady)
	b := ListedEndpoint("b", "127.0.0.1:2", platform.StateReady)
	d.Publish(a)
	d.Publish(b)
	expectLine(t, call(t, d.Addr(), ""), CompleteList(2, a, b))
	watch := call(t, d.Addr(), platform.WatchQuery(1))
	expectLine(t, watch, Changes(2, b))
	a.State = platform.StateDraining
	d.Publish(a)
	expectLine(t, watch, Changes(3, a))
	expectLine(t, call(t, d.Addr(), ""), CompleteList(3, b, a))
}

func TestFakeDiscoveryBeginsWatchesWithAnEmptyLine(t *testing.T) {
	d, err := StartDiscovery(DiscoveryOptions{EmptyLineFirst: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	watch := call(t, d.Addr(), platform.WatchQuery(0))
	expectLine(t, watch, "")
	a := ListedEndpoint("a", "127.0.0.1:1", platform.StateReady)
	d.Publish(a)
	expectLine(t, watch, Changes(1, a))
}

func TestFakeDiscoveryAbortsWatches(t *testing.T) {
	d := startDiscovery(t)
	d.Publish(ListedEndpoint("a", "127.0.0.1:1", platform.StateReady))
	watch := call(t, d.Addr(), platform.WatchQuery(0))
	if _, err := watch.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	d.AbortWatches()
	if line, err := watch.ReadString('\n'); err == nil {
		t.Errorf("a watch delivered %q after its connection was aborted", line)
	}
}

// A silenced watch delivers neither changes nor empty lines. A new watch delivers the changes that
// the silenced watch did not.
func TestFakeDiscoverySilencesWatches(t *testing.T) {
	d := startDiscovery(t)
	a := ListedEndpoint("a", "127.0.0.1:1", platform.StateReady)
	d.Publish(a)
	silenced := call(t, d.Addr(), platform.WatchQuery(0))
	expectLine(t, silenced, Changes(1, a))
	d.SilenceWatches()
	a.State = platform.StateDraining
	d.Publish(a)
	expectLine(t, call(t, d.Addr(), platform.WatchQuery(1)), Changes(2, a))
	if silenced.Buffered() > 0 {
		t.Error("a silenced watch delivered a change")
	}
	d.Close()
	if line, err := silenced.ReadString('\n'); err == nil {
		t.Errorf("a silenced watch delivered %q", line)
	}
}

func TestFakeDiscoveryMoves(t *testing.T) {
	d := startDiscovery(t)
	old := d.Addr()
	watch := call(t, old, platform.WatchQuery(0))
	if err := d.Move(); err != nil {
		t.Fatal(err)
	}
	if d.Addr() == old {
		t.Fatal("the address has not changed")
	}
	a := ListedEndpoint("a", "127.0.0.1:1", platform.StateReady)
	d.Publish(a)
	expectLine(t, watch, Changes(1, a)) // an open watch continues for oldAddrGrace
	expectLine(t, call(t, d.Addr(), ""), CompleteList(1, a))
	if resp, err := http.Get("http://" + old + platform.EndpointListPath); err == nil {
		resp.Body.Close()
		t.Error("the old address accepts connections")
	}
}
