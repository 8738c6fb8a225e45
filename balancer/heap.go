package balancer

// Heaps in which endpoints are looked for. No decision is made in this file.

// The slots of endpoint.heapIndexes.
const (
	activeHeapSlot = iota
	trialHeapSlot
	weightHeapSlot
	heapSlots
)

// endpointHeap is a binary heap of endpoints. Each endpoint knows its index, so that it can be
// moved at once.
type endpointHeap struct {
	slot      int // of endpoint.heapIndexes
	less      func(x, y *endpoint) bool
	endpoints []*endpoint
}

// setMember puts an endpoint where it belongs in the heap, or takes it out.
func (h *endpointHeap) setMember(e *endpoint, member bool) {
	i := e.heapIndexes[h.slot] - 1
	switch {
	case member && i >= 0:
		h.fix(i)
	case member:
		h.endpoints = append(h.endpoints, e)
		e.heapIndexes[h.slot] = len(h.endpoints)
		h.fix(len(h.endpoints) - 1)
	case i >= 0:
		last := len(h.endpoints) - 1
		h.swap(i, last)
		h.endpoints[last] = nil
		h.endpoints = h.endpoints[:last]
		e.heapIndexes[h.slot] = 0
		if i < last {
			h.fix(i)
		}
	}
}

func (h *endpointHeap) swap(i, j int) {
	h.endpoints[i], h.endpoints[j] = h.endpoints[j], h.endpoints[i]
	h.endpoints[i].heapIndexes[h.slot], h.endpoints[j].heapIndexes[h.slot] = i+1, j+1
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

// visit passes the endpoint at i and those below it to descend. Below one for which it returns
// false none is visited.
func (h *endpointHeap) visit(i int, descend func(e *endpoint) bool) {
	if i < len(h.endpoints) && descend(h.endpoints[i]) {
		h.visit(2*i+1, descend)
		h.visit(2*i+2, descend)
	}
}

// candidates are endpoints to select from: those of a heap, or else those of a list that are
// active, or are not. It is a struct, not a func or an interface, so that a selection allocates
// nothing.
type candidates struct {
	heap      *endpointHeap
	endpoints []*endpoint
	active    bool
}

// visit passes the candidates to descend. If it returns false, those below that endpoint in a heap
// are left out.
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
