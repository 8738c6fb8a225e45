// Package soak runs compiled sidecars between clients, endpoints and a discovery agent that inject
// the faults that the operators' pages allow, and checks from outside the processes that the rules
// of those pages hold. A seed determines all random choices. The package holds only tests.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"rowancart/internal/platform"
)

// The flags allow a longer run by hand: go test ./internal/soak -args -soak.seeds=50 -soak.for=60s.
var (
	seeds    = flag.Int("soak.seeds", 3, "seeds to run, beginning with soak.first")
	first    = flag.Uint64("soak.first", 1, "first seed")
	length   = flag.Duration("soak.for", 20*time.Second, "length of each run")
	parallel = flag.Int("soak.parallel", 3, "runs at the same time")
)

const (
	endpointCount     = 5
	sidecarCount      = 2
	clientsPerSidecar = 10
	// endpointCapacity is in requests per second. Three available endpoints must carry the 75 requests
	// per second that the clients send, because a sidecar can estimate capacity only from the load
	// that warm endpoints take.
	endpointCapacity = 25
	crowdSize        = 70                     // a third of a sidecar's descriptors is for clients
	newConnsPeriod   = 400 * time.Millisecond // how long clients still open connections once termination begins
)

// TestSoak runs each seed and fails for every violation of a rule.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "sidecar")
	if out, err := exec.Command("go", "build", "-o", program, "rowancart/cmd/sidecar").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	slots := make(chan bool, *parallel)
	var runs sync.WaitGroup
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		dir := t.TempDir()
		runs.Go(func() {
			slots <- true
			defer func() { <-slots }()
			c, err := runSeed(seed, program, dir)
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
				return
			}
			t.Logf("seed %d: %s", seed, c.summary())
			for _, text := range c.violations {
				t.Errorf("seed %d: %s", seed, text)
			}
		})
	}
	runs.Wait()
}

// summary returns the number of violations and the checker's counts as one line.
func (c *checker) summary() string {
	var names []string
	for name := range c.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	text := fmt.Sprintf("%d violations", len(c.violations))
	for _, name := range names {
		text += fmt.Sprintf(", %s %d", name, c.counts[name])
	}
	return text
}

// soakRun is the run of one seed.
type soakRun struct {
	seed      uint64
	checker   *checker
	discovery *discovery
	endpoints []*endpoint
	sidecars  []*sidecar
	current   []*process // by sidecar; only the goroutine that injects faults into processes changes it
	end       time.Time

	stopEndpoints chan struct{} // closed after the clients have stopped
	stopClients   chan struct{} // closed when no new request is to be sent
	noDials       atomic.Bool   // set when clients must not open new connections
	clients       sync.WaitGroup

	mu       sync.Mutex
	reserved map[string]bool // by ID: endpoints reserved by one fault; no other may drain, restart or disable them
}

// runSeed runs one seed and returns its checker, which holds the violations.
func runSeed(seed uint64, program, dir string) (*checker, error) {
	stopMeasuring := make(chan struct{})
	defer close(stopMeasuring)
	var lateness timerLateness
	go lateness.measure(stopMeasuring)
	budget := warmupBudget{
		capacity:         endpointCapacity,
		initialShare:     initialShare,
		duration:         warmupDuration,
		overloadMultiple: overloadMultiple,
		window:           overloadWindow,
	}
	r := &soakRun{
		seed:          seed,
		checker:       newChecker(budget, keyWindow, lateness.allowance),
		reserved:      map[string]bool{},
		end:           time.Now().Add(*length),
		stopEndpoints: make(chan struct{}),
		stopClients:   make(chan struct{}),
	}
	if err := r.start(program, dir); err != nil {
		return r.checker, err
	}
	defer r.discovery.Close()
	r.startClients()
	rng := rand.New(rand.NewPCG(seed, 1))
	if rng.IntN(3) == 0 {
		defer r.openCrowd()()
	}
	err := r.injectFaults(rng)
	r.terminateSidecars(rng)
	r.stop()
	return r.checker, err
}

