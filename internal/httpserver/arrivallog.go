package httpserver

import "time"

const (
	// maxSendBuffer is how many bytes a client may have sent that are still in its own kernel, because
	// the receive buffer of its connection is full: the default maximum of Linux's send buffers.
	maxSendBuffer = 4 << 20
	// arrivalStep is the minimum number of bytes between two entries of an arrivalLog.
	arrivalStep = maxSendBuffer / 32
)

// arrival says that a number of bytes of a body had arrived at a time.
type arrival struct {
	at    time.Time
	total int64
}

// arrivalLog records how much of a body had arrived at which time since the client was last seen to
// be waited for. While it is not waited for, it may have sent up to maxSendBuffer bytes more than
// have arrived. The log answers since when the client can have sent a byte.
type arrivalLog struct {
	entries []arrival // oldest first; those before the latest that matters are dropped
	begunAt time.Time // when the log began anew
}

// record records that total bytes have arrived. caughtUpAt is the latest time at which everything
// that the client had sent had arrived: if the log began before that, it begins anew.
func (l *arrivalLog) record(now time.Time, total int64, caughtUpAt time.Time) {
	if len(l.entries) == 0 || caughtUpAt.After(l.begunAt) {
		l.begunAt = caughtUpAt
		if caughtUpAt.IsZero() {
			caughtUpAt = now
		}
		l.entries = append(l.entries[:0], arrival{caughtUpAt, total})
		return
	}
	if total-l.entries[len(l.entries)-1].total >= arrivalStep {
		l.entries = append(l.entries, arrival{now, total})
	}
	drop := 0
	for drop < len(l.entries)-1 && l.entries[drop].total < total-maxSendBuffer {
		drop++
	}
	l.entries = append(l.entries[:0], l.entries[drop:]...)
}

// earliestSend returns the earliest time at which the client can have sent the byte before end, or
// now if it cannot have sent it yet.
func (l *arrivalLog) earliestSend(now time.Time, end int64) time.Time {
	for _, entry := range l.entries {
		if entry.total >= end-maxSendBuffer {
			return entry.at
		}
	}
	return now
}
