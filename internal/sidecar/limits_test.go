package sidecar

import "testing"

func TestLimitsShareOfOneProcess(t *testing.T) {
	limits := Limits{Cores: 1, MemoryMB: 128, Sockets: 512}
	for _, c := range []struct {
		limits    Limits
		processes int
		conns     int
		heap      int64
		bodies    int
		requests  int64
	}{
		{limits, processesOutsideHandover, 224, 93952409, 16 << 20, 22369621},
		{limits, processesDuringHandover, 112, 46976204, 8 << 20, 11184810},
		{Limits{MemoryMB: 16, Sockets: 64}, processesOutsideHandover, minConns, 11744051, 2 << 20, 2796202}, // lowest
	} {
		conns := c.limits.maxConns(c.processes)
		heap, bodies := c.limits.heapBytes(c.processes), c.limits.bodyBytes(c.processes)
		requests := c.limits.requestBytes(c.processes)
		if conns != c.conns || heap != c.heap || bodies != c.bodies || requests != c.requests {
			t.Errorf("%+v, %d processes: got %d connections, %d bytes of heap, %d bytes of bodies and %d bytes of requests",
				c.limits, c.processes, conns, heap, bodies, requests)
		}
	}
}
