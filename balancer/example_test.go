package balancer_test

import (
	"fmt"
	"time"

	"rowancart/balancer"
)

// printingHost is a host that prints the calls of the Balancer. A real host sends requests, sets
// timers and answers clients.
type printingHost struct{}

func (printingHost) Send(id, endpoint string, timeout time.Duration) {
	fmt.Println("send", id, "to", endpoint)
}
func (printingHost) Cancel(id string, n int) { fmt.Println("cancel", id, n) }
func (printingHost) Reject(id string, reason balancer.Reason, retryAfter time.Duration) {
	fmt.Println("reject", id, reason)
}
func (printingHost) Fail(id string, reason balancer.Reason) { fmt.Println("fail", id) }
func (printingHost) Subscribe()                             { fmt.Println("subscribe") }
func (printingHost) Timer(at time.Duration)                 {}
func (printingHost) Log(e balancer.LogEvent)                { fmt.Println(e) }

func Example() {
	b := balancer.New(0, balancer.Settings{
		Instances: 1, MaxAttempts: 3, CancelAllowed: true, Resolution: time.Millisecond,
		Classes: []balancer.Class{{Name: "lookup", Idempotency: balancer.Idempotent, LatencyObjective: time.Second}},
	}, printingHost{})
	b.EndpointList(0, balancer.EndpointList{Complete: true, Entries: []balancer.Endpoint{{ID: "10.0.0.1:80"}}})

	now := 5 * time.Millisecond
	b.Request(now, balancer.Request{ID: "r1", Class: "lookup", Deadline: now + 2*time.Second})
	b.Outcome(now+20*time.Millisecond, balancer.Outcome{ID: "r1", Endpoint: "10.0.0.1:80", Result: balancer.OK,
		Latency: 20 * time.Millisecond, Final: true})

	b.EndpointList(time.Second, balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "10.0.0.1:80",
		State: balancer.Draining}}})
	b.Request(time.Second, balancer.Request{ID: "r2", Class: "lookup", Deadline: 3 * time.Second})
	b.Timer(2990 * time.Millisecond)
	// Output:
	// send r1 to 10.0.0.1:80
	// full: no endpoint has room, 1 requests wait
	// reject r2 no_endpoint
}
