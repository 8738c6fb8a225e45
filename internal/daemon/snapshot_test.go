package daemon

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"rowancart/internal/testpeer"
)

// A process restores the learned state of the previous process. If the snapshot is corrupt, it
// starts without learned state.
func TestLearnedStateSurvivesRestart(t *testing.T) {
	works := testpeer.StartEndpoint(t, respondWith("200 OK", "", "works"))
	fails := testpeer.StartEndpoint(t, respondWith("500 Custom Reason", "", ""))
	state := filepath.Join(t.TempDir(), "state")
	config := stateBlock(state) + poolBlock("one", works.Addr, fails.Addr) + routeBlock("x", "/x", "read", "one", "")
	s := startDaemon(t, config)
	for range 30 {
		s.request(http.MethodGet, "/x")
	}
	s.stopAndWait()
	before := fails.Requests.Load()
	if before == 0 {
		t.Fatal("the failing endpoint received no request")
	}
	s = startDaemon(t, config)
	for range 5 {
		s.request(http.MethodGet, "/x")
	}
	if n := fails.Requests.Load() - before; n > 1 { // one trial may be due
		t.Errorf("%d of 5 requests were sent to an endpoint known to fail, want at most 1", n)
	}
	s.stopAndWait()

	if err := os.WriteFile(state, []byte("not a snapshot\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s = startDaemon(t, config)
	if status := s.request(http.MethodGet, "/x").status; status != http.StatusOK {
		t.Errorf("status %d with a corrupt snapshot, want 200", status)
	}
	if n := strings.Count(s.log.String(), `msg="snapshot not restored"`); n != 1 {
		t.Errorf("the corrupt snapshot was logged %d times, want 1:\n%s", n, s.log)
	}
}

// Until the endpoint source has sent its first list, the pool uses the endpoints of the snapshot.
func TestEndpointsAreRestoredUntilTheFirstList(t *testing.T) {
	old := testpeer.StartEndpoint(t, respondWith("200 OK", "", "old"))
	next := testpeer.StartEndpoint(t, respondWith("200 OK", "", "new"))
	dir := t.TempDir()
	list := filepath.Join(dir, "endpoints.json")
	writeList := func(id, addr string) {
		text := fmt.Appendf(nil, `{"endpoints": [{"id": %q, "address": %q, "state": "ready"}]}`, id, addr)
		if err := os.WriteFile(list, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	config := stateBlock(filepath.Join(dir, "state")) + filePoolBlock("one", list) +
		routeBlock("x", "/x", "read", "one", "")
	s := startDaemon(t, config)
	writeList("a", old.Addr)
	testpeer.WaitUntil(t, "the first endpoint list is applied", s.hasBody("/x", "old"))
	s.stopAndWait()
	if err := os.Remove(list); err != nil {
		t.Fatal(err)
	}
	s = startDaemon(t, config)
	if got := s.request(http.MethodGet, "/x"); got.status != http.StatusOK || got.body != "old" {
		t.Errorf("without an endpoint list: status %d, body %q", got.status, got.body)
	}
	writeList("b", next.Addr)
	testpeer.WaitUntil(t, "the new endpoint list is applied", s.hasBody("/x", "new"))
}

func TestUnwritableSnapshotIsLoggedOnceAndHarmless(t *testing.T) {
	const message = `msg="snapshot not saved"`
	e := testpeer.StartEndpoint(t, respondWith("200 OK", "", "x"))
	path := filepath.Join(t.TempDir(), "none", "state")
	s := startDaemon(t, fmt.Sprintf("state {\n path = %q\n every = \"1s\"\n}\n", path)+
		poolBlock("one", e.Addr)+routeBlock("x", "/x", "read", "one", ""))
	testpeer.WaitUntil(t, "the failed write is logged", func() bool { return strings.Contains(s.log.String(), message) })
	if status := s.request(http.MethodGet, "/x").status; status != http.StatusOK {
		t.Errorf("status %d after a failed snapshot, want 200", status)
	}
	s.stopAndWait() // tries again to write a snapshot
	if n := strings.Count(s.log.String(), message); n != 1 {
		t.Errorf("the failed writes were logged %d times, want 1:\n%s", n, s.log)
	}
}

// The snapshot of another instance, here one with another index, is not restored, and that is
// logged once. After its fleet has grown, an instance still restores its own snapshot.
func TestSnapshotOfAnotherInstanceIsNotRestored(t *testing.T) {
	e := testpeer.StartEndpoint(t, respondWith("200 OK", "", "works"))
	state := filepath.Join(t.TempDir(), "state")
	config := func(index, instances int) string {
		return stateBlock(state) + fmt.Sprintf("fleet {\n instances = %d\n index = %d\n}\n", instances, index) +
			poolBlock("one", e.Addr) + routeBlock("x", "/x", "read", "one", "")
	}
	s := startDaemon(t, config(0, 2))
	s.request(http.MethodGet, "/x")
	s.stopAndWait()
	s = startDaemon(t, config(0, 3)) // the same instance of a larger fleet
	if !strings.Contains(s.log.String(), `msg="snapshot restored"`) {
		t.Errorf("the instance did not restore its own snapshot:\n%s", s.log)
	}
	s.stopAndWait()
	s = startDaemon(t, config(1, 2))
	if status := s.request(http.MethodGet, "/x").status; status != http.StatusOK {
		t.Errorf("status %d with the snapshot of another instance, want 200", status)
	}
	log := s.log.String()
	if strings.Count(log, `msg="snapshot not restored"`) != 1 || !strings.Contains(log, "index-0's") {
		t.Errorf("the owner of the snapshot was not logged exactly once:\n%s", log)
	}
}
