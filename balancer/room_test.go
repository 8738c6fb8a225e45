package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"rowancart/balancer"
)

// fits tells how many calls may be out at once: more are held.
func (r *rig) fits() int {
	before := r.count("send ")
	var ids []string
	for {
		id, ep := r.call("read")
		if ep == "" {
			break
		}
		ids = append(ids, id)
	}
	n := r.count("send ") - before
	for _, id := range ids {
		r.end(id, balancer.OK)
	}
	return n
}

// Seen on a day of upgrades during a release: of four endpoints two drained and one failed, the last one got the calls of all, and was
// tipped into a slow state by them.
func TestRoomGoesWithTheEndpointsThatTakeWork(t *testing.T) {
	list := func(r *rig, states ...balancer.State) {
		l := balancer.EndpointList{}
		for i, s := range states {
			l.Entries = append(l.Entries, balancer.Endpoint{ID: fmt.Sprint("e", i), State: s})
		}
		r.b.EndpointList(r.now, l)
	}
	const ready, drains = balancer.Ready, balancer.Draining
	start := func() *rig { return newRig(t, basic(), "e0", "e1", "e2", "e3") }
	all := start().fits()
	r := start()
	list(r, ready, drains, drains, ready)
	if n := r.fits(); n < all/2-1 || n > all/2+1 {
		t.Errorf("with two of four draining %d calls fit, and %d before", n, all)
	}
	r = start()
	list(r, drains, drains, drains, drains)
	list(r, ready, ready, ready, ready)
	if n := r.fits(); n != all {
		t.Errorf("after all drained and came back %d calls fit, and %d before", n, all)
	}
	r = start()
	r.b.Disable(r.now, "e1")
	r.b.Disable(r.now, "e2")
	if n := r.fits(); n < all/2-1 || n > all/2+1 {
		t.Errorf("with two of four taken out by hand %d calls fit, and %d before", n, all)
	}

	r = start()
	for failed := 0; failed < 4; { // one answers errors: it is out, with its part
		id, ep := r.call("read")
		r.wait(10 * ms)
		if ep == "e2" {
			failed++
			r.end(id, balancer.Errored)
			r.wait(10 * ms)
		}
		r.end(id, balancer.OK)
	}
	if n := r.fits(); n < all*3/4-2 || n > all*3/4+2 {
		t.Errorf("with one of four failing %d calls fit, and %d before", n, all)
	}
	if err := r.b.CheckIndex(); err != nil {
		t.Error(err)
	}
	r.wait(time.Second)
}

// Seen on a day of upgrades with endpoints out by hand: calls that hung at two crowded endpoints held all the room, and a third, which
// answered at once, stood idle while requests were refused.
func TestCallsThatHangLeaveAHealthyEndpointItsPart(t *testing.T) {
	r := newRig(t, wanted(40*ms), "a", "b", "c")
	r.warm(100, map[string]time.Duration{"a": 10 * ms, "b": 10 * ms, "c": 400 * ms})
	trial, ep := r.call("read")
	for ep != "c" { // which was dropped as slow, and gets its trial
		r.wait(10 * ms)
		r.end(trial, balancer.OK)
		r.wait(10 * ms)
		trial, ep = r.call("read")
	}
	for ep != "" { // meanwhile a and b are given all that there is room for, and answer nothing
		_, ep = r.call("read")
	}
	r.wait(5 * ms)
	r.end(trial, balancer.OK)
	for i := range 3 {
		if _, ep := r.call("read"); ep != "c" {
			t.Fatalf("call %d goes to %q", i+1, ep)
		}
	}
}
