package testbed

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/platform"
)

const (
	usageInterval = 250 * time.Millisecond // between two measurements of a program's usage
	cpuInterval   = time.Second            // at least, over which CPU time is averaged

	minTerminationTime   = 3 * time.Second        // that a program has to end in order, if all deadlines are shorter
	terminationTimeSlack = 700 * time.Millisecond // beyond the longest deadline
)

// sidecar is an instance of the program under test, which may be started several times.
type sidecar struct {
	run       *testRun
	name      string
	tier      int // to which it sends
	index     int
	count     int // sidecars before the tier
	addr      string
	discovery *discoveryServer
	conns     *connPool // of the clients; a server has its own
	starts    int

	discoverySpread float64     // from 0 to 1: its part of Discovery.Spread
	up              atomic.Bool // clients send to it
	killed          atomic.Bool // by the test bed: the program owes no responses

	mu         sync.Mutex
	running    Instance // nil: none
	cpuTime    time.Duration
	cpuTimeAt  time.Duration // of the measurement of cpuTime; 0: none
	lastNotice time.Time     // latest notification that is due
}

// newSidecar reserves an address for a sidecar and starts its discovery server. Its IP address is
// used for no outgoing connections, so that its port stays free while it is down.
func (r *testRun) newSidecar(name string, tier, index, count int) (*sidecar, error) {
	l, err := net.Listen("tcp", r.sidecarAddrs.next())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	s := &sidecar{run: r, name: name, tier: tier, index: index, count: count, addr: l.Addr().String(),
		discoverySpread: experiment.Rand(r.seed, "spread "+name).Float64()}
	if err := l.Close(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	s.conns = &connPool{addr: s.addr}
	var first []platform.Endpoint
	for _, server := range r.servers[tier] {
		if !server.draining() {
			first = append(first, server.listedEndpoint(platform.StateReady))
		}
	}
	s.discovery, err = newDiscoveryServer(first, func(e platform.Endpoint) {
		state, _ := e.State.EndpointState() // known: this program has made the entry
		r.checker.RecordNotification(r.now(), name, e.ID, state, e.StartedMs > 0)
	})
	return s, err
}

// newServerSidecar creates the sidecar through which a server calls the next tier; nil if it makes
// no calls.
func (r *testRun) newServerSidecar(server *emulatedServer) (*sidecar, error) {
	tier := r.experiment.Site.Tiers[server.tier]
	if server.tier+1 >= len(r.experiment.Site.Tiers) || tier.Calls == 0 {
		return nil, nil
	}
	s, err := r.newSidecar("beside-"+server.name, server.tier+1, server.index, tier.Servers)
	if err != nil {
		return nil, err
	}
	server.sidecar, server.sidecarConns = s, &connPool{addr: s.addr}
	return s, nil
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
		Known:    s.discovery.snapshot(),
		Settings: platformSettings(s.run.experiment.Site, s.run.variant, s.tier, s.index, s.count),
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
	s.running, s.cpuTime, s.cpuTimeAt = p, 0, s.run.now()
	s.mu.Unlock()
	if err := waitHealthy(ctx, p, s.addr, s.name, s.run.startTimeout); err != nil {
		return err
	}
	s.killed.Store(false)
	s.up.Store(true)
	s.run.group.Go(func() error { s.watchExit(p); return nil })
	return nil
}

// watchExit records a program that exits by itself.
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

// takeRunning returns the running program, if there is one, which the caller is to end.
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
	s.recordCost(p)
	s.run.checker.RecordKill(s.name)
	p.Kill()
}

// terminate ends the program by SIGTERM, and by SIGKILL if that takes too long. It must answer the
// requests that it has.
func (s *sidecar) terminate() {
	p := s.takeRunning()
	if p == nil {
		return
	}
	s.recordCost(p)
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

// recordCost adds what a program has used to the costs.
func (s *sidecar) recordCost(p Instance) {
	usage, cpuTime, ok := p.Usage()
	if !ok {
		return
	}
	r := s.run
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cost.CPUSeconds += cpuTime.Seconds()
	r.cost.MemoryMB = max(r.cost.MemoryMB, usage.MemoryMB)
	r.cost.Descriptors = max(r.cost.Descriptors, usage.Descriptors)
}

// monitorUsage measures and judges what programs use, until the run ends.
func (r *testRun) monitorUsage() {
	t := time.NewTicker(usageInterval)
	defer t.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-t.C:
		}
		for _, s := range r.allSidecars() {
			usage, now, ok := s.measureUsage()
			if !ok {
				continue
			}
			r.checker.CheckUsage(now, usage, r.experiment.Site.Limits)
			r.mu.Lock()
			r.cost.MemoryMB = max(r.cost.MemoryMB, usage.MemoryMB)
			r.cost.Descriptors = max(r.cost.Descriptors, usage.Descriptors)
			r.mu.Unlock()
		}
	}
}

func (r *testRun) allSidecars() []*sidecar {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*sidecar(nil), r.sidecars...)
}

// measureUsage returns what the program uses now. Cores is set once CPU time has been measured over
// cpuInterval.
func (s *sidecar) measureUsage() (usage invariant.Usage, now time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return usage, 0, false
	}
	usage, cpuTime, ok := s.running.Usage()
	now = s.run.now()
	elapsed := now - s.cpuTimeAt
	if s.cpuTimeAt > 0 && elapsed >= cpuInterval {
		usage.Cores = (cpuTime - s.cpuTime).Seconds() / elapsed.Seconds()
	}
	if s.cpuTimeAt <= 0 || elapsed >= cpuInterval {
		s.cpuTime, s.cpuTimeAt = cpuTime, now
	}
	usage.Instance = s.name
	return usage, now, ok
}
