package daemon

import "rowancart/internal/config"

// requestMemoryDivisor gives the memory that requests may reserve beyond what each connection may
// use without asking: the memory limit divided by it.
const requestMemoryDivisor = 8

// requestMemory returns how many bytes the requests of all listeners may reserve.
func requestMemory(c *config.Config) int64 { return c.Limits.Memory / requestMemoryDivisor }
