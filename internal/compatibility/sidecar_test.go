package compatibility

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/hotrestart"
	"rowancart/internal/proxy"
)

const (
	// sidecarDir is a copy of the directory that TMPDIR names, of a sidecar of that name while it
	// served.
	sidecarDir  = "testdata/sidecar"
	sidecarName = "t"
	disabledID  = "b-3/x" // disabled through that sidecar's admin interface
)

// fadedSince returns how far, as a share, restored values may be from the stored ones by now:
// samples fade and ages grow while the test runs, by no more than a fifth of their value in a
// second.
func fadedSince(restored time.Time) float64 { return 0.001 + time.Since(restored).Seconds()/5 }

// openSharedDir returns a copy of the directory as the program finds it.
func openSharedDir(t *testing.T) *hotrestart.SharedDir {
	t.Helper()
	shared, err := hotrestart.OpenSharedDir(copyTree(t, sidecarDir), sidecarName)
	if err != nil {
		t.Fatal(err)
	}
	return shared
}

func readSidecarSnapshot(t *testing.T) (proxy.Snapshot, []byte) {
	t.Helper()
	var stored proxy.Snapshot
	content := readSnapshot(t, openSharedDir(t).SnapshotPath(), &stored)
	return stored, content
}

// checkLearnedState checks every field of learned state against the stored JSON object of it.
func checkLearnedState(t *testing.T, got balancer.LearnedState, learned map[string]any, tolerance float64) {
	t.Helper()
	checkNumbers(t, "learned state", learned, tolerance, map[string]float64{"Room": got.ConcurrencyLimit,
		"Calls": got.RecentRequests, "LongCalls": got.LongTermRequests, "For": float64(got.Age)})
	for name, length := range map[string]int{"Works": len(got.Latencies), "Kinds": len(got.Kinds),
		"Endpoints": len(got.Endpoints)} {
		if stored, _ := learned[name].([]any); len(stored) != length || length == 0 {
			t.Fatalf("%s: %d, stored are %d", name, length, len(stored))
		}
	}
	checkName := func(stored map[string]any, field, name string) {
		if stored[field] != name {
			t.Errorf("%s is %q, stored is %q", field, name, stored[field])
		}
	}
	for i, work := range got.Latencies {
		stored := object(t, learned, "Works", i)
		checkName(stored, "Name", work.Name)
		checkNumbers(t, "work "+work.Name, stored, tolerance, map[string]float64{"Calm": work.BaselineLatency,
			"Mean": work.MeanLatency, "Samples": work.Samples, "For": float64(work.Age)})
	}
	for i, kind := range got.Kinds {
		stored := object(t, learned, "Kinds", i)
		checkName(stored, "Name", kind.Name)
		checkNumbers(t, "kind "+kind.Name, stored, tolerance, map[string]float64{"W": kind.Weight,
			"Samples": kind.Samples})
	}
	for i, endpoint := range got.Endpoints {
		stored := object(t, learned, "Endpoints", i)
		checkName(stored, "ID", endpoint.ID)
		checkNumbers(t, "endpoint "+endpoint.ID, stored, tolerance, map[string]float64{"Sum": endpoint.Sum,
			"Samples": endpoint.Samples, "Errors": endpoint.Errors, "Outcomes": endpoint.Outcomes})
		if stored["Active"] != endpoint.Active {
			t.Errorf("endpoint %s: active %v, stored is %v", endpoint.ID, endpoint.Active, stored["Active"])
		}
	}
}

// checkEndpoints checks listed endpoints against the stored list of them.
func checkEndpoints(t *testing.T, got []proxy.Endpoint, holder map[string]any, name string) {
	t.Helper()
	if stored, _ := holder[name].([]any); len(stored) != len(got) || len(got) == 0 {
		t.Fatalf("%s: %d endpoints, stored are %d", name, len(got), len(stored))
	}
	for i, endpoint := range got {
		stored := object(t, holder, name, i)
		for field, text := range map[string]string{"ID": endpoint.ID, "Addr": endpoint.Addr, "Zone": endpoint.Zone,
			"Kind": endpoint.Kind} {
			if stored[field] != text {
				t.Errorf("endpoint %s: %s is %q, stored is %q", endpoint.ID, field, text, stored[field])
			}
		}
		checkNumbers(t, "endpoint "+endpoint.ID, stored, 0, map[string]float64{"Cell": float64(endpoint.Cell),
			"State": float64(endpoint.State), "StartedMs": float64(endpoint.StartedMs)})
	}
}

