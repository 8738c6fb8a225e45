package sidecar

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"rowancart/internal/hotrestart"
)

// hasRunningProcess reports whether any process is registered in a shared directory.
func hasRunningProcess(t *testing.T, dir *hotrestart.SharedDir) bool {
	t.Helper()
	observer, err := dir.Register(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	defer observer.Unregister()
	peers, err := observer.PeerProcesses()
	if err != nil {
		t.Fatal(err)
	}
	return peers.Running
}

func TestRegistrationIsRetried(t *testing.T) {
	parent := filepath.Join(t.TempDir(), "parent")
	if err := os.WriteFile(parent, nil, 0o600); err != nil { // not a directory
		t.Fatal(err)
	}
	dir := hotrestart.NewSharedDir(parent, "n")
	r := registration{sharedDir: dir}
	if err := r.update(); err == nil || r.presence != nil {
		t.Fatalf("registering without a directory: error %v", err)
	}
	r.unregister() // has no effect, because nothing is registered
	if err := os.Remove(parent); err != nil {
		t.Fatal(err)
	}
	if err := r.update(); err != nil {
		t.Fatal(err)
	}
	if !hasRunningProcess(t, dir) {
		t.Error("peer processes do not see the registered process")
	}
	r.unregister()
	if hasRunningProcess(t, dir) {
		t.Error("peer processes see the process after it has unregistered")
	}
}

func TestRegistrationIsMarkedServingOnce(t *testing.T) {
	r := registration{sharedDir: hotrestart.NewSharedDir(t.TempDir(), "n")}
	if err := r.update(); err != nil || r.markedServing {
		t.Fatalf("before the process serves: marked %v, error %v", r.markedServing, err)
	}
	r.serving = true
	for range 2 {
		if err := r.update(); err != nil || !r.markedServing {
			t.Fatalf("once the process serves: marked %v, error %v", r.markedServing, err)
		}
	}
	r.unregister()
}

// If something else removes the presence file, the process registers again and is then marked as
// serving.
func TestRegistrationIsRenewedOnceItsFileIsRemoved(t *testing.T) {
	r := registration{sharedDir: hotrestart.NewSharedDir(t.TempDir(), "n")}
	if err := r.update(); err != nil {
		t.Fatal(err)
	}
	r.presence.Unregister()
	r.serving = true
	if err := r.update(); err == nil || r.presence != nil || r.markedServing {
		t.Fatalf("after its file was removed: marked %v, error %v; want an error", r.markedServing, err)
	}
	if err := r.update(); err != nil || !r.markedServing {
		t.Errorf("after registering again: marked %v, error %v", r.markedServing, err)
	}
	r.unregister()
}
