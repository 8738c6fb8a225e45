package compatibility

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/snapshot"
	"rowancart/internal/supervisor"
	"rowancart/internal/testpeer"
)

const supervisorStateName = "fleet.state"

// placeholder is a process that takes the place of an instance.
type placeholder struct {
	*exec.Cmd
	ended chan error
}

// startPlaceholder starts a placeholder. It also returns its start time in clock ticks after boot.
func startPlaceholder(t *testing.T) (instance placeholder, since uint64) {
	t.Helper()
	instance = placeholder{exec.Command("sleep", "60"), make(chan error, 1)}
	if err := instance.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = instance.Process.Kill() })
	pid := instance.Process.Pid
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), ") ")
	const startTime = 19 // index of the field starttime after the command name, see proc(5)
	if since, err = strconv.ParseUint(strings.Fields(rest)[startTime], 10, 64); err != nil {
		t.Fatal(err)
	}
	go func() { instance.ended <- instance.Wait() }()
	return instance, since
}

// storedInstances returns the stored content, and the elements of its list of instances, which
// share their maps with the content.
func storedInstances(t *testing.T) (content any, instances []map[string]any) {
	t.Helper()
	readSnapshot(t, filepath.Join("testdata/supervisor", supervisorStateName), &content)
	for i := range object(t, content)["Instances"].([]any) {
		instances = append(instances, object(t, content, "Instances", i))
	}
	return content, instances
}

// storePlaceholders writes a state file in which placeholders replace the stored processes, which
// have exited long ago. The field names are the stored ones. It returns the placeholders and the
// content of the file.
func storePlaceholders(t *testing.T, path string, writtenAt time.Time) (placeholders []placeholder, stored []byte) {
	t.Helper()
	content, instances := storedInstances(t)
	for i, instance := range instances {
		for name, value := range instance {
			if n, _ := value.(float64); n <= 0 {
				t.Fatalf("instance %d: field %s is %v, want a positive number", i, name, value)
			}
		}
		process, since := startPlaceholder(t)
		placeholders = append(placeholders, process)
		instance["Pid"], instance["Since"] = process.Process.Pid, since
	}
	if err := snapshot.Write(path, writtenAt, content); err != nil {
		t.Fatal(err)
	}
	stored, err := json.Marshal(content)
	if err != nil {
		t.Fatal(err)
	}
	return placeholders, stored
}

// runSupervisor runs a supervisor of a folder with the given number of instances until stop is
// called.
func runSupervisor(t *testing.T, folder string, instances int) (stop func()) {
	t.Helper()
	path := filepath.Join(folder, "fleet.hcl")
	text := fmt.Sprintf(`fleet {
  instances    = %d
  config       = "none.hcl"
  folder       = "."
  ready_within = "1h"
}
`, instances)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := supervisor.LoadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	options := supervisor.Options{Program: filepath.Join(folder, "none"), Log: slog.New(slog.DiscardHandler)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- supervisor.Run(ctx, config, options) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return stop
}

// A supervisor adopts the processes in the state file of an earlier supervisor, writes them with
// the same field names, and terminates them when it stops.
func TestSupervisorAdoptsInstancesOfStoredState(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, supervisorStateName)
	const age = time.Minute // distinguishes this state from the one that the supervisor writes
	placeholders, stored := storePlaceholders(t, path, time.Now().Add(-age))
	if len(placeholders) != 2 {
		t.Fatalf("%d stored instances, want 2", len(placeholders))
	}
	stop := runSupervisor(t, folder, len(placeholders))
	var written json.RawMessage
	testpeer.WaitUntil(t, "the supervisor has written its state", func() bool {
		_, err := snapshot.Read(path, time.Now(), age/2, &written)
		return err == nil
	})
	checkEncodedAsStored(t, written, stored) // the supervisor has adopted both processes
	for i, process := range placeholders {
		select {
		case err := <-process.ended:
			t.Errorf("the process of instance %d has exited: %v", i, err)
		default:
		}
	}
	stop()
	if t.Failed() { // the supervisor does not terminate processes that it has not adopted
		return
	}
	for i, process := range placeholders {
		var exit *exec.ExitError
		if err := <-process.ended; !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGTERM {
			t.Errorf("the process of instance %d exited with %v, want SIGTERM", i, err)
		}
	}
}
