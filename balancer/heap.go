package balancer

// Heaps that order endpoints for selection. This file makes no load-balancing decisions.

// Indexes into endpoint.heapIndexes, one for each heap that an endpoint can be in. heapSlots is
// their number.
const (
	activeHeapSlot = iota
	trialHeapSlot
	weightHeapSlot
	heapSlots
)

// endpointHeap is a binary heap of endpoints. Each endpoint stores its index in the heap, so that
// it can be moved or removed without a search.
type endpointHeap struct {
	slot      int // index into endpoint.heapIndexes
	less      func(x, y *endpoint) bool
	endpoints []*endpoint
}

// put adds an endpoint, or restores the position of one that is already in the heap.
func (h *endpointHeap) put(e *endpoint) {
	i := e.heapIndexes[h.slot] - 1
	if i < 0 {
		i = len(h.endpoints)
		h.endpoints = append(h.endpoints, e)
		e.heapIndexes[h.slot] = i + 1
	}
	h.fix(i)
}

// remove removes an endpoint if it is in the heap.
func (h *endpointHeap) remove(e *endpoint) {
	if i := e.heapIndexes[h.slot] - 1; i >= 0 {
		h.removeAt(i)
	}
}

// removeAt removes the endpoint at index i.
func (h *endpointHeap) removeAt(i int) {
	e := h.endpoints[i]
	last := len(h.endpoints) - 1
	h.swap(i, last)
	h.endpoints[last] = nil
	h.endpoints = h.endpoints[:last]
	e.heapIndexes[h.slot] = 0
	if i < last {
		h.fix(i)
	}
}

// swap swaps the endpoints at indexes i and j.
func (h *endpointHeap) swap(i, j int) {
	h.endpoints[i], h.endpoints[j] = h.endpoints[j], h.endpoints[i]
	h.endpoints[i].heapIndexes[h.slot] = i + 1
	h.endpoints[j].heapIndexes[h.slot] = j + 1
}

// fix restores the heap order after the endpoint at index i has changed.
func (h *endpointHeap) fix(i int) {
	for i > 0 && h.less(h.endpoints[i], h.endpoints[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.endpoints); child++ {
			if h.less(h.endpoints[child], h.endpoints[first]) {
				first = child
			}
		}
		if first == i {
			return
		}
		h.swap(i, first)
		i = first
	}
}

// visit calls descend for the endpoint at index i and for those below it in the heap. It skips the
// endpoints below one for which descend returns false.
func (h *endpointHeap) visit(i int, descend func(e *endpoint) bool) {
	if i < len(h.endpoints) && descend(h.endpoints[i]) {
		h.visit(2*i+1, descend)
		h.visit(2*i+2, descend)
	}
}

// candidates holds the endpoints that a selection chooses from: all endpoints of heap or, if heap
// is nil, those in endpoints that are not removed and are active or not, as the field active
// requires. It is a struct rather than a func or an interface, so that a selection allocates
// nothing.
type candidates struct {
	heap      *endpointHeap
	endpoints []*endpoint
	active    bool
}

// visit calls descend for each candidate. In a heap, it skips the endpoints below one for which
// descend returns false; in a list, it ignores the result.
func (c candidates) visit(descend func(e *endpoint) bool) {
	if c.heap != nil {
		c.heap.visit(0, descend)
	}
	for _, e := range c.endpoints {
		if e.State != Removed && e.active == c.active {
			descend(e)
		}
	}
}
