package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"rowancart/internal/testpeer"
)

// A pool that a reload removes serves its requests in flight, and is then removed together with its
// generation.
func TestRemovedPoolAnswersRequestsInFlight(t *testing.T) {
	old := newGatedEndpoint(t, testpeer.OKResponse)
	next := testpeer.StartEndpoint(t, testpeer.RespondWith(testpeer.OKResponse, testpeer.KeepConn))
	s := startDaemon(t, poolBlock("old", old.Addr)+routeBlock("x", "/*", "read", "old", ""))
	var requests sync.WaitGroup
	requests.Go(func() {
		if status := s.request(http.MethodGet, "/slow").status; status != http.StatusOK {
			t.Errorf("request in flight during the reload: status %d, want 200", status)
		}
	})
	<-old.arrived
	s.reload(poolBlock("new", next.Addr) + routeBlock("x", "/*", "read", "new", ""))
	if status := s.request(http.MethodGet, "/x").status; status != http.StatusOK || next.Requests.Load() != 1 {
		t.Errorf("after the reload: status %d, %d requests sent to the new pool", status, next.Requests.Load())
	}
	// The file watcher may have reloaded as well. The additional generation has no requests and is
	// removed shortly afterwards.
	testpeer.WaitUntil(t, "only the generation with a request in flight is draining", func() bool {
		st := s.Summary()
		return len(st.Pools) == 2 && st.DrainingGenerations == 1
	})
	close(old.release)
	requests.Wait()
	testpeer.WaitUntil(t, "the old pool is removed", func() bool {
		st := s.Summary()
		return len(st.Pools) == 1 && st.DrainingGenerations == 0
	})
}

// An endpoint that a reload moves to another pool gets no more requests of its old pool.
func TestMovedEndpointGetsNoRequestOfItsOldPool(t *testing.T) {
	a := testpeer.StartEndpoint(t, testpeer.RespondWith(testpeer.OKResponse, testpeer.KeepConn))
	b := testpeer.StartEndpoint(t, testpeer.RespondWith(testpeer.OKResponse, testpeer.KeepConn))
	routes := routeBlock("x", "/x", "read", "one", "") + routeBlock("y", "/y", "read", "two", "")
	s := startDaemon(t, poolBlock("one", a.Addr, b.Addr)+poolBlock("two", a.Addr)+routes)
	for range 4 {
		s.request(http.MethodGet, "/x")
	}
	s.reload(poolBlock("one", a.Addr) + poolBlock("two", b.Addr) + routes)
	before := b.Requests.Load()
	for range 6 {
		s.request(http.MethodGet, "/x")
	}
	if n := b.Requests.Load(); n != before {
		t.Errorf("the moved endpoint received %d requests of its old pool", n-before)
	}
	if s.request(http.MethodGet, "/y"); b.Requests.Load() != before+1 {
		t.Error("the moved endpoint did not receive the request of its new pool")
	}
}

func TestInvalidFileChangesNothingAndIsReported(t *testing.T) {
	e := testpeer.StartEndpoint(t, testpeer.RespondWith(testpeer.OKResponse, testpeer.KeepConn))
	valid := poolBlock("one", e.Addr) + routeBlock("x", "/x", "read", "one", "")
	s := startDaemon(t, valid)
	addressInUse := fmt.Sprintf("listener \"b\" {\n address = \"127.0.0.1:%d\"\n}\n", s.Addr("front").(*net.TCPAddr).Port)
	for _, invalid := range []string{"route", valid + poolBlock("one", e.Addr), valid + addressInUse} {
		s.writeConfig(invalid)
		if err := s.Reload(); err == nil {
			t.Errorf("an invalid configuration was accepted: %s", invalid)
		}
		if st := s.Summary(); st.Generation != 1 || st.Reloads.LastError == "" {
			t.Errorf("status after a failed reload: %+v", st)
		}
		if status := s.request(http.MethodGet, "/x").status; status != http.StatusOK {
			t.Errorf("status %d after a failed reload, want 200", status)
		}
	}
	if !strings.Contains(s.log.String(), `msg="configuration not reloaded"`) {
		t.Error("the failed reload was not logged")
	}
	s.reload(valid)
	// The file watcher may have reloaded the corrected file before the explicit reload. In either case
	// each successful reload creates exactly one generation, and a failed one creates none.
	corrected := s.Summary()
	reloads := corrected.Reloads.Succeeded
	if reloads < 1 || reloads > 2 || corrected.Generation != 1+reloads || corrected.Reloads.LastError != "" {
		t.Errorf("status after the reload of the corrected file: %+v", corrected)
	}
	// The file on disk is now in force, so the watcher does not reload it again.
	if err := s.Reload(); err != nil {
		t.Error(err)
	}
	st := s.Summary()
	if st.Generation != corrected.Generation+1 || st.Reloads.Succeeded != reloads+1 || st.Reloads.LastError != "" {
		t.Errorf("status %+v after another reload, which followed %+v", st, corrected)
	}
}

// The configuration file is reloaded when it is written in place, and when another file is renamed
// to its path.
func TestConfigFileIsWatched(t *testing.T) {
	a := testpeer.StartEndpoint(t, respondWith("200 OK", "", "a"))
	b := testpeer.StartEndpoint(t, respondWith("200 OK", "", "b"))
	route := routeBlock("x", "/x", "read", "one", "")
	s := startDaemon(t, poolBlock("one", a.Addr)+route)
	s.writeConfig(poolBlock("one", b.Addr) + route)
	testpeer.WaitUntil(t, "b serves", s.hasBody("/x", "b"))
	next := s.configPath + "~"
	if err := os.WriteFile(next, []byte(configHead+poolBlock("one", a.Addr)+route), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, s.configPath); err != nil {
		t.Fatal(err)
	}
	testpeer.WaitUntil(t, "a serves", s.hasBody("/x", "a"))
}

