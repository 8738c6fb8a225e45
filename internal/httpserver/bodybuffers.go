package httpserver

import "sync"

const (
	bodyBufferSize    = 64 << 10 // bytes
	minBodyBuffers    = 16       // in the pool, however small its limit
	bodyQuotaDivisor  = 4        // one body may use a quarter of all buffers
	maxFreeBuffers    = 16       // cached for reuse
	defaultBodyMemory = 8 << 20  // bytes
)

// bodyBufferPool provides the buffers of long bodies, for all connections together, and limits how
// many are in use.
type bodyBufferPool struct {
	mu    sync.Mutex // guards the fields below
	limit int        // of inUse
	inUse int
	free  [][]byte
}

// setLimit sets how many bytes may be in use. Buffers in use beyond that stay until they are
// returned.
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
