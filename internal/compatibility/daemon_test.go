package compatibility

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"rowancart/internal/daemon"
	"rowancart/internal/proxy"
	"rowancart/internal/snapshot"
	"rowancart/internal/testpeer"
)

const (
	daemonStatePath  = "testdata/daemon/state"
	daemonConfigPath = "testdata/daemon/rowancart.hcl"
	daemonPool       = "forms"
	daemonInstance   = "one" // name of the instance in that configuration
	storedOwner      = "host-1/" + daemonInstance
)

// daemonState has the structure of the daemon's state file, whose type is not exported. The tests
// below, which run a daemon, check the names Owner, Pools, Memory and Roster.
type daemonState struct {
	Owner string
	Pools map[string]struct {
		Memory proxy.Snapshot
		Roster []proxy.Endpoint
	}
}

func TestDaemonStateIsReadAsStored(t *testing.T) {
	var got daemonState
	content := readSnapshot(t, daemonStatePath, &got)
	stored := decode(t, content)
	pool := got.Pools[daemonPool]
	checkLearnedState(t, pool.Memory.Learned, object(t, stored, "Pools", daemonPool, "Memory", "Learned"), 0)
	checkEndpoints(t, pool.Memory.Endpoints, object(t, stored, "Pools", daemonPool, "Memory"), "Members")
	checkEndpoints(t, pool.Roster, object(t, stored, "Pools", daemonPool), "Roster")
	checkEncodedAsStored(t, got, content)
}

// startDaemon runs a daemon with the stored configuration, except that its listener and its state
// file are replaced. If endpointList is not empty, it replaces the endpoint list of the
// configuration. stop shuts the daemon down gracefully.
func startDaemon(
	t *testing.T, statePath, endpointList string,
) (d *daemon.Daemon, log *testpeer.LogBuffer, stop func()) {
	t.Helper()
	stored, err := os.ReadFile(daemonConfigPath)
	if err != nil {
		t.Fatal(err)
	}
	text := string(stored)
	replace := func(from, to string) {
		if strings.Count(text, from) != 1 {
			t.Fatalf("%q does not occur exactly once in the stored configuration", from)
		}
		text = strings.Replace(text, from, to, 1)
	}
	between := func(start, end string) string {
		_, rest, _ := strings.Cut(text, start)
		part, _, _ := strings.Cut(rest, end)
		return start + part + end
	}
	replace(between("address = ", "\n}"), "address = \"127.0.0.1:0\"\n}")
	replace(`path = "state"`, fmt.Sprintf("path = %q", statePath))
	if endpointList != "" {
		replace(between(`roster "static"`, "\n  }\n}"), endpointList+"\n}")
	}
	config := filepath.Join(t.TempDir(), "rowancart.hcl")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log = &testpeer.LogBuffer{}
	d, err = daemon.New(daemon.Options{ConfigPath: config, LookupEnv: os.LookupEnv,
		Log: slog.New(slog.NewTextHandler(log, nil))})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, nil) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return d, log, stop
}

// storeState writes a state file with the stored pools, unchanged, the current time and an owner. A
// daemon would reject the stored file itself because of its age and its owner (see
// TestDaemonRejectsUnusableState).
func storeState(t *testing.T, owner string) (path string, pools []byte) {
	t.Helper()
	var content map[string]json.RawMessage
	readSnapshot(t, daemonStatePath, &content)
	name, err := json.Marshal(owner)
	if err != nil {
		t.Fatal(err)
	}
	pools = content["Pools"]
	content["Owner"] = name
	path = filepath.Join(t.TempDir(), "state")
	if err := snapshot.Write(path, time.Now(), content); err != nil {
		t.Fatal(err)
	}
	return path, pools
}

// endpointStatuses returns the entries of the endpoints of the only pool in the daemon's status.
func endpointStatuses(t *testing.T, d *daemon.Daemon) (statuses []map[string]any) {
	t.Helper()
	text, err := json.Marshal(d.Status())
	if err != nil {
		t.Fatal(err)
	}
	pool := object(t, decode(t, text), "pools", 0)
	for i := range pool["endpoints"].([]any) {
		statuses = append(statuses, object(t, pool, "endpoints", i))
	}
	return statuses
}