// start starts discovery, the endpoints and the sidecars.
func (r *soakRun) start(program, dir string) (err error) {
	if r.discovery, err = newDiscovery(); err != nil {
		return err
	}
	for i := range endpointCount {
		e, err := startEndpoint(string(rune('a'+i)), r.seed, r.checker, r.stopEndpoints)
		if err != nil {
			return err
		}
		r.endpoints = append(r.endpoints, e)
		r.publishEndpoint(e, platform.StateReady, 0)
	}
	for i := range sidecarCount {
		s, err := newSidecar(i, program, dir, r.checker, r.discovery)
		if err != nil {
			return err
		}
		r.sidecars = append(r.sidecars, s)
		p, err := s.start()
		if err != nil {
			return err
		}
		r.current = append(r.current, p)
	}
	return nil
}

// publishEndpoint publishes an endpoint's state in discovery and returns the time from which all
// sidecars count as notified of it.
func (r *soakRun) publishEndpoint(e *endpoint, state platform.State, startedMs int64) time.Time {
	return r.discovery.publish(platform.Endpoint{
		ID:        e.id,
		Addr:      e.addr,
		Zone:      "z",
		Kind:      "k",
		State:     state,
		Weight:    platform.WriteOnly[float64]{Value: 1},
		StartedMs: startedMs,
	})
}

// startClients starts the clients, which run until they are stopped.
func (r *soakRun) startClients() {
	for i := range clientsPerSidecar * sidecarCount {
		c := &client{
			name:    fmt.Sprintf("s%d-c%d", r.seed, i),
			sidecar: r.sidecars[i%sidecarCount],
			checker: r.checker,
			rng:     rand.New(rand.NewPCG(r.seed, uint64(i)+2)),
			classes: []class{look, look, pay, book},
			stop:    r.stopClients,
			noDials: &r.noDials,
		}
		r.clients.Go(c.run)
	}
}

// openCrowd opens crowdSize connections to the first sidecar, sends nothing on them or one health
// check, and returns a function that closes them.
func (r *soakRun) openCrowd() (closeAll func()) {
	r.checker.recordEvent("crowds")
	var conns []net.Conn
	for i := range crowdSize {
		conn, err := net.Dial("tcp", r.sidecars[0].addr)
		if err != nil {
			continue
		}
		if i%2 == 0 {
			_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", platform.HealthPath)
		}
		conns = append(conns, conn)
	}
	return func() {
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// injectFaults injects two series of faults concurrently, one into the sidecars' peers and one into
// their processes, so that a fault can occur while another is in force.
func (r *soakRun) injectFaults(rng *rand.Rand) error {
	var series errgroup.Group
	peers := faultInjector{r, rand.New(rand.NewPCG(r.seed, rng.Uint64()))}
	series.Go(func() error {
		return peers.run(peers.drain, peers.drain, peers.restart, peers.failTemporarily, peers.silenceWatches,
			peers.stopReading, peers.stopReading,
			peers.breakWatches, peers.slowDiscovery)
	})
	processes := faultInjector{r, rand.New(rand.NewPCG(r.seed, rng.Uint64()))}
	series.Go(func() error {
		return processes.run(processes.disable, processes.disable, processes.handover, processes.exhaustDescriptors,
			processes.failSharedDir, processes.moveDiscovery)
	})
	return series.Wait()
}

// terminateSidecars terminates all sidecars while clients continue to send on their open
// connections. For newConnsPeriod the clients also open new connections.
func (r *soakRun) terminateSidecars(rng *rand.Rand) {
	time.AfterFunc(newConnsPeriod, func() { r.noDials.Store(true) })
	var ends sync.WaitGroup
	for i, s := range r.sidecars {
		signals := drawSignals(rng)
		ends.Go(func() { s.terminate(r.current[i], signals) })
	}
	ends.Wait()
}

// signalSeries is a series of signals to a process, with a pause between two of them.
type signalSeries struct {
	signals []syscall.Signal
	pause   time.Duration
}

// drawSignals returns the series that ends a process: SIGTERM once, or several signals of both
// kinds at once or within a second.
func drawSignals(rng *rand.Rand) signalSeries {
	series := [][]syscall.Signal{
		{syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
		{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	}
	return signalSeries{series[rng.IntN(len(series))], time.Duration(rng.IntN(250)) * time.Millisecond}
}

// stop stops the clients and the endpoints, and checks that the sidecars' processes ended without a
// crash and left no files behind.
func (r *soakRun) stop() {
	close(r.stopClients)
	r.clients.Wait()
	close(r.stopEndpoints)
	for _, e := range r.endpoints {
		e.stop()
	}
	for _, s := range r.sidecars {
		s.checkProcesses()
		s.listener.Close()
	}
}
