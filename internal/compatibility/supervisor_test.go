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

// standIn is a process that stands for an instance.
type standIn struct {
	*exec.Cmd
	ended chan error
}

// startStandIn starts one, and returns also its start in ticks after boot.
func startStandIn(t *testing.T) (instance standIn, since uint64) {
	t.Helper()
	instance = standIn{exec.Command("sleep", "60"), make(chan error, 1)}
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
	const startTime = 19 // the index of starttime behind the command's name, by proc(5)
	if since, err = strconv.ParseUint(strings.Fields(rest)[startTime], 10, 64); err != nil {
		t.Fatal(err)
	}
	go func() { instance.ended <- instance.Wait() }()
	return instance, since
}

// storedInstances returns the stored content, its list of instances, and that list's elements,
// which are the same maps.
func storedInstances(t *testing.T) (content any, instances []map[string]any) {
	t.Helper()
	readSnapshot(t, filepath.Join("testdata/supervisor", supervisorStateName), &content)
	for i := range object(t, content)["Instances"].([]any) {
		instances = append(instances, object(t, content, "Instances", i))
	}
	return content, instances
}

// storeStandIns puts stand-ins into the place of the stored processes, which are long gone, under
// the stored names, and returns the content.
func storeStandIns(t *testing.T, path string, writtenAt time.Time) (standIns []standIn, stored []byte) {
	t.Helper()
	content, instances := storedInstances(t)
	for i, instance := range instances {
		for name, value := range instance {
			if n, _ := value.(float64); n <= 0 {
				t.Fatalf("instance %d: %s is %v", i, name, value)
			}
		}
		process, since := startStandIn(t)
		standIns = append(standIns, process)
		instance["Pid"], instance["Since"] = process.Process.Pid, since
	}
	if err := snapshot.Write(path, writtenAt, content); err != nil {
		t.Fatal(err)
	}
	stored, err := json.Marshal(content)
	if err != nil {
		t.Fatal(err)
	}
	return standIns, stored
}

// runSupervisor runs a supervisor of a folder with that many instances until the returned function
// is called.
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

// A supervisor adopts the processes that an earlier one's state tells of, writes them under the
// same names, and ends them at its own end.
func TestSupervisorAdoptsInstancesOfStoredState(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, supervisorStateName)
	const age = time.Minute // which tells this state from the one that the supervisor writes
	standIns, stored := storeStandIns(t, path, time.Now().Add(-age))
	if len(standIns) != 2 {
		t.Fatalf("%d instances", len(standIns))
	}
	stop := runSupervisor(t, folder, len(standIns))
	var written json.RawMessage
	testpeer.WaitUntil(t, "the supervisor has written its state", func() bool {
		_, err := snapshot.Read(path, time.Now(), age/2, &written)
		return err == nil
	})
	checkEncodedAsStored(t, written, stored) // both are adopted: the same processes
	for i, process := range standIns {
		select {
		case err := <-process.ended:
			t.Errorf("the process of instance %d has ended: %v", i, err)
		default:
		}
	}
	stop()
	if t.Failed() { // processes that were not adopted are not ended
		return
	}
	for i, process := range standIns {
		var exit *exec.ExitError
		if err := <-process.ended; !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGTERM {
			t.Errorf("the process of instance %d has ended with %v", i, err)
		}
	}
}
