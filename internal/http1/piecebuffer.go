package http1

import (
	"sync"

	"rowancart/internal/membudget"
)

// The sizes of the pieces in which a streamed body is passed on, in bytes. A connection may use a
// small buffer without a reservation.
const (
	LargePieceSize = 32 << 10
	SmallPieceSize = 4 << 10
)

// PieceBuffer holds a piece of a streamed body between the client's and the endpoint's connection,
// with space for its framing as a chunk.
type PieceBuffer struct {
	space []byte
	pool  *sync.Pool
}

var (
	largeBuffers = newPiecePool(LargePieceSize)
	smallBuffers = newPiecePool(SmallPieceSize)
)

func newPiecePool(size int) *sync.Pool {
	pool := &sync.Pool{}
	pool.New = func() any {
		return &PieceBuffer{space: make([]byte, ChunkHeadSize+size+ChunkTailSize), pool: pool}
	}
	return pool
}

// AcquirePieceBuffer returns a large buffer if the memory for it can be reserved, otherwise a small
// one. Release must be called with the same account.
func AcquirePieceBuffer(memory *membudget.Account) *PieceBuffer {
	if memory.TryReserve(LargePieceSize, membudget.Streaming) {
		return largeBuffers.Get().(*PieceBuffer)
	}
	return smallBuffers.Get().(*PieceBuffer)
}

// Release gives the buffer and its memory back. The buffer must not be used after that.
func (b *PieceBuffer) Release(memory *membudget.Account) {
	if b.pool == largeBuffers {
		memory.Release(LargePieceSize)
	}
	b.pool.Put(b)
}

// Data returns the part of the buffer that holds a piece, without the space for its framing.
func (b *PieceBuffer) Data() []byte {
	return b.space[ChunkHeadSize : len(b.space)-ChunkTailSize]
}

// Chunk frames the first n bytes of the piece as a chunk, and returns the chunk.
func (b *PieceBuffer) Chunk(n int) []byte { return FrameChunk(b.space, n) }
