package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"rowancart/balancer"
)

// long asks for something with a long body.
func (r *rig) long(class string) string {
	r.n++
	id := fmt.Sprint("long", r.n)
	r.b.Request(r.now, balancer.Request{ID: id, Class: class, Deadline: r.now + time.Minute, Streamed: true})
	return id
}

// Seen on a day with long bodies: callers that read or sent slowly held the room for calls, and half of the others were refused with
// endpoints idle.
func TestWhatSlowCallersTakeLeavesRoom(t *testing.T) {
	r := newRig(t, basic(), "a", "b")
	r.warm(40, map[string]time.Duration{"a": 10 * ms, "b": 10 * ms})
	for range 50 { // answers that are being read
		id, _ := r.call("read")
		if len(r.to[id]) == 0 {
			t.Fatalf("%s is not sent", id)
		}
		r.wait(10 * ms)
		r.b.StreamStarted(r.now, id, 0)
	}
	for range 50 { // bodies that are being sent
		if id := r.long("bill"); len(r.to[id]) == 0 {
			t.Fatalf("%s is not sent", id)
		}
	}
	r.wait(10 * time.Second)
	if id, _ := r.call("read"); len(r.to[id]) == 0 {
		t.Error("with nothing but slow callers, a call is not sent")
	}
	for _, s := range r.b.EndpointStatuses(r.now) {
		if s.Inactive != "" || s.InFlight < 40 {
			t.Errorf("%+v: out, or not told to have its part of them", s)
		}
	}
}

// A body that takes seconds is no slowness of its endpoint, and no silence; what the endpoint takes from the last byte on is.
func TestAnEndpointsTimeBeginsWithTheLastByte(t *testing.T) {
	r := newRig(t, basic(), "a", "b")
	r.warm(40, map[string]time.Duration{"a": 10 * ms, "b": 10 * ms})
	weigh := func() (most float64) {
		for _, s := range r.b.EndpointStatuses(r.now) {
			most = max(most, s.Weight)
		}
		return most
	}
	before := weigh()
	for range 10 {
		id := r.long("bill")
		r.wait(3 * time.Second)
		r.b.RequestWritten(r.now, id, 0)
		r.sentAt[id] = r.now
		r.wait(10 * ms)
		r.end(id, balancer.OK)
	}
	if after := weigh(); after > 1.5*before {
		t.Errorf("weights rise from %v to %v", before, after)
	}
	id := r.long("bill")
	r.b.RequestWritten(r.now, id, 0)
	r.wait(4 * time.Second)
	for _, s := range r.b.EndpointStatuses(r.now) {
		if s.ID == r.to[id][0] && s.Inactive == "" {
			t.Errorf("an endpoint that answers nothing to a body that is there passes for good: %+v", s)
		}
	}
	r.b.RequestWritten(r.now, "nobody", 0) // of what is not known nothing follows
	r.b.RequestWritten(r.now, id, 7)
}
