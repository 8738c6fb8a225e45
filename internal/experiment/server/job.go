package server

import "time"

// Admission says what became of a request that arrived.
type Admission int

// The admissions.
const (
	Admitted    Admission = iota // it has a slot, or waits for one
	Rejected                     // it was not run, because the server drains or is full
	Unavailable                  // the process has died, or dies by this request
)

// Job is a request in a server. The driver creates it, and may use it again once it is finished.
type Job struct {
	Owner any     // the driver's
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
	blocked // has a slot and does not compute
	finished
)

// Finished reports whether the job has ended, also by a crash of its server.
func (j *Job) Finished() bool {
	return j.phase == finished || j.server != nil && j.incarnation != j.server.incarnation
}

// Admit offers the server a request whose last byte has arrived. totalWork is all its work, for the
// rule on warming servers; j.Work is the first part of it. The server must have been advanced to
// now.
func (s *Server) Admit(now time.Duration, j *Job, totalWork float64) Admission {
	s.recordLoad()
	if s.down {
		return Unavailable
	}
	s.recordWarmupWork(now, totalWork)
	if s.down {
		return Unavailable
	}
	if s.draining || s.slotsUsed >= s.kind.Slots && s.queued() >= s.kind.QueueLimit {
		return Rejected
	}
	s.admitted++
	j.number, j.server, j.incarnation = s.admitted, s, s.incarnation
	if s.slotsUsed < s.kind.Slots {
		s.slotsUsed++
		s.startJob(j)
	} else {
		j.phase = queued
		s.queue = append(s.queue, j)
	}
	s.updateCollapse()
	return Admitted
}

func (s *Server) startJob(j *Job) {
	j.phase, j.finishClock = running, s.workClock+j.Work
	s.running.push(j)
}

// Resume lets a blocked job compute again, for j.Work.
func (s *Server) Resume(j *Job) {
	if j.phase == blocked && !j.Finished() {
		s.startJob(j)
	}
}

// Finish removes a job and passes its slot to the next that waits. It does nothing to a job that is
// finished already.
func (s *Server) Finish(j *Job) {
	if j.Finished() {
		return
	}
	s.recordLoad()
	switch j.phase {
	case queued:
		s.removeQueued(j)
	case running:
		s.running.remove(j)
		s.releaseSlot()
	case blocked:
		s.releaseSlot()
	}
	j.phase = finished
	s.updateCollapse()
}

func (s *Server) removeQueued(j *Job) {
	for i := s.queueHead; i < len(s.queue); i++ {
		if s.queue[i] == j {
			copy(s.queue[i:], s.queue[i+1:])
			s.queue[len(s.queue)-1] = nil
			s.queue = s.queue[:len(s.queue)-1]
			return
		}
	}
}

// maxQueueGap is how many entries before queueHead are kept before the queue is moved to the front.
const maxQueueGap = 1024

// releaseSlot passes a slot to the first job in the queue, if there is one.
func (s *Server) releaseSlot() {
	s.slotsUsed--
	if s.queued() == 0 {
		return
	}
	j := s.queue[s.queueHead]
	s.queue[s.queueHead] = nil
	s.queueHead++
	if s.queueHead == len(s.queue) || s.queueHead > maxQueueGap {
		s.queue = append(s.queue[:0], s.queue[s.queueHead:]...)
		s.queueHead = 0
	}
	s.slotsUsed++
	s.startJob(j)
}
