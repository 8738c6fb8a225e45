// Package soak runs built sidecars between clients, endpoints and a discovery agent that all
// misbehave as the operators' pages allow, and checks from outside that the rules of those pages
// hold. A seed determines everything that is drawn. It has tests only.
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
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"rowancart/internal/platform"
)

// The flags for a longer soak by hand: go test ./internal/soak -args -soak.seeds=50 -soak.for=60s.
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
	// endpointCapacity is in requests a second. Three available endpoints have to carry the clients'
	// 75: the load that warm ones take is all that a sidecar can judge capacity by.
	endpointCapacity = 25
	idleConnCount    = 70 // a third of the descriptors is for clients
	newConnsAfter    = 400 * time.Millisecond
)

// TestSoak runs seeds; each has to be without a violation.
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

// summary returns the counts of a checker.
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
	current   []*process // of each sidecar; changed by the goroutine of the processes' faults
	end       time.Time

	stopEndpoints chan struct{} // closed after the clients have stopped
	stopClients   chan struct{} // closed when no new request is to be sent
	noDials       atomic.Bool   // clients may open no new connection any more
	clients       sync.WaitGroup

	mu       sync.Mutex
	reserved map[string]bool // endpoints that a fault has reserved: no other may restart or disable them
}

// runSeed runs one seed and returns its checker.
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
		defer r.openIdleConns()()
	}
	err := r.injectFaults(rng)
	r.terminateSidecars(rng)
	r.stop()
	return r.checker, err
}

// start starts the endpoints, discovery and the sidecars.
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
		r.list(e, platform.StateReady, 0)
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

// list lists an endpoint and returns when all sidecars count as notified.
func (r *soakRun) list(e *endpoint, state platform.State, startedMs int64) time.Time {
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

// openIdleConns opens idle connections to the first sidecar, and returns a function that closes
// them.
func (r *soakRun) openIdleConns() (closeAll func()) {
	var conns []net.Conn
	for range idleConnCount {
		if conn, err := net.Dial("tcp", r.sidecars[0].addr); err == nil {
			conns = append(conns, conn)
		}
	}
	return func() {
		for _, conn := range conns {
			conn.Close()
		}
	}
}

// injectFaults injects two series of faults at the same time, so that one comes within the window
// of another.
func (r *soakRun) injectFaults(rng *rand.Rand) error {
	var series errgroup.Group
	peers := faultInjector{r, rand.New(rand.NewPCG(r.seed, rng.Uint64()))}
	series.Go(func() error {
		return peers.run(peers.drain, peers.drain, peers.restart, peers.failForAWhile, peers.silenceWatches,
			peers.breakWatches, peers.slowDiscovery)
	})
	processes := faultInjector{r, rand.New(rand.NewPCG(r.seed, rng.Uint64()))}
	series.Go(func() error {
		return processes.run(processes.disable, processes.disable, processes.handover, processes.exhaustDescriptors,
			processes.failSharedDir, processes.moveDiscovery)
	})
	return series.Wait()
}

// terminateSidecars ends all sidecars, with clients that go on sending on the connections that they
// have. New ones keep coming for a moment.
func (r *soakRun) terminateSidecars(rng *rand.Rand) {
	time.AfterFunc(newConnsAfter, func() { r.noDials.Store(true) })
	var ends sync.WaitGroup
	for i, s := range r.sidecars {
		signals := drawSignals(rng)
		ends.Go(func() { s.terminate(r.current[i], signals) })
	}
	ends.Wait()
}

// drawSignals draws whether SIGTERM is sent once or twice.
func drawSignals(rng *rand.Rand) int {
	if rng.IntN(2) == 0 {
		return 2
	}
	return 1
}

// stop stops clients and endpoints, and checks what the sidecars have left behind.
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
