package httpserver

import "sync"

const (
	pieceSize   = 64 << 10 // bytes
	bodiesLeast = 16       // pieces that there are in any case
	mostOfOne   = 4        // a body may hold this part of them all
	spareMost   = 16       // pieces that are kept for later use
	keepDefault = 8 << 20  // bytes for bodies where nobody says how many
)

// pieces is the memory in which long bodies are kept, for all connections together.
type pieces struct {
	mu    sync.Mutex
	most  int
	out   int
	spare [][]byte
}

// limit sets how many bytes may be kept. What is kept already stays.
func (p *pieces) limit(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = max(bytes/pieceSize, bodiesLeast)
}

// each is how many pieces one body may hold.
func (p *pieces) each() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.most / mostOfOne
}

// get gives a piece, or nil where all are in use.
func (p *pieces) get() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out >= p.most {
		return nil
	}
	p.out++
	if n := len(p.spare); n > 0 {
		b := p.spare[n-1]
		p.spare = p.spare[:n-1]
		return b
	}
	return make([]byte, pieceSize)
}

// put takes pieces back.
func (p *pieces) put(all [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out -= len(all)
	for _, b := range all {
		if len(p.spare) < spareMost {
			p.spare = append(p.spare, b[:pieceSize])
		}
	}
}
