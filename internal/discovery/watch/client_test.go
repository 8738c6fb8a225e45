package watch

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

const waitTimeout = testpeer.WaitTimeout

// Short names for helpers of package testpeer.
var (
	completeList = testpeer.CompleteList
	changes      = testpeer.Changes
	listed       = testpeer.ListedEndpoint

	respond    = testpeer.Respond
	stayOpen   = testpeer.StayOpen
	abortAfter = testpeer.AbortAfter
	noResponse = testpeer.NoResponse
)

// testClient is a running Client of a scripted discovery server.
type testClient struct {
	*Client
	updates chan platform.EndpointList
	calls   chan string // query strings of the calls to discovery
}

// startClient starts a client that has the endpoint list of the given version. If configure is not
// nil, it is called before Run to change the client. Discovery responds to each call with the next
// of steps.
func startClient(t *testing.T, version int64, configure func(*Client), steps ...testpeer.Step) *testClient {
	t.Helper()
	addr, calls := startDiscovery(t, steps...)
	c := &testClient{updates: make(chan platform.EndpointList, 100), calls: calls}
	c.Client = New(Options{
		Addr:     addr,
		Known:    knownAt(addr, version),
		OnUpdate: func(l platform.EndpointList) { c.updates <- l },
		Log:      slog.New(slog.DiscardHandler),
	})
	c.timing.idleTimeout, c.timing.responseTimeout = waitTimeout, waitTimeout
	if configure != nil {
		configure(c.Client)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*waitTimeout)
	t.Cleanup(cancel)
	go c.Run(ctx)
	return c
}

// knownAt returns the origin of a list of a version from addr.
func knownAt(addr string, version int64) *Origin {
	return &Origin{Addr: addr, Position: Position{Version: version}}
}

// startDiscovery starts a fake discovery server that responds to each call with the next of steps.
// It returns the server's address and the query strings of the calls.
func startDiscovery(t *testing.T, steps ...testpeer.Step) (addr string, calls chan string) {
	t.Helper()
	discovery := &testpeer.ScriptedDiscovery{Steps: steps, Calls: make(chan string, 100)}
	server := httptest.NewServer(discovery)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections) // a watch may still be open
	return server.Listener.Addr().String(), discovery.Calls
}

func (c *testClient) expectCalls(t *testing.T, queries ...string) {
	t.Helper()
	for _, want := range queries {
		select {
		case got := <-c.calls:
			if got != want {
				t.Errorf("discovery was called with query %q, want %q", got, want)
			}
		case <-time.After(waitTimeout):
			t.Fatalf("discovery was never called with query %q", want)
		}
	}
}

func (c *testClient) expectVersions(t *testing.T, versions ...int64) {
	t.Helper()
	for _, want := range versions {
		select {
		case list := <-c.updates:
			if *list.Version != want {
				t.Errorf("version %d, want %d", *list.Version, want)
			}
		case <-time.After(waitTimeout):
			t.Fatalf("version %d was not received", want)
		}
	}
}

func TestLostWatchIsResumed(t *testing.T) {
	c := startClient(t, 41, nil,
		respond("\n"+changes(43, listed("a", "127.0.0.1:1", platform.StateDraining))+"\n\n"+changes(44)+"\n"),
		stayOpen(completeList(50, listed("b", "127.0.0.1:2", platform.StateReady))+"\n"))
	c.expectVersions(t, 43, 44, 50)
	c.expectCalls(t, "watch=1&after=41", "watch=1&after=44")
}

// After a single call of Subscribe, each watch that ends is reopened, whether or not Subscribe is
// called again.
func TestWatchesBeginWithSubscribe(t *testing.T) {
	c := startClient(t, 41, func(c *Client) { c.subscribed = make(chan struct{}) },
		respond(changes(42)+"\n"), respond(changes(43)+"\n"), stayOpen(changes(44)+"\n"))
	select {
	case query := <-c.calls:
		t.Fatalf("discovery was called with query %q before Subscribe", query)
	default:
	}
	c.Subscribe()
	c.expectVersions(t, 42, 43)
	c.Subscribe()
	c.expectVersions(t, 44)
	c.expectCalls(t, "watch=1&after=41", "watch=1&after=42", "watch=1&after=43")
}

// The versions at the old and the new address may be unrelated, so the complete list is fetched.
func TestSetAddressRefetchesList(t *testing.T) {
	c := startClient(t, 41, nil, stayOpen(changes(42)+"\n"))
	c.expectVersions(t, 42)
	addr, calls := startDiscovery(t, respond(completeList(7)), stayOpen(changes(8)+"\n"))
	c.SetAddress(addr)
	c.expectVersions(t, 7, 8)
	c.calls = calls
	c.expectCalls(t, "", "watch=1&after=7")
}

// A reload may change the address at any point of a watch. The watch at the old address ends at
// once.
func TestSetAddressAtAnyPointOfAWatch(t *testing.T) {
	for name, step := range map[string]testpeer.Step{
		"before the headers": noResponse(),
		"after the headers":  stayOpen(""),
		"within a line":      stayOpen(drainMessage[:20]),
		"between lines":      stayOpen("\n"),
	} {
		t.Run(name, func(t *testing.T) {
			c := startClient(t, 41, nil, step)
			c.expectCalls(t, "watch=1&after=41")
			addr, _ := startDiscovery(t, respond(completeList(7)), stayOpen(changes(8)+"\n"))
			c.SetAddress(addr)
			c.expectVersions(t, 7, 8)
		})
	}
}
