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
	done           chan struct{} // receives a value each time the job's current work is done
	workAfterCalls float64
}

// newTask returns the task for a request.
func newTask(x *exchange) *task {
	t := &task{exchange: x, done: make(chan struct{}, 1)}
	if x.server.sidecar != nil {
		t.workAfterCalls = x.work / 2
	}
	t.job = &server.Job{Owner: t.done, Work: x.work - t.workAfterCalls}
	return t
}

// execute waits for the job's work, then makes the calls to the next tier, waits for the work after
// them and spends the time off the CPU. It returns the status of the response, and false if the
// process crashed or the run ended before.
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
	if t.server.sidecar != nil { // only the last tier spends time off the CPU
		return http.StatusOK, true
	}
	offCPU := t.server.run.experiment.Site.Classes[t.info.classIndex].OffCPUTime
	if offCPU > 0 && !t.sleep(offCPU) {
		return 0, false
	}
	return http.StatusOK, true
}

// resume starts the part of the job's work that follows the calls.
func (t *task) resume() {
	s := t.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	t.job.Work = t.workAfterCalls
	s.model.Resume(t.job)
	s.reschedule()
}

// callNextTier makes the calls to the next tier, if any, one after another. It stops at the first
// call that was not served, and reports whether all were served.
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

// call makes the nth call to the next tier through the server's own sidecar, and reports whether it
// was served. Servers do not forward the request's remaining time: each call has the full deadline
// of the class.
func (t *task) call(n int) bool {
	s := t.server
	number := strconv.Itoa(n)
	m := &request{
		info:    t.info,
		id:      t.id + "." + s.name + "." + number,
		method:  t.method,
		target:  "/" + t.class + "/" + number,
		tenant:  t.info.tenant,
		timeout: t.info.deadline,
		body:    t.body,
	}
	return s.run.send(context.Background(), m, s.sidecar).outcome == invariant.Served
}

// admit offers the job to the model. If the job overloads the server, the server crashes.
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

// wait waits until the job's current work is done. It reports false if the process crashed or the
// run ended before.
func (t *task) wait() bool {
	select {
	case <-t.done:
		return true
	case <-t.crashed:
	case <-t.server.run.ctx.Done():
	}
	return false
}

// sleep waits for d. It reports false if the process crashed or the run ended before.
func (x *exchange) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-x.crashed:
	case <-x.server.run.ctx.Done():
	}
	return false
}

// finish releases the job's slot. It reports false if a crash has released it already.
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
