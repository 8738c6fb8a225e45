package server

// jobs is a binary heap of running jobs, the one that ends first on top. container/heap would box every job in an
// interface on the lab's hottest path; each job knows its spot, so that one can leave early.
type jobs []*Job

func (h jobs) less(i, j int) bool {
	return h[i].finish < h[j].finish || h[i].finish == h[j].finish && h[i].seq < h[j].seq
}

func (h jobs) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].spot, h[j].spot = i, j
}

func (h *jobs) push(j *Job) {
	j.spot = len(*h)
	*h = append(*h, j)
	h.up(j.spot)
}

func (h *jobs) pop() *Job {
	j := (*h)[0]
	h.remove(j)
	return j
}

func (h *jobs) remove(j *Job) {
	i, last := j.spot, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h jobs) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h jobs) down(i int) {
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
