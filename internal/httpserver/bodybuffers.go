package httpserver

import "sync"

const (
	bodyBufferSize    = 64 << 10 // bytes of one buffer
	minBodyBuffers    = 16       // minimum of bodyBufferPool.limit
	bodyQuotaDivisor  = 4        // one body may use a quarter of bodyBufferPool.limit
	maxFreeBuffers    = 4        // maximum number of buffers kept for reuse
	defaultBodyMemory = 8 << 20  // maximum bytes of all buffers in use
	defaultMemory     = 32 << 20 // bytes of the budget of a Server that shares none
)

// bodyBufferPool provides the buffers for the long request bodies of all connections, and limits
// how many buffers are in use.
type bodyBufferPool struct {
	mu    sync.Mutex // guards the fields below
	limit int        // maximum of inUse
	inUse int        // buffers that get has returned and put has not received
	free  [][]byte   // kept for reuse
}

// setLimit sets how many bytes of buffers may be in use. Buffers that are in use beyond a lower
// limit stay valid until they are returned.
func (p *bodyBufferPool) setLimit(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(bytes/bodyBufferSize, minBodyBuffers)
}

// maxPerBody returns how many buffers one body may use.
func (p *bodyBufferPool) maxPerBody() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit / bodyQuotaDivisor
}

// get returns a buffer, or nil if the limit is reached.
func (p *bodyBufferPool) get() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse >= p.limit {
		return nil
	}
	p.inUse++
	if n := len(p.free); n > 0 {
		buffer := p.free[n-1]
		p.free = p.free[:n-1]
		return buffer
	}
	return make([]byte, bodyBufferSize)
}

// put returns buffers from get to the pool. They may have been resliced to any length.
func (p *bodyBufferPool) put(buffers [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse -= len(buffers)
	for _, buffer := range buffers {
		if len(p.free) < maxFreeBuffers {
			p.free = append(p.free, buffer[:bodyBufferSize])
		}
	}
}