func thisOwner(t *testing.T) string {
	t.Helper()
	host, err := os.Hostname()
	if err != nil {
		t.Fatal(err)
	}
	return host + "/" + daemonInstance
}

func TestDaemonRestoresStoredState(t *testing.T) {
	restored := time.Now()
	path, pools := storeState(t, thisOwner(t))
	d, log, stop := startDaemon(t, path, "")
	if !strings.Contains(log.String(), `msg="snapshot restored"`) {
		t.Fatalf("the stored state was not restored:\n%s", log)
	}
	inactive := map[any]any{}
	for _, endpoint := range endpointStatuses(t, d) {
		inactive[endpoint["id"]] = endpoint["out"]
	}
	stored := object(t, decode(t, pools), daemonPool, "Memory", "Learned")
	for i := range stored["Endpoints"].([]any) {
		endpoint := object(t, stored, "Endpoints", i)
		if reason := inactive[endpoint["ID"]]; (reason == nil) != endpoint["Active"] {
			t.Errorf("endpoint %v: inactive for reason %v, want active: %v", endpoint["ID"], reason, endpoint["Active"])
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	stop() // the daemon writes its state again

	var written daemonState
	if _, err := snapshot.Read(path, time.Now(), time.Minute, &written); err != nil {
		t.Fatal(err)
	}
	pool := written.Pools[daemonPool]
	checkLearnedState(t, pool.Memory.Learned, stored, decayTolerance(restored))
	var content any
	if _, err := snapshot.Read(path, time.Now(), time.Minute, &content); err != nil {
		t.Fatal(err)
	}
	var before any
	readSnapshot(t, daemonStatePath, &before)
	checkSameNames(t, "state", content, before)
	if owner := content.(map[string]any)["Owner"]; owner != thisOwner(t) {
		t.Errorf("written owner is %q", owner)
	}
}

// A daemon that cannot read its endpoint list at start-up uses the list in its stored state.
func TestDaemonStartsWithStoredEndpointList(t *testing.T) {
	path, pools := storeState(t, thisOwner(t))
	missingFile := filepath.Join(t.TempDir(), "none.json")
	d, log, _ := startDaemon(t, path, fmt.Sprintf("roster \"file\" {\n    path = %q\n  }", missingFile))
	statuses := endpointStatuses(t, d)
	stored := object(t, decode(t, pools), daemonPool)
	if len(statuses) != len(stored["Roster"].([]any)) {
		t.Fatalf("endpoints %v, log:\n%s", statuses, log)
	}
	for i, endpoint := range statuses {
		want := object(t, stored, "Roster", i)
		if endpoint["id"] != want["ID"] || endpoint["address"] != want["Addr"] || endpoint["state"] != "ready" {
			t.Errorf("endpoint %v, want %v", endpoint, want)
		}
	}
}

// A state that is too old, or that another instance wrote, is rejected, and the reason is logged.
func TestDaemonRejectsUnusableState(t *testing.T) {
	now := time.Now()
	written, _ := writtenAt(t, daemonStatePath)
	ageReason := "too old"
	if now.Before(written) { // this machine's clock is behind the clock that wrote the state
		ageReason = "written in the future"
	}
	stored, err := os.ReadFile(daemonStatePath)
	if err != nil {
		t.Fatal(err)
	}
	storedCopy := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(storedCopy, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	otherOwner, _ := storeState(t, storedOwner)
	for name, row := range map[string]struct{ path, reason string }{
		"as stored":           {storedCopy, ageReason},
		"of another instance": {otherOwner, "it is " + storedOwner + "'s, and this is " + thisOwner(t)},
	} {
		_, log, stop := startDaemon(t, row.path, "")
		testpeer.WaitUntil(t, "listening", func() bool { return strings.Contains(log.String(), "listening") })
		for _, want := range []string{`msg="snapshot not restored"`, row.reason} {
			if !strings.Contains(log.String(), want) {
				t.Errorf("state %s: %q was not logged:\n%s", name, want, log)
			}
		}
		stop()
	}
}
