package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rowancart/internal/platform"
)

// maxReserved is how many endpoints faults may make unavailable at the same time.
const maxReserved = 2

// faultInjector injects one series of faults into a run.
type faultInjector struct {
	*soakRun
	rng *rand.Rand
}

// run injects randomly chosen faults, one after the other, until the end of the run.
func (f faultInjector) run(faults ...func() error) error {
	for time.Now().Before(f.end) {
		if err := faults[f.rng.IntN(len(faults))](); err != nil {
			return err
		}
		f.sleepUpTo(600 * time.Millisecond)
	}
	return nil
}

// sleepUpTo sleeps for a random duration below d, in whole milliseconds.
func (f faultInjector) sleepUpTo(d time.Duration) { f.sleepBetween(0, d) }

// sleepBetween sleeps for a random duration of at least least and below most, in whole
// milliseconds.
func (f faultInjector) sleepBetween(least, most time.Duration) {
	time.Sleep(f.drawBetween(least, most))
}

func (f faultInjector) drawBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(f.rng.IntN(int((most-least)/time.Millisecond)))*time.Millisecond
}

// reserve reserves a random endpoint that no fault has reserved and returns it. It returns nil if
// maxReserved endpoints are reserved already.
func (f faultInjector) reserve() *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.rng.Perm(len(f.endpoints)) {
		if e := f.endpoints[i]; len(f.reserved) < maxReserved && !f.reserved[e.id] {
			f.reserved[e.id] = true
			return e
		}
	}
	return nil
}

// release ends the reservation of an endpoint.
func (f faultInjector) release(e *endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reserved, e.id)
}

// drawSidecar returns the index of a random sidecar.
func (f faultInjector) drawSidecar() int { return f.rng.IntN(len(f.sidecars)) }

// drain publishes an endpoint as draining, stops it, publishes it as removed and starts it again.
func (f faultInjector) drain() error {
	e := f.reserve()
	if e == nil {
		return nil
	}
	defer f.release(e)
	f.checker.recordEvent("draining endpoints")
	f.checker.recordUnavailable(e.id, f.publishEndpoint(e, platform.StateDraining, 0))
	f.sleepBetween(1500*time.Millisecond, 3000*time.Millisecond)
	e.stop()
	f.checker.recordUnavailable(e.id, f.publishEndpoint(e, platform.StateRemoved, 0))
	f.sleepUpTo(500 * time.Millisecond)
	return f.startAndPublish(e)
}

// startAndPublish starts an endpoint again and publishes it as ready and warming.
func (f faultInjector) startAndPublish(e *endpoint) error {
	if err := e.start(); err != nil {
		return err
	}
	f.checker.recordAvailable(e.id)
	f.checker.recordStartNotified(e.id, f.publishEndpoint(e, platform.StateReady, time.Now().UnixMilli()))
	return nil
}

// restart stops an endpoint without draining and starts it again.
func (f faultInjector) restart() error {
	e := f.reserve()
	if e == nil {
		return nil
	}
	defer f.release(e)
	e.stop()
	f.sleepUpTo(400 * time.Millisecond)
	return f.startAndPublish(e)
}

// failTemporarily makes most requests to an endpoint fail for 0.5 to 2 s.
func (f faultInjector) failTemporarily() error {
	e := f.endpoints[f.rng.IntN(len(f.endpoints))]
	f.checker.recordEvent("failing endpoints")
	e.setFailing(true)
	f.sleepBetween(500*time.Millisecond, 2000*time.Millisecond)
	e.setFailing(false)
	return nil
}

// stopReading makes an endpoint stop reading bodies, or read them slowly, for 0.5 to 3 s.
func (f faultInjector) stopReading() error {
	e := f.endpoints[f.rng.IntN(len(f.endpoints))]
	mode, name := readNothing, "stuck endpoints"
	if f.rng.IntN(2) == 0 {
		mode, name = readSlowly, "slowly reading endpoints"
	}
	f.checker.recordEvent(name)
	e.setReading(mode)
	f.sleepBetween(500*time.Millisecond, 3000*time.Millisecond)
	e.setReading(readAtOnce)
	return nil
}

