package server

import "time"

// Admission says whether a server accepted a request that arrived.
type Admission int

// The results of an arrival.
const (
	Admitted    Admission = iota // the request has a slot or is queued for one
	Rejected                     // the request was not run, because the server is draining or full
	Unavailable                  // the process has crashed, or crashes because of this request
)

// Job is a request that a server processes. The driver creates it and may reuse it after it has
// finished.
type Job struct {
	Owner any     // set and used by the driver only
	Work  float64 // computing time until Advance returns the job, in seconds on a core of speed 1

	phase       phase
	finishClock float64 // value of Server.workClock at which the job's work is done
	heapIndex   int     // index in Server.running
	number      uint64  // sequence number of the admission; breaks ties of finishClock
	server      *Server
	incarnation int // Server.incarnation when the job was admitted
}

// phase is the state of a job. An admitted job is running, or queued until it gets a slot. It then
// alternates between running and blocked until it is finished. Finish or a crash can end a job in
// any phase.
type phase int

const (
	notAdmitted phase = iota
	queued
	running
	blocked // has a slot but does not compute, for example while it waits for the next tier
	finished
)

// Finished reports whether the job has ended, which includes that its server crashed.
func (j *Job) Finished() bool {
	return j.phase == finished || j.server != nil && j.incarnation != j.server.incarnation
}

// Admit offers the server a request whose last byte has arrived. j.Work is the work of the request
// until it blocks for the first time; totalWork is all of its work, which counts toward the budget
// of a server that warms up. The server must have been advanced to now.
func (s *Server) Admit(now time.Duration, j *Job, totalWork float64) Admission {
	s.recordLoad()
	if s.down {
		return Unavailable
	}
	s.recordWarmupWork(now, totalWork)
	if s.down {
		return Unavailable
	}
	if s.draining || s.isFull() {
		return Rejected
	}
	s.admitted++
	j.number = s.admitted
	j.server = s
	j.incarnation = s.incarnation
	if s.slotsUsed < s.kind.Slots {
		s.slotsUsed++
		s.startJob(j)
	} else {
		j.phase = queued
		s.queue.push(j)
	}
	s.updateCollapse()
	return Admitted
}

// isFull reports whether all slots are used and the queue has reached its limit.
func (s *Server) isFull() bool {
	return s.slotsUsed >= s.kind.Slots && s.queue.len() >= s.kind.QueueLimit
}

// startJob makes a job that has a slot compute j.Work.
func (s *Server) startJob(j *Job) {
	j.phase = running
	j.finishClock = s.workClock + j.Work
	s.running.push(j)
}

// Resume makes a blocked job compute again. The caller has set j.Work to its next part of work.
func (s *Server) Resume(j *Job) {
	if j.phase == blocked && !j.Finished() {
		s.startJob(j)
	}
}

// Finish ends a job. A queued job leaves the queue. The slot of any other job goes to the first job
// in the queue, if there is one. Finish does nothing if the job has already finished.
func (s *Server) Finish(j *Job) {
	if j.Finished() {
		return
	}
	s.recordLoad()
	switch j.phase {
	case queued:
		s.queue.remove(j)
	case running:
		s.running.remove(j)
		s.releaseSlot()
	case blocked:
		s.releaseSlot()
	}
	j.phase = finished
	s.updateCollapse()
}

// releaseSlot frees a slot, or gives it to the first job in the queue if there is one.
func (s *Server) releaseSlot() {
	s.slotsUsed--
	if s.queue.len() > 0 {
		s.slotsUsed++
		s.startJob(s.queue.pop())
	}
}
