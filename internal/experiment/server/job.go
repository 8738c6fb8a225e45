package server

import "time"

// Admission is the result of an arrival.
type Admission int

// The admissions.
const (
	Admitted    Admission = iota // the request has a slot, or waits for one
	Rejected                     // it was not run, because the server is draining or full
	Unavailable                  // the process has crashed, or crashes because of this request
)

// Job is a request in a server. The driver creates it, and may reuse it after it has finished.
type Job struct {
	Owner any     // set and used by the driver only
	Work  float64 // seconds on a core of speed 1, until Advance returns the job

	phase       phase
	finishClock float64 // the server's work clock when the job's work is done
	heapIndex   int     // in the heap of running jobs
	number      uint64  // in the order of admission; orders jobs of the same finishClock
	server      *Server
	incarnation int // of the server, at the admission
}

// phase is the state of a job: notAdmitted, then queued or running; running and blocked in turns;
// finished.
type phase int

const (
	notAdmitted phase = iota
	queued
	running
	blocked // has a slot, but does not compute
	finished
)

// Finished reports whether the job has ended, also by a crash of its server.
func (j *Job) Finished() bool {
	return j.phase == finished || j.server != nil && j.incarnation != j.server.incarnation
}

// Admit offers the server a request whose last byte has arrived. totalWork is all its work, for the
// rule for servers that warm up; j.Work is the first part of it. The server must have been advanced
// to now.
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

// startJob lets a job that has a slot compute.
func (s *Server) startJob(j *Job) {
	j.phase = running
	j.finishClock = s.workClock + j.Work
	s.running.push(j)
}

// Resume lets a blocked job compute again, for j.Work.
func (s *Server) Resume(j *Job) {
	if j.phase == blocked && !j.Finished() {
		s.startJob(j)
	}
}

// Finish removes a job and passes its slot to the next in the queue. It does nothing if the job has
// already finished.
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

// releaseSlot passes a slot to the first job in the queue, if there is one.
func (s *Server) releaseSlot() {
	s.slotsUsed--
	if s.queue.len() > 0 {
		s.slotsUsed++
		s.startJob(s.queue.pop())
	}
}
