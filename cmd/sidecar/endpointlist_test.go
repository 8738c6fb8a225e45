package main

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"rowancart/internal/platform"
	"rowancart/internal/snapshot"
	"rowancart/internal/testpeer"
)

// listPlatform is a testPlatform with endpoints a, b and c, which the configuration of all
// processes lists as ready. Discovery can fall silent.
type listPlatform struct {
	*testPlatform
	agent     *testpeer.FakeDiscovery
	endpoints []*testpeer.FakeEndpoint
}

func newListPlatform(t *testing.T) *listPlatform {
	t.Helper()
	agent, err := testpeer.StartDiscovery(testpeer.DiscoveryOptions{EmptyLineFirst: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	p := &listPlatform{testPlatform: newTestPlatform(t), agent: agent}
	p.discovery = agent.Addr()
	var known []platform.Endpoint
	for _, id := range []string{"a", "b", "c"} {
		e := testpeer.StartEndpoint(t, testpeer.RespondWith(testpeer.OKResponse, testpeer.KeepConn))
		p.endpoints = append(p.endpoints, e)
		known = append(known, testpeer.ListedEndpoint(id, e.Addr, platform.StateReady))
		agent.Publish(known[len(known)-1])
	}
	p.known = platform.CompleteList(int64(len(known)), known...)
	return p
}

// refuseCalls makes the agent answer no further call. Open watches go on.
func (p *listPlatform) refuseCalls() { p.agent.SetDelay(testTimeout) }

// fallSilent makes the agent send nothing more.
func (p *listPlatform) fallSilent() {
	p.agent.SilenceWatches()
	p.refuseCalls()
}

// drainAndRemove tells that a is draining and c is gone, and waits until a process knows both.
func (p *listPlatform) drainAndRemove(t *testing.T, observer *sidecarProcess) {
	t.Helper()
	p.agent.Publish(testpeer.ListedEndpoint("a", p.endpoints[0].Addr, platform.StateDraining))
	p.agent.Publish(testpeer.ListedEndpoint("c", p.endpoints[2].Addr, platform.StateRemoved))
	observer.waitForMetric(t, "sidecar_targets", 2)
}

// terminate ends a process that has a successor.
func (s *sidecarProcess) terminate(t *testing.T) {
	t.Helper()
	s.Process.Signal(syscall.SIGTERM)
	s.waitForExit(t)
}

// waitUntilStored waits until the shared directory holds the list with the given version.
func (p *listPlatform) waitUntilStored(t *testing.T, version int64) {
	t.Helper()
	testpeer.WaitUntil(t, "the endpoint list is stored", func() bool {
		var stored struct{ Version int64 }
		_, err := snapshot.ReadAnyAge(filepath.Join(p.sharedDir, "rowancart-t", "endpoint-list"), &stored)
		return err == nil && stored.Version == version
	})
}

// requireOnlyB sends requests, all of which b must answer.
func (p *listPlatform) requireOnlyB(t *testing.T) {
	t.Helper()
	const requests = 20
	var before [3]int32
	for i, e := range p.endpoints {
		before[i] = e.Requests.Load()
	}
	client := keepAliveClient{addr: p.addr}
	defer client.close()
	for n := range requests {
		resp, err := client.get(fmt.Sprint("after-", n))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK {
			t.Errorf("request %d: status %d", n, resp.StatusCode)
		}
		if resp.Close {
			client.close()
		}
	}
	for i, state := range []string{"draining", "", "removed"} {
		if n := p.endpoints[i].Requests.Load() - before[i]; state != "" && n > 0 {
			t.Errorf("%d of %d requests were sent to an endpoint that the sidecar was told is %s", n, requests, state)
		}
	}
}

// Guards against an upgrade or a restart, while discovery is silent, that goes back to an endpoint
// list older than the one that the sidecar had: requests then went to draining and removed
// endpoints.
func TestNextProcessKeepsTheNewestEndpointList(t *testing.T) {
	const toldVersion = 5 // three endpoints listed, one draining, one removed
	for name, replace := range map[string]func(t *testing.T, p *listPlatform){
		"told before the upgrade": func(t *testing.T, p *listPlatform) {
			first := p.startReady(t)
			p.drainAndRemove(t, first)
			p.fallSilent()
			p.startReady(t)
			first.terminate(t)
		},
		"two upgrades in a row": func(t *testing.T, p *listPlatform) {
			first := p.startReady(t)
			p.drainAndRemove(t, first)
			p.fallSilent()
			second := p.startReady(t)
			first.terminate(t)
			p.startReady(t)
			second.terminate(t)
		},
		"told while the next process starts": func(t *testing.T, p *listPlatform) {
			first := p.startReady(t)
			p.refuseCalls()
			second := p.start(t)
			p.drainAndRemove(t, first)
			second.waitUntilReady(t)
			first.terminate(t)
		},
		"told to the first process while both run": func(t *testing.T, p *listPlatform) {
			first := p.startReady(t)
			p.refuseCalls()
			second := p.startReady(t)
			p.drainAndRemove(t, first)
			second.waitForMetric(t, "sidecar_targets", 2)
			first.terminate(t)
		},
		"after a crash": func(t *testing.T, p *listPlatform) {
			first := p.startReady(t)
			p.drainAndRemove(t, first)
			p.waitUntilStored(t, toldVersion)
			p.fallSilent()
			first.kill()
			p.startReady(t)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newListPlatform(t)
			replace(t, p)
			p.requireOnlyB(t)
		})
	}
}

// Guards against a process that keeps a stored list once discovery tells another one, though
// discovery has lost its state and its versions have begun anew.
func TestDiscoveryThatLostItsStateIsBelieved(t *testing.T) {
	p := newListPlatform(t)
	first := p.startReady(t)
	p.drainAndRemove(t, first)
	first.kill()
	p.agent.LoseState(testpeer.ListedEndpoint("c", p.endpoints[2].Addr, platform.StateReady))
	second := p.startReady(t)
	second.waitForMetric(t, "sidecar_targets", 1)
	p.waitUntilStored(t, 1)
	if !strings.Contains(second.log.String(), `msg="version of the endpoint list went back"`) {
		t.Errorf("the log does not tell that the version went back:\n%s", second.log.String())
	}
	p.fallSilent()
	third := p.startReady(t)
	second.terminate(t)
	third.waitForMetric(t, "sidecar_targets", 1)
}
