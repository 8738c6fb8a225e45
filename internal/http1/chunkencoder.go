package http1

import (
	"strconv"
	"time"
)

// The space that FrameChunk needs around the data of a chunk, in bytes.
const (
	ChunkHeadSize = 8 + 2 // before the data: up to eight hexadecimal digits, CR LF
	ChunkTailSize = 2     // after the data: CR LF
)

// LastChunk ends a chunked body that has no trailer fields.
const LastChunk = "0\r\n\r\n"

// StreamIdleTimeout is the time within which a peer must send or receive the next part of a
// streamed body. A slow peer may need seconds for one part.
const StreamIdleTimeout = 12 * time.Second

// FrameChunk writes the framing of a chunk around the n bytes of data that start at
// b[ChunkHeadSize], and returns the part of b that is the chunk. b must have ChunkTailSize bytes
// after the data.
func FrameChunk(b []byte, n int) []byte {
	head := strconv.AppendUint(make([]byte, 0, ChunkHeadSize), uint64(n), 16)
	head = append(head, "\r\n"...)
	start := ChunkHeadSize - len(head)
	copy(b[start:], head)
	copy(b[ChunkHeadSize+n:], "\r\n")
	return b[start : ChunkHeadSize+n+ChunkTailSize]
}
