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
	serverSidecarPrefix = "beside-" // of the name of a server's sidecar, which reports and seeds have

	minTerminationTime   = 3 * time.Second        // for a graceful shutdown, if all deadlines are shorter
	terminationTimeSlack = 700 * time.Millisecond // beyond the longest deadline

	exitNoticeTime = 200 * time.Millisecond // between the end of a program's connections and the notice of its exit
)

// sidecar is an instance of the program under test with its name, address and discovery. The
// program may be ended and started again.
type sidecar struct {
	run       *testRun
	name      string
	placement experiment.Placement
	addr      string
	discovery *discoveryServer
	conns     *connPool // of the clients, or of the server that calls through it
	starts    int

	discoverySpread float64     // from 0 to 1: its part of Discovery.Spread
	up              atomic.Bool // running and healthy, so that clients send to it
	killed          atomic.Bool // by the test bed: requests to it may stay without a response

	mu         sync.Mutex
	running    Instance      // nil: none
	cpu        cpuMeter      // of running
	lastNotice time.Duration // when the latest scheduled notification is due
}

// newSidecar reserves an address for a sidecar and starts its discovery server. Its IP address is
// used for no outgoing connections, so that its port stays free while it is down.
func (r *testRun) newSidecar(name string, at experiment.Placement) (*sidecar, error) {
	addr, err := reserveAddr(r.sidecarAddrs.next())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	discovery, err := newDiscoveryServer(r.listedServers(at.Tier), func(e platform.Endpoint) {
		state, _ := e.State.EndpointState() // known: this program has made the entry
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

// reserveAddr returns an address with a free port.
func reserveAddr(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// listedServers returns the endpoint list of a tier as it is now.
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

// addServerSidecar creates the sidecar through which a server calls the next tier. It is yet to be
// started.
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

// config returns the program's configuration as of now.
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

// watchExit waits until the program exits or the run ends, and records a program that exits by
// itself.
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

// hasExited reports whether the program has exited. It waits for exitNoticeTime: the connections of
// a process are closed before its parent is notified of its exit.
func (s *sidecar) hasExited() bool {
	s.mu.Lock()
	p := s.running
	s.mu.Unlock()
	if p == nil { // it is being ended by the test bed
		return false
	}
	select {
	case <-p.Done():
		return true
	case <-time.After(exitNoticeTime):
		return false
	}
}

// takeRunning returns the running program, or nil. The caller must end it.
func (s *sidecar) takeRunning() Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.running
	s.running = nil
	return p
}

// kill ends the program by SIGKILL.
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

// terminate ends the program by SIGTERM, and by SIGKILL if that takes too long. It must respond to
// the requests that it has.
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

// allSidecars returns the sidecars that there are now, of all tiers.
func (r *testRun) allSidecars() []*sidecar {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sidecars)
}
