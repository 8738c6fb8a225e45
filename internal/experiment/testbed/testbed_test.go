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

// TestProgramsThatDoNotStart checks that a run fails with an error that gives the reason if the
// program does not become healthy, and that the program's process has ended.
func TestProgramsThatDoNotStart(t *testing.T) {
	for _, c := range []struct {
		name string
		line string // command line of the program
		want string // part of the error
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
				t.Errorf("got error %v, want one that contains %s", err, c.want)
			}
			if pid, err := os.ReadFile(filepath.Join(dir, "pid")); err == nil {
				if _, err := os.Stat("/proc/" + strings.TrimSpace(string(pid))); err == nil {
					t.Errorf("process %s is still running", pid)
				}
			}
		})
	}
}

// observedProgram is a violatingProgram that passes its proxy to the test.
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

// TestInterrupt checks that canceling the context ends a run, and that Run returns the results
// measured until then. TestMain checks that no goroutine remains.
//
// The test interrupts the run when most of the about 80 requests of the first second have ended,
// either with a response or because their clients' wait is over. On a busy machine many requests
// get no response in that time, and no more requests are sent while the test waits.
func TestInterrupt(t *testing.T) {
	const (
		wantResponses  = 60 // after which the test interrupts the run
		wantMeasured   = 50 // lower, because clients count a response later than the proxy
		clientMaxDelay = 4 * time.Second
	)
	ctx, stop := context.WithCancel(context.Background())
	e := smallExperiment()
	e.Duration = time.Hour
	program := observedProgram{violatingProgram(noViolation), make(chan *violatingProxy, 1)}
	var once sync.Once
	stopAfterOneSecond := func(time.Duration) {
		once.Do(func() { // the requests of the first second have been sent
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
		t.Errorf("got error %v, want context.Canceled", err)
	}
	if n := got.Counters.Total.Offered(); n < wantMeasured {
		t.Errorf("%d requests were measured before the interrupt, want at least %d", n, wantMeasured)
	}
}
