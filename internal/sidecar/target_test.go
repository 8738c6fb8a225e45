package sidecar

import (
	"testing"

	"rowancart/internal/testpeer"
)

// Guards against targets that are rewritten on their way: an invalid byte was percent-encoded and
// an encoded slash decoded, and an endpoint ran a request that no client had sent.
func TestTargetIsRejectedOrForwardedByteForByte(t *testing.T) {
	e := testpeer.StartTargetRecorder(t)
	s := startSidecar(t, e.Addr)
	served := e.RequireTargetsWithEachByte(t, s.addr, "/look/a%%2Fb%sc", "/look?x=a%%2Fb%sc", "/look/%%2F%%4%s")
	const minServed = 2 * 66 // every unreserved character in path and query
	if served < minServed {
		t.Errorf("%d targets were served, want at least %d", served, minServed)
	}
}
