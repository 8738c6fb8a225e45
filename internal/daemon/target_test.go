package daemon

import (
	"testing"

	"rowancart/internal/testpeer"
)

// Guards against targets that are rewritten on their way to an endpoint, as the test of
// the sidecar does.
func TestDaemonRejectsOrForwardsTargetByteForByte(t *testing.T) {
	e := testpeer.StartTargetRecorder(t)
	s := startDaemon(t, poolBlock("one", e.Addr)+routeBlock("all", "/*", "read", "one", ""))
	served := e.RequireTargetsWithEachByte(t, s.Addr("front").String(),
		"/look/a%%7Cb%sc", "/look?x=a%%2Fb%sc", "/look/%%7C%%4%s")
	const minServed = 2 * 66 // every unreserved character in path and query
	if served < minServed {
		t.Errorf("%d targets were served, want at least %d", served, minServed)
	}
}
