package httpserver

import "sync"

const (
	bodyBufferSize    = 64 << 10 // bytes
	minBodyBuffers    = 16       // pieces that there are in any case
	bodyBufferShare   = 4        // a body may hold this part of them all
	maxFreeBuffers    = 16       // pieces that are kept for later use
	defaultBodyMemory = 8 << 20  // bytes for bodies where nobody says how many
)

// bodyBufferPool is the memory in which long bodies are kept, for all connections together.
type bodyBufferPool struct {
	mu       sync.Mutex
	maxInUse int
	inUse    int
	free     [][]byte
}

// setLimit sets how many bytes may be kept. What is kept already stays.
func (p *bodyBufferPool) setLimit(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxInUse = max(bytes/bodyBufferSize, minBodyBuffers)
}

// maxPerBody is how many pieces one body may hold.
func (p *bodyBufferPool) maxPerBody() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxInUse / bodyBufferShare
}

// get gives a piece, or nil where all are in use.
func (p *bodyBufferPool) get() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse >= p.maxInUse {
		return nil
	}
	p.inUse++
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	return make([]byte, bodyBufferSize)
}

// put takes pieces back.
func (p *bodyBufferPool) put(all [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse -= len(all)
	for _, b := range all {
		if len(p.free) < maxFreeBuffers {
			p.free = append(p.free, b[:bodyBufferSize])
		}
	}
}