// disable disables an endpoint at all sidecars, and enables it later. In between, a sidecar may
// hand over to a new process, or its shared directory may fail.
func (f faultInjector) disable() error {
	e := f.reserve()
	if e == nil {
		return nil
	}
	defer f.release(e)
	f.checker.recordEvent("disabled endpoints")
	for i, s := range f.sidecars {
		s.adminCommand(f.current[i], "disable-server "+e.id)
		if f.rng.IntN(3) == 0 {
			s.adminCommand(f.current[i], "disable-server "+e.id) // operators may send the command twice
		}
	}
	f.checker.recordUnavailable(e.id, time.Now())
	f.sleepBetween(500*time.Millisecond, 2000*time.Millisecond)
	if f.rng.IntN(2) == 0 {
		if err := f.handover(); err != nil {
			return err
		}
	}
	if f.rng.IntN(3) == 0 {
		if err := f.failSharedDir(); err != nil {
			return err
		}
	}
	return f.enable(e)
}

// enable enables an endpoint at all sidecars. A command that fails is sent again.
func (f faultInjector) enable(e *endpoint) error {
	const maxAttempts = 12
	f.checker.recordAvailable(e.id)
	for i, s := range f.sidecars {
		for n := 1; !s.adminCommand(f.current[i], "enable-server "+e.id); n++ {
			if n == maxAttempts {
				return fmt.Errorf("endpoint %s could not be enabled: all attempts failed", e.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f faultInjector) silenceWatches() error {
	f.checker.recordEvent("silent watches")
	f.discovery.silenceWatches()
	return nil
}

// breakWatches aborts the open watches one to three times, less than 100 ms apart.
func (f faultInjector) breakWatches() error {
	for range 1 + f.rng.IntN(3) {
		f.discovery.AbortWatches()
		f.sleepUpTo(100 * time.Millisecond)
	}
	return nil
}

// slowDiscovery delays discovery's responses by less than 300 ms each, for less than 1 s.
func (f faultInjector) slowDiscovery() error {
	f.discovery.extendGrace(silenceGrace)
	f.discovery.SetDelay(f.drawBetween(0, 300*time.Millisecond))
	f.sleepUpTo(1000 * time.Millisecond)
	f.discovery.SetDelay(0)
	return nil
}

// moveDiscovery moves the discovery agent to a new address and sends each sidecar SIGHUP one to
// three times in quick succession.
func (f faultInjector) moveDiscovery() error {
	f.checker.recordEvent("moves of discovery")
	f.discovery.extendGrace(reloadGrace)
	if err := f.discovery.Move(); err != nil {
		return err
	}
	for i, s := range f.sidecars {
		if err := s.reload(f.current[i], 1+f.rng.IntN(3)); err != nil {
			return err
		}
	}
	return nil
}

// handover starts a successor of a sidecar's process and terminates the predecessor. At random, the
// predecessor receives SIGHUP just before SIGTERM.
func (f faultInjector) handover() error {
	i := f.drawSidecar()
	f.checker.recordEvent("handovers")
	f.discovery.extendGrace(readyLimit)
	successor, err := f.sidecars[i].start()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	f.discovery.extendGrace(handoverGrace)
	f.checker.recordEvent("SIGTERM")
	predecessor := f.current[i]
	f.current[i] = successor
	if f.rng.IntN(2) == 0 {
		if err := f.sidecars[i].reload(predecessor, 1); err != nil {
			return err
		}
	}
	f.sidecars[i].terminate(predecessor, drawSignals(f.rng))
	return nil
}

func (f faultInjector) exhaustDescriptors() error {
	f.checker.recordEvent("descriptors exhausted")
	i := f.drawSidecar()
	defer f.checker.recordEvent("descriptors available")
	f.current[i].exhaustDescriptors(f.drawBetween(20*time.Millisecond, 170*time.Millisecond))
	return nil
}

func (f faultInjector) failSharedDir() error {
	f.checker.recordEvent("failures of shared directories")
	defer f.checker.recordEvent("shared directory available")
	return f.sidecars[f.drawSidecar()].breakSharedDir(f.drawBetween(50*time.Millisecond, 450*time.Millisecond))
}
