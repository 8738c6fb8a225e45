package server

// maxQueueGap is the maximum number of free entries before the head of a queue. When there are
// more, the jobs are moved to the front of the slice.
const maxQueueGap = 1024

// jobQueue is a first-in, first-out queue of the jobs that wait for a slot. Its zero value is an
// empty queue.
type jobQueue struct {
	jobs []*Job // the entries before head are free
	head int
}

func (q *jobQueue) len() int { return len(q.jobs) - q.head }

func (q *jobQueue) push(j *Job) { q.jobs = append(q.jobs, j) }

// pop removes and returns the first job. The queue must not be empty.
func (q *jobQueue) pop() *Job {
	j := q.jobs[q.head]
	q.jobs[q.head] = nil
	q.head++
	if q.head == len(q.jobs) || q.head > maxQueueGap {
		q.jobs = append(q.jobs[:0], q.jobs[q.head:]...)
		q.head = 0
	}
	return j
}

// remove removes a job from any position. It does nothing if the job is not in the queue.
func (q *jobQueue) remove(j *Job) {
	for i := q.head; i < len(q.jobs); i++ {
		if q.jobs[i] == j {
			copy(q.jobs[i:], q.jobs[i+1:])
			q.jobs[len(q.jobs)-1] = nil
			q.jobs = q.jobs[:len(q.jobs)-1]
			return
		}
	}
}
