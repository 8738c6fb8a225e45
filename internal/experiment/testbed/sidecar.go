package testbed

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/platform"
)

const (
	serverSidecarPrefix = "beside-" // of the name of a server's sidecar; reports and seeds use the name

	minTerminationTime   = 3 * time.Second        // allowed for a graceful shutdown, also if all deadlines are shorter
	terminationTimeSlack = 700 * time.Millisecond // allowed in addition to the longest deadline

	// exitDetectionWait is how long hasExited waits for the notification of a program's exit after
	// its connections were closed.
	exitDetectionWait = 200 * time.Millisecond
)

// sidecar is an instance of the program under test with its name, address and discovery server. The
// program may be stopped and restarted.
type sidecar struct {
	run       *testRun
	name      string
	placement experiment.Placement
	addr      string
	discovery *discoveryServer
	conns     *connPool // of the clients, or of the server that calls through it
	starts    int       // number of times the program was started; part of the seed's name

	discoverySpread float64     // this sidecar's fraction of Discovery.Spread, from 0 to 1
	up              atomic.Bool // running and healthy: clients send requests to it
	killed          atomic.Bool // by the test bed: requests to it may get no response

	mu           sync.Mutex
	running      Instance      // nil if no program is running
	cpu          cpuMeter      // measures running
	lastUpdateAt time.Duration // time of the last scheduled endpoint update
}

// newSidecar reserves an address for a sidecar and starts its discovery server. No outgoing
// connection uses the sidecar's IP address, so its port stays free while it is down.
func (r *testRun) newSidecar(name string, at experiment.Placement) (*sidecar, error) {
	addr, err := reserveAddr(r.sidecarAddrs.next())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	discovery, err := newDiscoveryServer(r.listedServers(at.Tier), func(e platform.Endpoint) {
		state, _ := e.State.EndpointState() // cannot fail: the test bed made the entry
		r.checker.RecordNotification(r.now(), invariant.Notification{
			Instance: name,
			Server:   e.ID,
			State:    state,
			Started:  e.StartedMs > 0,
		})
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &sidecar{
		run:             r,
		name:            name,
		placement:       at,
		addr:            addr,
		discovery:       discovery,
		conns:           &connPool{addr: addr},
		discoverySpread: experiment.Rand(r.seed, "spread "+name).Float64(),
	}, nil
}

// reserveAddr returns addr with its port replaced by one that is free.
func reserveAddr(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// listedServers returns the current endpoint list of a tier.
func (r *testRun) listedServers(tier int) []platform.Endpoint {
	var listed []platform.Endpoint
	for _, server := range r.servers[tier] {
		if !server.draining() {
			listed = append(listed, server.listedEndpoint(platform.StateReady))
		}
	}
	return listed
}

// callsNextTier reports whether the servers of a tier call the next one.
func (r *testRun) callsNextTier(tier int) bool {
	tiers := r.experiment.Site.Tiers
	return tier+1 < len(tiers) && tiers[tier].Calls > 0
}

// addServerSidecar creates the sidecar through which a server calls the next tier. The caller must
// start it.
func (r *testRun) addServerSidecar(server *emulatedServer) error {
	s, err := r.newSidecar(serverSidecarPrefix+server.name, experiment.Placement{
		Tier:  server.tier + 1,
		Index: server.index,
		Count: r.experiment.Site.Tiers[server.tier].Servers,
	})
	if err != nil {
		return err
	}
	server.sidecar = s
	r.sidecars = append(r.sidecars, s)
	return nil
}

// config returns the program's current configuration.
func (s *sidecar) config() platform.ConfigFile {
	limits := s.run.experiment.Site.Limits
	seed := experiment.Seed(s.run.seed, s.name+" start "+strconv.Itoa(s.starts))
	return platform.ConfigFile{
		Name:      s.name,
		Listen:    s.addr,
		Discovery: s.discovery.address(),
		Seed:      strconv.FormatUint(seed, 16),
		Limits: platform.ConfigLimits{
			Cores:    limits.Cores,
			MemoryMB: limits.MemoryMB,
			Sockets:  limits.Descriptors,
		},
		KnownEndpoints: s.discovery.snapshot(),
		Settings:       platformSettings(s.run.experiment.Site, s.run.variant, s.placement),
	}
}

// start starts the program and waits until it is healthy.
func (s *sidecar) start(ctx context.Context) error {
	config := s.config()
	s.starts++
	p, err := s.run.program.Start(config)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.running = p
	s.cpu = cpuMeter{start: s.run.now()}
	s.mu.Unlock()
	if err := waitHealthy(ctx, p, s.addr, s.name, s.run.startTimeout); err != nil {
		return err
	}
	s.killed.Store(false)
	s.up.Store(true)
	s.run.goroutines.Go(func() { s.watchExit(p) })
	return nil
}

// watchExit waits until the program exits or the run ends. It records a crash if the program exits
// without having been stopped by the test bed.
func (s *sidecar) watchExit(p Instance) {
	select {
	case <-p.Done():
		if !s.killed.Load() && s.up.Load() {
			s.up.Store(false)
			s.run.checker.RecordCrash(s.run.now(), s.name, p.ExitReason())
			s.run.checker.RecordKill(s.name)
		}
	case <-s.run.ctx.Done():
	}
}

// hasExited reports whether the program has exited. It waits up to exitDetectionWait, since the
// kernel closes the connections of a process before it notifies the parent of the exit.
func (s *sidecar) hasExited() bool {
	s.mu.Lock()
	p := s.running
	s.mu.Unlock()
	if p == nil { // the test bed is stopping it
		return false
	}
	select {
	case <-p.Done():
		return true
	case <-time.After(exitDetectionWait):
		return false
	}
}

// takeRunning returns the running program, or nil if there is none, and clears s.running. The
// caller must stop the program.
func (s *sidecar) takeRunning() Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.running
	s.running = nil
	return p
}

// kill stops the program with SIGKILL.
func (s *sidecar) kill() {
	s.up.Store(false)
	s.killed.Store(true)
	p := s.takeRunning()
	if p == nil {
		return
	}
	s.run.recordCost(p)
	s.run.checker.RecordKill(s.name)
	p.Kill()
}

// terminate stops the program with SIGTERM, and with SIGKILL if it does not exit in time or the run
// ends first. The program must still respond to the requests that it has received.
func (s *sidecar) terminate() {
	p := s.takeRunning()
	if p == nil {
		return
	}
	s.run.recordCost(p)
	s.up.Store(false)
	p.Terminate()
	longest := minTerminationTime
	for _, c := range s.run.experiment.Site.Classes {
		longest = max(longest, c.Deadline)
	}
	select {
	case <-p.Done():
		return
	case <-time.After(longest + terminationTimeSlack):
	case <-s.run.ctx.Done():
	}
	s.killed.Store(true)
	p.Kill()
}

// allSidecars returns the current sidecars of all tiers.
func (r *testRun) allSidecars() []*sidecar {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sidecars)
}