// A listener that a reload removes answers its requests in flight, and is then removed.
func TestRemovedListenerAnswersRequestsInFlight(t *testing.T) {
	e := newGatedEndpoint(t, testpeer.OKResponse)
	path := filepath.Join(t.TempDir(), "sock")
	base := poolBlock("one", e.Addr) + routeBlock("x", "/x", "read", "one", "")
	s := startDaemon(t, base+fmt.Sprintf("listener \"side\" {\n  address = \"unix:%s\"\n}\n", path))
	dial := func(context.Context, string, string) (net.Conn, error) { return net.Dial("unix", path) }
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
	var requests sync.WaitGroup
	requests.Go(func() {
		resp, err := client.Get("http://side/x")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("request in flight during the reload: response %v, error %v", resp, err)
			return
		}
		resp.Body.Close()
	})
	<-e.arrived
	s.reload(base)
	if s.Addr("side") != nil {
		t.Error("the removed listener still has an address")
	}
	close(e.release)
	requests.Wait()
	testpeer.WaitUntil(t, "the listener is removed", func() bool {
		st := s.Summary()
		return len(st.Listeners) == 1 && st.DrainingGenerations == 0
	})
}

// During a thousand reloads under load, no request fails or is served by a mixture of two
// configurations, and no goroutine, pool or generation leaks.
func TestThousandReloadsUnderLoad(t *testing.T) {
	reloads := 1000
	if testing.Short() {
		reloads = 100
	}
	a := testpeer.StartEndpoint(t, respondWith("200 OK", "", "a"))
	b := testpeer.StartEndpoint(t, respondWith("200 OK", "", "b"))
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	// Both configurations route /a to endpoint a and /b to endpoint b. Route r1 and pool p1 serve a in
	// one and b in the other, and the other route and pool are replaced by each reload.
	configs := []string{
		poolBlock("p1", a.Addr) + poolBlock("p2", b.Addr) +
			routeBlock("r1", "/a", "read", "p1", "policy {\n concurrency = 100\n}") +
			routeBlock("r2", "/b", "read", "p2", ""),
		poolBlock("p1", b.Addr) + poolBlock("p3", a.Addr) +
			routeBlock("r1", "/b", "read", "p1", "policy {\n attempt_timeout = \"3s\"\n}") +
			routeBlock("r3", "/a", "read", "p3", ""),
	}
	s := startDaemon(t, configs[0])
	load := startLoad(t, "http://"+s.Addr("front").String())
	for i := range reloads {
		before := load.served.Load()
		s.reload(configs[(i+1)%2])
		if i%10 == 0 { // so that the clients of the load get processor time
			testpeer.WaitUntil(t, "requests are served", func() bool { return load.served.Load() > before || t.Failed() })
		}
	}
	load.stop()
	testpeer.WaitUntil(t, "old generations are removed", func() bool { return s.Summary().DrainingGenerations == 0 })
	st := s.Summary()
	if st.Generation <= reloads || len(st.Pools) != 2 || len(st.Listeners) != 1 {
		t.Errorf("status after all reloads: %+v", st)
	}
	// The route releases a request only after the response has been written.
	testpeer.WaitUntil(t, "no route has requests in flight", func() bool {
		return !slices.ContainsFunc(s.Summary().Routes, func(r RouteStatus) bool { return r.InFlight != 0 })
	})
	s.stopAndWait()
	t.Logf("%d requests served", load.served.Load())
}

// alternatingLoad is a set of clients that request /a and /b in turn. The body of each response
// must be a or b, like the path.
type alternatingLoad struct {
	served atomic.Int64
	stop   func() // stops the clients and waits until they have ended
}

func startLoad(t *testing.T, url string) *alternatingLoad {
	const clients = 8
	load := &alternatingLoad{}
	ctx, cancel := context.WithCancel(t.Context())
	transport := &http.Transport{}
	client := &http.Client{Transport: transport}
	var running sync.WaitGroup
	load.stop = func() {
		cancel()
		running.Wait()
		transport.CloseIdleConnections()
	}
	for i := range clients {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				want := string("ab"[(n+i)%2])
				resp, err := client.Get(url + "/" + want)
				if err != nil {
					t.Error(err)
					return
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK || string(body) != want {
					t.Errorf("/%s: status %d, body %q, error %v", want, resp.StatusCode, body, err)
					return
				}
				load.served.Add(1)
			}
		})
	}
	return load
}

// Learned state survives a reload: an endpoint that is known to fail gets only trials afterwards.
func TestLearnedStateSurvivesReload(t *testing.T) {
	works := testpeer.StartEndpoint(t, respondWith("200 OK", "", "works"))
	fails := testpeer.StartEndpoint(t, respondWith("500 Custom Reason", "", ""))
	config := func(queue int) string {
		return poolBlock("one", works.Addr, fails.Addr) +
			routeBlock("x", "/x", "read", "one", fmt.Sprintf("policy {\n queue = %d\n}", queue))
	}
	s := startDaemon(t, config(1))
	for range 20 {
		s.request(http.MethodGet, "/x")
	}
	before := fails.Requests.Load()
	for n := range 10 {
		s.reload(config(n + 2))
		s.request(http.MethodGet, "/x")
	}
	if n := fails.Requests.Load() - before; n > 3 { // up to 3 trials may be due
		t.Errorf("%d of 10 requests were sent to an endpoint known to fail, want at most 3", n)
	}
}
