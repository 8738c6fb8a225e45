package virtual

import (
	"strconv"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/server"
)

// task is a request that a server processes. A server that calls the next tier does half of the
// work, makes the calls one after another and does the other half. Other servers do all of the work
// and then wait for the off-CPU time. The response comes last.
type task struct {
	server.Job
	attempt        *attempt
	workAfterCalls float64 // work left to do after the calls, in seconds
	offCPUTime     time.Duration
	callsLeft      int
	callsMade      int
	index          int // index in serverNode.tasks
}

// newTask returns the task of an attempt. Work is in seconds.
func (n *serverNode) newTask(a *attempt, work float64) *task {
	site := &n.sim.experiment.Site
	t := &task{attempt: a}
	t.Owner = t
	if n.sidecar != nil {
		t.callsLeft = site.Tiers[n.tier].Calls
		t.workAfterCalls = work / 2
		t.Work = work - t.workAfterCalls
	} else {
		t.Work = work
		t.offCPUTime = site.Classes[a.call.class].OffCPUTime
	}
	return t
}

func (n *serverNode) addTask(t *task) {
	t.index = len(n.tasks)
	n.tasks = append(n.tasks, t)
	t.attempt.task = t
}

func (n *serverNode) removeTask(t *task) {
	last := len(n.tasks) - 1
	n.tasks[t.index] = n.tasks[last]
	n.tasks[t.index].index = t.index
	n.tasks[last] = nil
	n.tasks = n.tasks[:last]
	t.attempt.task = nil
}

// continueTask begins the next step of a task whose current step is done, or finishes the task.
func (n *serverNode) continueTask(now time.Duration, t *task) {
	switch {
	case t.callsLeft > 0:
		n.callNextTier(now, t)
	case t.workAfterCalls > 0:
		t.Work = t.workAfterCalls
		t.workAfterCalls = 0
		n.model.Resume(&t.Job)
		n.reschedule()
	case t.offCPUTime > 0:
		wait := t.offCPUTime
		t.offCPUTime = 0
		n.sim.scheduleFunc(&n.eventSource, now+wait, func(now time.Duration) {
			if !t.Finished() {
				n.advance(now)
				n.continueTask(now, t)
			}
		})
	default:
		n.finishTask(now, t, balancer.OK)
	}
}

// finishTask releases the task's slot and sends the response.
func (n *serverNode) finishTask(now time.Duration, t *task, r balancer.Result) {
	n.model.Finish(&t.Job)
	n.removeTask(t)
	n.reschedule()
	n.respond(now, t.attempt, r)
}

// callNextTier calls the next tier through the server's sidecar. Servers do not propagate
// deadlines: each call has the full deadline of its class.
func (n *serverNode) callNextTier(now time.Duration, t *task) {
	t.callsLeft--
	t.callsMade++
	parent := t.attempt.call
	n.sidecar.receive(now, &call{
		id:       parent.id + "." + strconv.Itoa(t.attempt.number) + "." + strconv.Itoa(t.callsMade),
		class:    parent.class,
		tenant:   parent.tenant,
		work:     parent.work,
		deadline: now + n.sim.experiment.Site.Classes[parent.class].Deadline,
		instance: n.sidecar,
		origin:   t,
	})
}

// callEnded implements callOrigin.
func (t *task) callEnded(now time.Duration, c *call) {
	n := t.attempt.server
	if t.Finished() {
		return
	}
	n.advance(now)
	if t.Finished() {
		return
	}
	if c.outcome == invariant.Served {
		n.continueTask(now, t)
	} else {
		n.finishTask(now, t, balancer.Errored)
	}
	n.reschedule()
}

// callTimedOut implements callOrigin. A server waits for its sidecar's response without a timeout.
func (t *task) callTimedOut(time.Duration, *call) {}