func TestSidecarSnapshotIsReadAsStored(t *testing.T) {
	got, content := readSidecarSnapshot(t)
	stored := object(t, decode(t, content))
	checkLearnedState(t, got.Learned, object(t, stored, "Learned"), 0)
	checkEndpoints(t, got.Endpoints, stored, "Members")
	checkEncodedAsStored(t, got, content)
	states := map[string]balancer.State{}
	for _, endpoint := range got.Endpoints {
		states[endpoint.ID] = endpoint.State
	}
	if states["a-1"] != balancer.Ready || states["c-1"] != balancer.Draining { // their numbers are what is stored
		t.Errorf("states %v", states)
	}
}

// newPool returns a pool with the endpoints that a snapshot lists and the classes that the stored
// sidecar had. Nothing is sent: nobody may listen at the stored addresses.
func newPool(t *testing.T, endpoints []proxy.Endpoint) *proxy.Pool {
	t.Helper()
	settings := balancer.Settings{MaxAttempts: 4, CancelAllowed: true, Classes: []balancer.Class{
		{Name: "look", Idempotency: balancer.Idempotent, LatencyObjective: 2 * time.Second},
		{Name: "pay", Idempotency: balancer.NonIdempotent, LatencyObjective: 2 * time.Second},
	}}
	list := proxy.EndpointList{Complete: true, Endpoints: endpoints}
	pool := proxy.New(settings, list, proxy.Options{MaxConns: 8, Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		pool.Run(ended)
	})
	return pool
}

func TestPoolRestoresStoredSidecarSnapshot(t *testing.T) {
	stored, content := readSidecarSnapshot(t)
	pool := newPool(t, stored.Endpoints)
	if learned := pool.Snapshot().Learned; learned.Latencies != nil || learned.Kinds != nil {
		t.Fatalf("a new pool has learned %+v", learned)
	}
	pool.Disable(disabledID)
	restored := time.Now()
	pool.Restore(stored, 0)
	learned := pool.Snapshot().Learned
	checkLearnedState(t, learned, object(t, decode(t, content), "Learned"), fadedSince(restored))

	inactive := map[string]balancer.InactiveReason{}
	for _, status := range pool.Endpoints() {
		inactive[status.ID] = status.Inactive
	}
	for _, endpoint := range stored.Learned.Endpoints {
		if active := inactive[endpoint.ID] == ""; active != endpoint.Active {
			t.Errorf("endpoint %s: %q, and stored is active %v", endpoint.ID, inactive[endpoint.ID], endpoint.Active)
		}
	}
	if inactive[disabledID] != balancer.InactiveDisabled {
		t.Errorf("the disabled endpoint: %q", inactive[disabledID])
	}
}

// What was stored of an endpoint that has another address now, or has started since, is about
// another process.
func TestPoolRestoresOnlyTheSameEndpoints(t *testing.T) {
	stored, _ := readSidecarSnapshot(t)
	for name, change := range map[string]func(*proxy.Endpoint){
		"address": func(e *proxy.Endpoint) { e.Addr = "127.0.0.1:1" },
		"start":   func(e *proxy.Endpoint) { e.StartedMs++ },
	} {
		t.Run(name, func(t *testing.T) {
			endpoints := slices.Clone(stored.Endpoints)
			for i := range endpoints {
				if endpoints[i].ID == "a-2" {
					change(&endpoints[i])
				}
			}
			pool := newPool(t, endpoints)
			pool.Restore(stored, 0)
			samples := map[string]float64{}
			for _, endpoint := range pool.Snapshot().Learned.Endpoints {
				samples[endpoint.ID] = endpoint.Samples
			}
			if samples["a-1"] == 0 || samples["a-2"] != 0 {
				t.Errorf("samples %v", samples)
			}
		})
	}
}

func TestSidecarDisabledEndpointsAreRead(t *testing.T) {
	disabled, err := openSharedDir(t).Disabled()
	if err != nil || !slices.Equal(disabled.IDs, []string{disabledID}) || len(disabled.ForeignFiles) != 0 {
		t.Errorf("%+v, %v", disabled, err)
	}
	shared := openSharedDir(t)
	if err := shared.Enable(disabledID); err != nil {
		t.Fatal(err)
	}
	if disabled, err := shared.Disabled(); err != nil || len(disabled.IDs) != 0 {
		t.Errorf("after enabling it: %+v, %v", disabled, err)
	}
}

// The file of a disabled endpoint has the name that the earlier program gave it.
func TestSidecarDisabledEndpointsAreWrittenAsStored(t *testing.T) {
	dir := t.TempDir()
	shared, err := hotrestart.OpenSharedDir(dir, sidecarName)
	if err != nil {
		t.Fatal(err)
	}
	if err := shared.Disable(disabledID); err != nil {
		t.Fatal(err)
	}
	names := func(dir string) (names []string) {
		files, err := os.ReadDir(filepath.Join(dir, "rowancart-"+sidecarName, "bans"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			names = append(names, file.Name())
		}
		return names
	}
	if got, want := names(dir), names(sidecarDir); !slices.Equal(got, want) {
		t.Errorf("%q, stored is %q", got, want)
	}
}
