package http1

import (
	"strconv"
	"sync"
	"time"
)

// The space that the framing of a chunk takes at most, in bytes.
const (
	ChunkHead = 8 + 2 // before the data: the size in hexadecimal, CR LF
	ChunkTail = 2     // behind the data: CR LF
)

// LastChunk ends a chunked body that has no trailers.
const LastChunk = "0\r\n\r\n"

// BufferSize is how many bytes of a streamed body are in flight at most.
const BufferSize = 32 << 10

// MaxReadIdle is how long either side of a streamed body may take neither to send nor to receive a
// byte. A peer may need seconds for a part of it.
const MaxReadIdle = 12 * time.Second

// Buffers has buffers for streamed bodies: *[]byte with space for a chunk of BufferSize bytes and
// its framing.
var Buffers = sync.Pool{New: func() any { b := make([]byte, ChunkHead+BufferSize+ChunkTail); return &b }}

// AppendChunkFraming makes a chunk of the n bytes of data that start at b[ChunkHead], and returns
// the part of b that holds the chunk. There must be ChunkTail bytes behind the data.
func AppendChunkFraming(b []byte, n int) []byte {
	head := strconv.AppendUint(make([]byte, 0, ChunkHead), uint64(n), 16)
	head = append(head, "\r\n"...)
	start := ChunkHead - len(head)
	copy(b[start:], head)
	copy(b[ChunkHead+n:], "\r\n")
	return b[start : ChunkHead+n+ChunkTail]
}
