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
	}{
		{limits, processesOutsideHandover, 224, 93952409, 16 << 20},
		{limits, processesDuringHandover, 112, 46976204, 8 << 20},
		{Limits{MemoryMB: 16, Sockets: 64}, processesOutsideHandover, minConns, 11744051, 2 << 20}, // the lowest of each
	} {
		conns := c.limits.maxConns(c.processes)
		heap, bodies := c.limits.heapBytes(c.processes), c.limits.bodyBytes(c.processes)
		if conns != c.conns || heap != c.heap || bodies != c.bodies {
			t.Errorf("%+v, %d processes: got %d connections, %d bytes of heap and %d bytes of bodies",
				c.limits, c.processes, conns, heap, bodies)
		}
	}
}
