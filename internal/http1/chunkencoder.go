package http1

import (
	"strconv"
	"sync"
	"time"
)

// The maximum lengths of a chunk's framing, in bytes.
const (
	ChunkHead = 8 + 2 // before the data: the size in hexadecimal, CR LF
	ChunkTail = 2     // after the data: CR LF
)

// LastChunk ends a chunked body that has no trailers.
const LastChunk = "0\r\n\r\n"

// BufferSize is the maximum number of bytes of a streamed body that are buffered between its two
// connections.
const BufferSize = 32 << 10

// MaxReadIdle is how long a peer may neither send nor receive a byte of a streamed body. A peer may
// need seconds for a part of it.
const MaxReadIdle = 12 * time.Second

// Buffers has buffers for streamed bodies: *[]byte with space for a chunk of BufferSize bytes and
// its framing.
var Buffers = sync.Pool{New: newBuffer}

func newBuffer() any {
	b := make([]byte, ChunkHead+BufferSize+ChunkTail)
	return &b
}

// AppendChunkFraming makes a chunk of the n bytes of data that start at b[ChunkHead], and returns
// the part of b that is the chunk. There must be ChunkTail bytes after the data.
func AppendChunkFraming(b []byte, n int) []byte {
	head := strconv.AppendUint(make([]byte, 0, ChunkHead), uint64(n), 16)
	head = append(head, "\r\n"...)
	start := ChunkHead - len(head)
	copy(b[start:], head)
	copy(b[ChunkHead+n:], "\r\n")
	return b[start : ChunkHead+n+ChunkTail]
}
