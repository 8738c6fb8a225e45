package sidecar

import (
	"log/slog"
	"os"
	"testing"
	"time"

	"rowancart/internal/discovery/watch"
	"rowancart/internal/hotrestart"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
	"rowancart/internal/snapshot"
)

// listAt returns a list of the given origin.
func listAt(source listSource, addr string, epoch, version int64) knownList {
	return knownList{
		Origin: watch.Origin{Addr: addr, Position: watch.Position{Epoch: epoch, Version: version}},
		source: source,
	}
}

// Guards against a start with the older of the lists that are known.
func TestNewerListIsInForceAtTheStart(t *testing.T) {
	const soon, late = time.Second, time.Hour
	configured := func(addr string, version int64) knownList { return listAt(fromConfiguration, addr, 0, version) }
	stored := func(addr string, epoch, version int64) knownList { return listAt(fromStoredList, addr, epoch, version) }
	unconfigured := knownList{Origin: watch.UnknownOrigin(), source: fromConfiguration}
	withoutVersion := knownList{Origin: watch.UnknownOrigin(), source: fromSnapshot}
	for _, test := range []struct {
		name               string
		configured, stored knownList
		age                time.Duration
		want               listSource
	}{
		{"stored is newer", configured("x", 41), stored("x", 0, 42), late, fromStoredList},
		{"same version", configured("x", 41), stored("x", 0, 41), soon, fromStoredList},
		{"configured is newer", configured("x", 43), stored("x", 0, 42), soon, fromConfiguration},
		{"no list is configured", unconfigured, stored("x", 0, 42), late, fromStoredList},
		{"versions began anew", configured("x", 41), stored("x", 1, 3), soon, fromStoredList},
		{"versions began anew long ago", configured("x", 41), stored("x", 1, 3), late, fromConfiguration},
		{"another address", configured("y", 41), stored("x", 0, 3), soon, fromStoredList},
		{"another address, long ago", configured("y", 1), stored("x", 0, 3), late, fromConfiguration},
		{"snapshot without a version", configured("x", 41), withoutVersion, soon, fromSnapshot},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := newerList(test.configured, test.stored, test.age)
			if got.source != test.want {
				t.Errorf("list from %q, want %q", got.source, test.want)
			}
			if got.source == fromConfiguration && got.Compare(test.stored.Position) <= 0 {
				t.Errorf("position %+v, not newer than the stored list's %+v", got.Position, test.stored.Position)
			}
		})
	}
}

// Guards against a start that fails, or uses a part of a file, because a stored file is damaged.
func TestDamagedFilesFallBackToTheNextList(t *testing.T) {
	sharedDir := t.TempDir()
	dir, err := hotrestart.OpenSharedDir(sharedDir, "")
	if err != nil {
		t.Fatal(err)
	}
	c := testOptions{sharedDir: sharedDir, endpoints: []platform.Endpoint{
		listed("configured", "127.0.0.1:1", platform.StateReady),
	}}.config(t, "127.0.0.1:9")
	write := func(path string, value any) {
		t.Helper()
		if err := snapshot.WriteNoSync(path, time.Now(), value); err != nil {
			t.Fatal(err)
		}
	}
	damage := func(path string) {
		t.Helper()
		if err := os.Truncate(path, 40); err != nil {
			t.Fatal(err)
		}
	}
	requireInitial := func(want string) {
		t.Helper()
		list := initialList(c, slog.New(slog.DiscardHandler))
		if len(list.Endpoints) != 1 || list.Endpoints[0].ID != want {
			t.Errorf("list %+v, want that with the endpoint %q", list, want)
		}
	}
	requireInitial("configured")
	write(dir.SnapshotPath(), proxy.Snapshot{Endpoints: []proxy.Endpoint{{ID: "snapshot", Addr: "127.0.0.1:2"}}})
	requireInitial("snapshot")
	stored := listAt(fromStoredList, c.Discovery, 0, 2) // the configured list has version 1
	stored.Endpoints = []proxy.Endpoint{{ID: "stored", Addr: "127.0.0.1:3"}}
	write(dir.EndpointListPath(), stored)
	requireInitial("stored")
	damage(dir.EndpointListPath())
	requireInitial("snapshot")
	damage(dir.SnapshotPath())
	requireInitial("configured")
}

// Guards against a damaged list that stays in the shared directory, where it hides later ones.
func TestDamagedListIsReplaced(t *testing.T) {
	sharedDir := t.TempDir()
	dir, err := hotrestart.OpenSharedDir(sharedDir, "")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(dir.EndpointListPath(), []byte("{torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	endpoints := []platform.Endpoint{listed("a", "127.0.0.1:1", platform.StateReady)}
	testOptions{sharedDir: sharedDir, endpoints: endpoints}.start(t)
	waitUntil(t, "the list is stored", func() bool {
		var list knownList
		_, err := snapshot.ReadAnyAge(dir.EndpointListPath(), &list)
		return err == nil && list.Version == 1 && len(list.Endpoints) == 1
	})
}
