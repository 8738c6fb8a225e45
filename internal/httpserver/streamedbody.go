package httpserver

import (
	"sync/atomic"
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

	arrivals        arrivalLog
	nothingUnreadAt time.Time                 // latest time at which all data that had arrived was decoded
	latestSentAt    atomic.Pointer[time.Time] // latest result of SentAt

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
// the last byte of the body, or the current time if the client cannot have sent it yet. While the
// client is not waited for, the rest may have been sent long ago, because much of it may still be
// in the client's own buffers. Once the body is abandoned, the time is unknown: the reader belongs
// to the connection's goroutine again. While a read is in progress, nothing of the body is waiting
// to be read, so the client cannot have sent the last byte.
func (b *streamedBody) SentAt() time.Time {
	now := time.Now()
	if !b.mu.TryLock() {
		return b.sentAtDuringRead(now)
	}
	defer b.mu.Unlock()
	if b.source.abandoned.Load() {
		return now
	}
	if !b.sentAt.IsZero() {
		return b.sentAt
	}
	unread := b.socket.unreadBytes()
	sentAt, isKnown := b.arrivalTime(now, unread)
	total := b.source.pace.received + int64(len(b.source.reader.buffered())) + unread
	b.arrivals.record(now, total, b.caughtUpAt(now, unread))
	if bound := b.arrivals.earliestSend(now, max(b.length, total)); bound.Before(sentAt) {
		sentAt = bound
	}
	if isKnown {
		b.sentAt = sentAt
	}
	b.latestSentAt.Store(&sentAt)
	return sentAt
}

// caughtUpAt returns the latest time at which everything that the client had sent is known to have
// arrived; zero: it never was.
func (b *streamedBody) caughtUpAt(now time.Time, unread int64) time.Time {
	isSilent := unread == 0 && b.socket.unreadAge() >= minUnreadWait
	if isSilent && !b.ended() {
		return now
	}
	return b.source.catchUp.at
}

// sentAtDuringRead is SentAt while a read is in progress. If the read waits for the client, the
// client has sent nothing that was not read. Otherwise the read is about to end.
func (b *streamedBody) sentAtDuringRead(now time.Time) time.Time {
	latest := b.latestSentAt.Load()
	if latest == nil || b.source.waits.Load() {
		return now
	}
	return *latest
}

// arrivalTime returns when the last byte of the body arrived and true, or the earliest time at
// which the client can have sent it if nothing is in the client's own buffers. Data that has
// arrived and was not decoded may hold the last byte.
func (b *streamedBody) arrivalTime(now time.Time, unread int64) (at time.Time, isKnown bool) {
	reader := b.source.reader
	isStreaming := b.source.pace.received > b.receivedAhead
	switch {
	case b.ended():
		return reader.lastArrivedAt, true
	case b.hasArrived(unread):
		return now.Add(-b.socket.unreadAge()), true
	case unread == 0 && !reader.hasData():
		b.nothingUnreadAt = now
		return now, false
	case isStreaming:
		return later(reader.lastArrivedAt, b.nothingUnreadAt), false
	}
	return later(reader.earliestSentAt, b.nothingUnreadAt), false
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

// later returns the later of two times.
func later(s, t time.Time) time.Time {
	if t.After(s) {
		return t
	}
	return s
}
