package balancer

// Heaps in which endpoints are searched. No decision is made in this file.

// The slots of endpoint.heapIndexes.
const (
	activeHeapSlot = iota
	trialHeapSlot
	weightHeapSlot
	heapSlots
)

// endpointHeap is a binary heap of endpoints. Each endpoint has its own index in it, so that it can
// be moved without a search.
type endpointHeap struct {
	slot      int // of endpoint.heapIndexes
	less      func(x, y *endpoint) bool
	endpoints []*endpoint
}

// put adds an endpoint, or moves one that is in the heap to where it belongs now.
func (h *endpointHeap) put(e *endpoint) {
	i := e.heapIndexes[h.slot] - 1
	if i < 0 {
		i = len(h.endpoints)
		h.endpoints = append(h.endpoints, e)
		e.heapIndexes[h.slot] = i + 1
	}
	h.fix(i)
}

// remove takes an endpoint out if it is in the heap.
func (h *endpointHeap) remove(e *endpoint) {
	if i := e.heapIndexes[h.slot] - 1; i >= 0 {
		h.removeAt(i)
	}
}

// removeAt takes the endpoint at an index out.
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

// swap swaps the endpoints at two indexes.
func (h *endpointHeap) swap(i, j int) {
	h.endpoints[i], h.endpoints[j] = h.endpoints[j], h.endpoints[i]
	h.endpoints[i].heapIndexes[h.slot] = i + 1
	h.endpoints[j].heapIndexes[h.slot] = j + 1
}

// fix restores the heap after the endpoint at i has changed.
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

// visit passes the endpoint at i and those below it to descend. Where descend returns false, the
// endpoints below are not visited.
func (h *endpointHeap) visit(i int, descend func(e *endpoint) bool) {
	if i < len(h.endpoints) && descend(h.endpoints[i]) {
		h.visit(2*i+1, descend)
		h.visit(2*i+2, descend)
	}
}

// candidates are the endpoints that a selection chooses from: those of a heap, or else the active
// or the inactive ones of a list. It is a struct, not a func or an interface, so that a selection
// allocates nothing.
type candidates struct {
	heap      *endpointHeap
	endpoints []*endpoint
	active    bool
}

// visit passes the candidates to descend. Where descend returns false, the endpoints below in a
// heap are not visited.
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
