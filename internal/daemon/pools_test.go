package daemon

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

// Changes of the endpoint file are applied. An incomplete file is reported but changes nothing.
func TestEndpointFileIsWatched(t *testing.T) {
	a := testpeer.StartEndpoint(t, respondWith("200 OK", "", "a"))
	b := testpeer.StartEndpoint(t, respondWith("200 OK", "", "b"))
	list := func(addr string) string {
		return fmt.Sprintf(`{"endpoints": [{"id": "x", "address": %q}, `+
			`{"id": "y", "address": "127.0.0.1:1", "state": "draining"}]}`, addr)
	}
	path := filepath.Join(t.TempDir(), "endpoints.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(list(a.Addr))
	s := startDaemon(t, filePoolBlock("one", path)+routeBlock("x", "/x", "read", "one", ""))
	testpeer.WaitUntil(t, "a serves", s.hasBody("/x", "a"))
	write(list(b.Addr)[:40]) // incomplete
	testpeer.WaitUntil(t, "the status contains the error of the incomplete file", func() bool {
		return strings.Contains(s.Summary().Pools[0].SourceError, "unexpected EOF")
	})
	if !s.hasBody("/x", "a")() {
		t.Error("endpoint a does not serve after an incomplete list")
	}
	write(list(b.Addr))
	testpeer.WaitUntil(t, "b serves", s.hasBody("/x", "b"))
	if st := s.Summary().Pools[0]; st.SourceError != "" || st.Ready != 1 || st.Draining != 1 {
		t.Errorf("status of the pool after a valid list: %+v", st)
	}
}

// An instance sends requests only to its subset of the endpoints, which depends on its index and on
// the configured size.
func TestInstanceSendsOnlyToItsSubset(t *testing.T) {
	var endpoints []*testpeer.FakeEndpoint
	var addrs []string
	for range 9 {
		e := testpeer.StartEndpoint(t, respondWith("200 OK", "", "x"))
		endpoints = append(endpoints, e)
		addrs = append(addrs, e.Addr)
	}
	config := func(index, size int) string {
		pool := strings.Replace(poolBlock("one", addrs...), "{\n", fmt.Sprintf("{\n subset = %d\n", size), 1)
		fleet := fmt.Sprintf("fleet {\n instances = 9\n index = %d\n}\n", index)
		return fleet + routeBlock("x", "/x", "read", "one", "") + pool
	}
	seen := make([]int32, len(endpoints)) // requests that each endpoint has received so far
	// used returns the indexes of the endpoints that receive requests. It sends requests until at
	// least count endpoints have received one, and then 50 more.
	used := func(s *testDaemon, count int) (indexes []int) {
		for more, end := 0, time.Now().Add(testpeer.WaitTimeout); more < 50 && time.Now().Before(end); {
			s.request(http.MethodGet, "/x")
			for i, e := range endpoints {
				if n := e.Requests.Load(); n > seen[i] {
					if seen[i] = n; !slices.Contains(indexes, i) {
						indexes = append(indexes, i)
					}
				}
			}
			if len(indexes) >= count {
				more++
			}
		}
		return indexes
	}
	s := startDaemon(t, config(0, 3))
	first := used(s, 3)
	s.reload(config(1, 3)) // half the ring away from index 0
	second := used(s, 3)
	common := slices.ContainsFunc(first, func(i int) bool { return slices.Contains(second, i) })
	if len(first) != 3 || len(second) != 3 || common {
		t.Errorf("index 0 sent to the endpoints %v and index 1 to %v, want 3 different ones each", first, second)
	}
	s.reload(config(1, 5))
	if third := used(s, 5); len(third) != 5 {
		t.Errorf("with a subset of 5, requests were sent to the endpoints %v", third)
	}
}
