//go:build fleet

package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/snapshot"
	"rowancart/internal/testpeer"
)

var fleetKills = flag.Int("fleet.kills", 60, "number of kills of instances and of the supervisor")

// supervisedInstanceConfig is the configuration of all instances. Its verb stands for the address
// of the endpoint.
const supervisedInstanceConfig = `admin {
  listen = env("ROWANCART_ADMIN")
}
listener "front" {
  address = "unix:${env("ROWANCART_STATE")}.sock"
}
state {
  path = env("ROWANCART_STATE")
}
fleet {
  instances = env("ROWANCART_INSTANCES")
  index = env("ROWANCART_INDEX")
}
class "look" {
  effect = "safe"
}
pool "one" {
  roster "static" {
    endpoint "a" {
      address = %q
    }
  }
}
route "all" {
  path = "/*"
  class = "look"
  pool = "one"
}
`

// supervisorConfig is the supervisor's configuration. Its verb stands for the number of instances.
const supervisorConfig = `fleet {
  instances = %d
  config = "instance.hcl"
  folder = "run"
  seed = 5
  ready_within = "5s"
  stop_within = "5s"
  back_off {
    first = "50ms"
    most = "400ms"
  }
}
`

// supervisorProcess is a process that runs "rowancart fleet", with the folder of its state.
type supervisorProcess struct {
	cmd       *exec.Cmd
	log       *logFollower
	folder    string
	instances int
}

// startSupervisor starts a supervisor. The fleet's configuration file is in the parent of folder.
func startSupervisor(t *testing.T, program, folder string, instances int) *supervisorProcess {
	t.Helper()
	file := filepath.Join(filepath.Dir(folder), "fleet.hcl")
	s := &supervisorProcess{cmd: exec.Command(program, "fleet", file), folder: folder, instances: instances}
	s.log = startProgram(t, s.cmd)
	s.log.wait(t, instances, `msg="instance (?:adopted|started)"()`) // then it handles SIGTERM
	return s
}

// pids returns the process ids of the instances from the state that the supervisor has saved; 0 for
// an instance that does not run.
func (s *supervisorProcess) pids() []int {
	var state struct{ Instances []struct{ Pid int } }
	if _, err := snapshot.Read(filepath.Join(s.folder, "fleet.state"), time.Now(), time.Hour, &state); err != nil {
		return nil
	}
	var pids []int
	for _, in := range state.Instances {
		pids = append(pids, in.Pid)
	}
	return pids
}

// allHealthy reports whether all instances run and are healthy.
func (s *supervisorProcess) allHealthy() bool {
	pids := s.pids()
	if len(pids) != s.instances {
		return false
	}
	for i, pid := range pids {
		if pid == 0 || syscall.Kill(pid, 0) != nil || !s.isHealthy(i) {
			return false
		}
	}
	return true
}

// isHealthy reports whether the health check at an instance's admin socket succeeds.
func (s *supervisorProcess) isHealthy(i int) bool {
	transport := unixTransport(filepath.Join(s.folder, fmt.Sprintf("admin-%d.sock", i)))
	transport.DisableKeepAlives = true
	client := &http.Client{Timeout: time.Second, Transport: transport}
	resp, err := client.Get("http://admin/healthz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// checkSecondSupervisor checks that a second supervisor of the fleet fails to start.
func checkSecondSupervisor(t *testing.T, program, file string) {
	t.Helper()
	out, err := exec.Command(program, "fleet", file).CombinedOutput()
	if err == nil || strings.Count(string(out), "\n") != 1 ||
		!strings.Contains(string(out), "another supervisor runs this fleet") {
		t.Errorf("second supervisor of the fleet: error %v, output %q", err, out)
	}
}

// pidSet is a set of process ids.
type pidSet map[int]bool

func (p pidSet) add(pids []int) {
	for _, pid := range pids {
		p[pid] = true
	}
}

// countRunning returns how many of the processes still run.
func (p pidSet) countRunning() int {
	running := 0
	for pid := range p {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		_, state, _ := strings.Cut(string(stat), ") ")
		if err == nil && !strings.HasPrefix(state, "Z") { // a zombie has exited and waits for init
			running++
		}
	}
	return running
}

// kill kills the supervisor with SIGKILL; its instances continue to run.
func (s *supervisorProcess) kill() {
	s.cmd.Process.Signal(syscall.SIGKILL)
	s.cmd.Wait()
}

// stop terminates the supervisor, which terminates its instances.
func (s *supervisorProcess) stop(t *testing.T) {
	t.Helper()
	if err := s.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := s.cmd.Wait(); err != nil {
		t.Errorf("the supervisor exited with %v", err)
	}
}

// Kills instances and the supervisor itself in a random order from a fixed seed. All eight
// instances must become healthy after each kill, and none of their processes may run after the
// supervisor has been stopped.
func TestSupervisorRestartsKilledInstancesAndLeavesNoProcesses(t *testing.T) {
	const instances = 8
	kills := *fleetKills
	endpoint := testpeer.StartEndpoint(t, testpeer.RespondWith(testpeer.OKResponse, testpeer.KeepConn))
	dir := t.TempDir()
	program := linkProgram(t, dir)
	file := filepath.Join(dir, "fleet.hcl")
	folder := filepath.Join(dir, "run")
	writeFile(t, filepath.Join(dir, "instance.hcl"), fmt.Sprintf(supervisedInstanceConfig, endpoint.Addr))
	writeFile(t, file, fmt.Sprintf(supervisorConfig, instances))
	seen := pidSet{} // all processes of instances so far
	s := startSupervisor(t, program, folder, instances)
	t.Cleanup(func() {
		_ = s.cmd.Process.Kill()
		for pid := range seen {
			_ = syscall.Kill(pid, syscall.SIGKILL)
		}
	})
	checkSecondSupervisor(t, program, file)
	rng := rand.New(rand.NewPCG(11, 0))
	supervisorKills := 0
	for k := range kills {
		testpeer.WaitUntil(t, fmt.Sprintf("all %d instances healthy before kill %d", instances, k+1), s.allHealthy)
		pids := s.pids()
		seen.add(pids)
		if rng.IntN(6) == 0 { // kill the supervisor; its successor adopts the instances
			supervisorKills++
			s.kill()
			s = startSupervisor(t, program, folder, instances)
			continue
		}
		syscall.Kill(pids[rng.IntN(instances)], syscall.SIGKILL)
	}
	testpeer.WaitUntil(t, "all instances healthy after the last kill", s.allHealthy)
	seen.add(s.pids())
	s.stop(t)
	if running := seen.countRunning(); running > 0 {
		t.Errorf("%d of %d processes of instances still run, want none", running, len(seen))
	}
	t.Logf("%d kills, %d of them of the supervisor; %d processes of instances in total",
		kills, supervisorKills, len(seen))
}
