package daemon

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rowancart/internal/config"
	"rowancart/internal/proxy"
	"rowancart/internal/snapshot"
	"rowancart/internal/subset"
)

func TestReloadStatusRecordsTheLatestError(t *testing.T) {
	var s ReloadStatus
	first := time.Unix(1000, 0)
	s.record(first, errors.New("invalid"))
	if s.Failed != 1 || s.Succeeded != 0 || s.LastError != "invalid" || !s.LastAt.Equal(first) {
		t.Errorf("after a failure: %+v", s)
	}
	second := first.Add(time.Minute)
	s.record(second, nil)
	if s.Failed != 1 || s.Succeeded != 1 || s.LastError != "" || !s.LastAt.Equal(second) {
		t.Errorf("after a success: %+v", s)
	}
}

func TestRequestIDsDiffer(t *testing.T) {
	ids := requestIDs{prefix: 0xabc}
	first, second := ids.next(), ids.next()
	if first != "0000000000000abc-1" || second != "0000000000000abc-2" {
		t.Errorf("got the request ids %q and %q", first, second)
	}
}

// Only one handover is in progress at a time. The next can begin after it has failed.
func TestHandoverBeginsOnce(t *testing.T) {
	h := newHandover(Options{})
	if !h.begin() || h.begin() {
		t.Error("the first handover did not begin, or a second began while it was in progress")
	}
	h.reset()
	if !h.begin() {
		t.Error("no handover began after one that failed")
	}
	if l, err := h.inherit("127.0.0.1:1"); l != nil || err != nil {
		t.Errorf("without a predecessor: inherited socket %v, error %v", l, err)
	}
	if err := h.notifyPredecessor(); err != nil {
		t.Error(err)
	}
}

// A listener that a reload has removed is found neither by name nor by address.
func TestListenerSetFindsConfiguredListeners(t *testing.T) {
	open := &listener{name: "a", address: "h:1"}
	removed := &listener{name: "b", address: "h:2", lastGeneration: &generation{}}
	s := listenerSet{removed, open}
	if s.byName("a") != open || s.byAddress("h:1") != open {
		t.Error("the configured listener was not found")
	}
	if s.byName("b") != nil || s.byAddress("h:2") != nil || s.byName("c") != nil {
		t.Error("a removed or unknown listener was found")
	}
	if s = s.without(removed); len(s) != 1 || s[0] != open {
		t.Errorf("%d listeners remain without the removed one, want 1", len(s))
	}
}

func TestSourceStatusHasTheLatestError(t *testing.T) {
	var s sourceStatus
	s.set(&staleListError{90 * time.Second})
	if got, want := s.get(), "restored from a snapshot that was 1m30s old when the process started"; got != want {
		t.Errorf("error %q of a restored list, want %q", got, want)
	}
	s.set(nil)
	if got := s.get(); got != "" {
		t.Errorf("error %q after a list was put in force, want none", got)
	}
}

func TestMaxDescriptorsCountsAllConnections(t *testing.T) {
	c := &config.Config{Limits: config.Limits{MaxConns: 100}, Pools: []config.Pool{{MaxConns: 10}, {MaxConns: 20}}}
	if n := maxDescriptors(c); n != 130+reservedDescriptors {
		t.Errorf("%d descriptors, want one per connection and the reserved ones", n)
	}
}

// A reload cannot move the admin listener to another address. The error contains both addresses.
func TestReloadRejectsMovedAdminListener(t *testing.T) {
	blocks := poolBlock("one", "127.0.0.1:1") + routeBlock("x", "/x", "read", "one", "")
	s := startDaemon(t, blocks)
	path := filepath.Join(t.TempDir(), "admin")
	s.writeFile(strings.Replace(configHead+blocks, `listen = "127.0.0.1:0"`, `listen = "unix:`+path+`"`, 1))
	err := s.Reload()
	want := `admin: the listener cannot be moved without a restart, from "127.0.0.1:0" to "unix:` + path + `"`
	if !errors.Is(err, errAdminMoved) || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}

// A periodic snapshot is written only when it is due, any other immediately. The file stays locked
// until the final snapshot has been written.
func TestSnapshotWriterWritesAndLocks(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	g := &generation{config: &config.Config{Snapshot: config.Snapshot{Path: path, Interval: time.Hour}}}
	w := snapshotWriter{log: slog.New(slog.DiscardHandler)}
	current := func() *generation { return g }
	for i, row := range []struct {
		mode    saveMode
		written bool
		locked  bool
	}{
		{savePeriodic, true, true}, // the first snapshot is always due
		{savePeriodic, false, true},
		{saveForSuccessor, true, true},
		{saveFinal, true, false},
	} {
		w.save(row.mode, current)
		if err := os.Remove(path); (err == nil) != row.written {
			t.Errorf("step %d: written %v, want %v", i, err == nil, row.written)
		}
		lock, err := snapshot.Lock(path)
		if (err != nil) != row.locked {
			t.Errorf("step %d: locked %v, want %v", i, err != nil, row.locked)
		}
		if err == nil {
			lock.Close()
		}
	}
}

// The filter delivers only the endpoints of this instance's subset, but keeps all of them.
func TestEndpointFilterDeliversSubset(t *testing.T) {
	var f endpointFilter
	f.reset(subset.Spec{Size: 3, Instances: 9})
	list := proxy.EndpointList{Complete: true}
	for i := range 9 {
		list.Endpoints = append(list.Endpoints, proxy.Endpoint{ID: fmt.Sprint("e", i), Addr: "h:1"})
	}
	var delivered proxy.EndpointList
	f.update(list, func(update proxy.EndpointList) { delivered = update })
	if len(delivered.Endpoints) != 3 || len(f.endpoints()) != 9 {
		t.Errorf("%d endpoints delivered and %d kept, want 3 and 9", len(delivered.Endpoints), len(f.endpoints()))
	}
	f.setSpec(subset.Spec{})
	f.update(proxy.EndpointList{}, func(update proxy.EndpointList) { delivered = update })
	if len(delivered.Endpoints) != 6 {
		t.Errorf("%d endpoints delivered after the subset became all endpoints, want the other 6", len(delivered.Endpoints))
	}
}
