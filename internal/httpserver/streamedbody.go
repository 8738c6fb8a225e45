package httpserver

import (
	"time"

	"rowancart/internal/membudget"
	"rowancart/internal/proxy"
	"rowancart/internal/sharedbody"
)

// streamedBody is a request's body that is longer than proxy.MaxBody, or for which there was no
// memory. Its beginning has been read.
// The rest is buffered as far as the limit of the buffers allows. What is not buffered is read
// from the connection while the body is forwarded.
type streamedBody struct {
	*requestBody
	length        int64 // bytes; negative: unknown
	buffers       *bodyBufferPool
	memory        *membudget.Account // of the request
	socket        socket             // of the connection
	receivedAhead int64              // bytes received before the rest is streamed
	sentAt        time.Time          // result of SentAt, once the last byte is known to have arrived; zero before

	buffered [][]byte // from buffers; not changed after bufferAhead
}

// bufferAhead buffers the body as far as its quota of the buffers allows, and returns the body that
// a pool forwards. It consists of prefix, which readBody has read, the buffers, and the rest that
// is still to be read, if any. freePrefix gives back the memory of prefix; it may be nil. A body of
// known length that exceeds the quota is not buffered at all.
func (b *streamedBody) bufferAhead(prefix []byte, freePrefix func()) (*sharedbody.Body, error) {
	maxBuffers := b.buffers.maxPerBody()
	total := int64(len(prefix))
	if b.length < 0 || b.length-total <= int64(maxBuffers)*bodyBufferSize {
		n, err := b.fillBuffers(maxBuffers)
		if err != nil {
			b.freeBuffers()
			return nil, err
		}
		total += n
	}
	long := sharedbody.Long{
		Length: b.length,
		Parts:  append([][]byte{prefix}, b.buffered...),
		Free: func() {
			b.freeBuffers()
			if freePrefix != nil {
				freePrefix()
			}
		},
	}
	if b.ended() {
		long.Length = total
	} else {
		b.receivedAhead = b.source.pace.received
		long.Rest = b
	}
	return sharedbody.NewLong(long), nil
}

// SentAt implements sharedbody.Rest. It returns the earliest time at which the client can have sent
// the last byte of the body, or the current time if the client cannot have sent it yet. While there
// is unread data, the rest may have been sent right after the data that was read last, because some
// of it may still be in the client's own buffers. Once the body is abandoned, the time is unknown:
// the reader belongs to the connection's goroutine again.
func (b *streamedBody) SentAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.source.abandoned.Load() {
		return time.Now()
	}
	reader := b.source.reader
	unread := b.socket.unreadBytes()
	isStreaming := b.source.pace.received > b.receivedAhead
	switch {
	case !b.sentAt.IsZero():
	case b.ended():
		b.sentAt = reader.lastArrivedAt
	case b.hasArrived(unread):
		b.sentAt = time.Now().Add(-b.socket.unreadAge())
	case unread > 0 && isStreaming:
		return reader.lastArrivedAt
	case unread > 0:
		return reader.earliestSentAt
	default:
		return time.Now()
	}
	return b.sentAt
}

// hasArrived reports whether the last byte of a body of known length has arrived, given the number
// of unread bytes in the socket.
func (b *streamedBody) hasArrived(unread int64) bool {
	missing := b.length - b.source.pace.received - int64(len(b.source.reader.buffered()))
	return b.length >= 0 && missing <= unread
}

// fillBuffers reads into at most maxBuffers buffers and returns the number of bytes read.
func (b *streamedBody) fillBuffers(maxBuffers int) (total int64, err error) {
	for len(b.buffered) < maxBuffers && !b.ended() {
		if !b.memory.TryReserve(bodyBufferSize, membudget.Receiving) {
			break
		}
		buffer := b.buffers.get()
		if buffer == nil {
			b.memory.Release(bodyBufferSize)
			break
		}
		n, err := b.readFull(buffer)
		b.buffered = append(b.buffered, buffer[:n])
		if err != nil {
			return total, err
		}
		total += int64(n)
	}
	return total, nil
}

// freeBuffers gives back the buffers and their memory.
func (b *streamedBody) freeBuffers() {
	b.buffers.put(b.buffered)
	b.memory.Release(len(b.buffered) * bodyBufferSize)
}

// timeLimit returns how long the rest of the body may take.
func (b *streamedBody) timeLimit() time.Duration {
	length := int64(proxy.MaxStreamedBody)
	if b.length >= 0 {
		length = b.length
	}
	pace := &b.source.pace
	return pace.gracePeriod + maxBodyPause + time.Duration(length-pace.received)*time.Second/minBodyRate
}
