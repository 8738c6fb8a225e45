package testbed

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"rowancart/internal/experiment"
	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*persistConn).readLoop"),
		goleak.IgnoreAnyFunction("net/http.(*persistConn).writeLoop"))
}

// TestProgramsThatDoNotStart checks that a program that does not become healthy ends the run with
// a message that says so, and does not remain.
func TestProgramsThatDoNotStart(t *testing.T) {
	for _, c := range []struct {
		name string
		line string // of the program
		want string // in the error
	}{
		{"is never healthy", "echo $$ >pid; exec sleep 600", "balancer-0 was not healthy within 300ms"},
		{"exits", "echo no memory >&2; exit 4", "balancer-0 ended before it was healthy: exit status 4; it wrote: no memory"},
		{"does not exist", "exec ./nothing", "balancer-0 ended before it was healthy: exit status 127"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			program := Command{Line: c.line, Dir: dir, Scratch: dir}
			_, err := Run(t.Context(), smallExperiment(), experiment.Variant{Name: "x"}, 1,
				Options{Program: program, StartTimeout: 300 * time.Millisecond})
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
			if pid, err := os.ReadFile(filepath.Join(dir, "pid")); err == nil {
				if _, err := os.Stat("/proc/" + strings.TrimSpace(string(pid))); err == nil {
					t.Errorf("process %s remains", pid)
				}
			}
		})
	}
}

// observedProgram is a violatingProgram that sends its proxy to the test.
type observedProgram struct {
	violatingProgram
	proxy chan *violatingProxy
}

// Start implements Program.
func (o observedProgram) Start(c platform.ConfigFile) (Instance, error) {
	p, err := o.violatingProgram.startProxy(c)
	if err != nil {
		return nil, err
	}
	o.proxy <- p
	return p, nil
}

// TestInterrupt checks that an interrupt ends a run, and that what was measured until then is
// returned. TestMain checks that nothing that was started remains.
//
// The interrupt comes when most of the requests of the first second, about 80, have ended: because
// they have responses, or because the time for which their clients wait is over. On a busy machine
// many get none in that time, and no more requests are sent while the test waits.
func TestInterrupt(t *testing.T) {
	const (
		wantResponses  = 60 // upon which the test interrupts
		wantMeasured   = 50 // clients record a response later than the proxy
		clientMaxDelay = 4 * time.Second
	)
	ctx, stop := context.WithCancel(context.Background())
	e := smallExperiment()
	e.Duration = time.Hour
	program := observedProgram{violatingProgram(noViolation), make(chan *violatingProxy, 1)}
	var once sync.Once
	stopAfterOneSecond := func(time.Duration) {
		once.Do(func() { // a second's requests have been sent
			p := <-program.proxy
			allEnded := time.Now().Add(e.Site.Classes[0].Deadline + clientMaxDelay)
			testpeer.WaitUntil(t, "most of the first second's requests have ended", func() bool {
				return p.responses.Load() >= wantResponses || time.Now().After(allEnded)
			})
			stop()
		})
	}
	got, err := Run(ctx, e, experiment.Variant{Name: "x"}, 1, Options{Program: program, Progress: stopAfterOneSecond})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	if n := got.Counters.Total.Offered(); n < wantMeasured {
		t.Errorf("%d requests were measured before the interrupt, want %d", n, wantMeasured)
	}
}
