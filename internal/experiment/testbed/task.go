package testbed

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"rowancart/internal/experiment/invariant"
	"rowancart/internal/experiment/server"
)

// task is the work that a server does for one request. A server that calls the next tier does half
// of the work before the calls and half after them.
type task struct {
	*exchange
	job            *server.Job
	done           chan struct{} // receives a value each time the job's work is done
	workAfterCalls float64
}

// newTask returns the task of a request.
func newTask(x *exchange) *task {
	t := &task{exchange: x, done: make(chan struct{}, 1)}
	if x.server.sidecar != nil {
		t.workAfterCalls = x.work / 2
	}
	t.job = &server.Job{Owner: t.done, Work: x.work - t.workAfterCalls}
	return t
}

// execute waits for the job's work, the calls to the next tier, the work after them, and the time
// off the CPU. It returns the status of the response, and false if the process died or the run
// ended before.
func (t *task) execute() (status int, ok bool) {
	if !t.wait() {
		return 0, false
	}
	if !t.callNextTier() {
		return http.StatusInternalServerError, true
	}
	if t.workAfterCalls > 0 {
		t.resume()
		if !t.wait() {
			return 0, false
		}
	}
	if t.server.sidecar != nil { // time off the CPU is spent at the last tier
		return http.StatusOK, true
	}
	offCPU := t.server.run.experiment.Site.Classes[t.info.classIndex].OffCPUTime
	if offCPU > 0 && !t.sleep(offCPU) {
		return 0, false
	}
	return http.StatusOK, true
}

// resume gives the job its work after the calls.
func (t *task) resume() {
	s := t.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	t.job.Work = t.workAfterCalls
	s.model.Resume(t.job)
	s.reschedule()
}

// callNextTier makes the calls to the next tier, if there are any, one after another. It reports
// whether all were served.
func (t *task) callNextTier() bool {
	s := t.server
	if s.sidecar == nil {
		return true
	}
	for n := range s.run.experiment.Site.Tiers[s.tier].Calls {
		if !t.call(n) {
			return false
		}
	}
	return true
}

// call makes call n to the next tier through the server's own sidecar. Servers forward no deadline:
// a call has all of the class's deadline. It reports whether the call was served.
func (t *task) call(n int) bool {
	s := t.server
	number := strconv.Itoa(n)
	m := &request{
		info:     t.info,
		id:       t.id + "." + s.name + "." + number,
		method:   t.method,
		target:   "/" + t.class + "/" + number,
		tenant:   t.info.tenant,
		patience: t.info.deadline,
		body:     t.body,
	}
	return s.run.send(context.Background(), m, s.sidecar).outcome == invariant.Served
}

// admit offers the job to the model. A server that is overloaded by it crashes.
func (x *exchange) admit(job *server.Job) server.Admission {
	s := x.server
	s.mu.Lock()
	now := s.advance()
	admission := s.model.Admit(now, job, x.work)
	s.stats.Arrivals++
	if admission == server.Rejected {
		s.stats.Rejected++
	}
	overloaded := admission == server.Unavailable && s.model.Overloaded()
	s.reschedule()
	s.mu.Unlock()
	switch {
	case admission == server.Rejected:
		s.run.checker.RecordRejection(now, s.name, x.id)
	case overloaded:
		s.run.checker.RecordOverload(now, s.name)
		s.crash()
	}
	return admission
}

// wait waits until the job's work is done. It reports false if the process died or the run ended
// before.
func (t *task) wait() bool {
	select {
	case <-t.done:
		return true
	case <-t.crashed:
	case <-t.server.run.ctx.Done():
	}
	return false
}

// sleep waits for a time. It reports false if the process died or the run ended before.
func (x *exchange) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-x.crashed:
	case <-x.server.run.ctx.Done():
	}
	return false
}

// finish frees the job's slot. It reports false if a crash had done so before.
func (x *exchange) finish(job *server.Job) bool {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	alive := !job.Finished()
	s.model.Finish(job)
	s.reschedule()
	return alive
}
