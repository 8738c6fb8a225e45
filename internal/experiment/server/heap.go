package server

// jobHeap is a binary heap of running jobs. The job that finishes first is at index 0. Each job
// stores its index in the heap, so that it can be removed before it finishes. container/heap is not
// used, because it would convert each job to an interface on the hottest path of a run.
type jobHeap []*Job

func (h jobHeap) less(i, j int) bool {
	return h[i].finishClock < h[j].finishClock || h[i].finishClock == h[j].finishClock && h[i].number < h[j].number
}

func (h jobHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *jobHeap) push(j *Job) {
	j.heapIndex = len(*h)
	*h = append(*h, j)
	h.up(j.heapIndex)
}

func (h *jobHeap) pop() *Job {
	j := (*h)[0]
	h.remove(j)
	return j
}

func (h *jobHeap) remove(j *Job) {
	i, last := j.heapIndex, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h jobHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h jobHeap) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if h.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
