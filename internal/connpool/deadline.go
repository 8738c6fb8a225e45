package connpool

import (
	"time"

	"rowancart/internal/http1"
)

// This file computes when each wait of an attempt for its endpoint ends. A wait that lasts longer
// than its endpoint needs to be told from a dead one is bounded by the time of the client: it must
// have its answer when that time is over, whichever step the attempt is in.

const (
	// uploadCheckInterval is the time between two checks of the client's deadline, and of input from
	// the endpoint, while an endpoint does not read the upload.
	uploadCheckInterval = 100 * time.Millisecond

	// earlyResponseTimeout limits how long reading a response may take if writing the request failed
	// before a byte of the response had been seen.
	earlyResponseTimeout = 200 * time.Millisecond

	// streamAfter is the time after which a body of unknown length that has not ended is streamed.
	streamAfter = 50 * time.Millisecond
	// streamMargin is how long before the deadline of its attempt such a body is streamed at the
	// latest, so that the client gets the beginning of the response in time.
	streamMargin = 10 * time.Millisecond
)

// ClientDeadline returns the earliest time at which the client of the request may stop waiting, and
// true, if a part of the body is still to be read from the client: its timeout counts from when it
// sent the last byte, so that the time moves on until then. Otherwise it returns false: the time
// was known when the body had been received.
func (r *Request) ClientDeadline() (time.Time, bool) {
	if !r.HasMovingDeadline() {
		return time.Time{}, false
	}
	return r.Body.SentAt().Add(r.ClientTimeout), true
}

// HasMovingDeadline reports whether a part of the request's body is still to be read from the
// client when the first attempt begins.
func (r *Request) HasMovingDeadline() bool { return r != nil && r.Body.HasRest() }

// endsAt returns the time by which an attempt must have its response. It has to be computed again
// after each wait: while the client sends its body, the time moves on.
func (a *Attempt) endsAt() time.Time {
	end := a.cap(a.Deadline)
	if clientDeadline, moves := a.request.ClientDeadline(); moves {
		return earlier(end, clientDeadline)
	}
	return end
}

// writeEndsAt returns the time by which the endpoint must have read a piece of a long request whose
// write began at start.
func (a *Attempt) writeEndsAt(start time.Time) time.Time {
	end := earlier(start.Add(http1.StreamIdleTimeout), a.endsAt())
	if !a.WriteBy.IsZero() {
		end = earlier(end, a.WriteBy)
	}
	return end
}

// earlyResponseEndsAt returns the time by which an early response must have been read, unless it is
// streamed. If its first bytes have arrived, the endpoint has the time of the client for the rest.
func (a *Attempt) earlyResponseEndsAt(hasBegun bool) time.Time {
	if hasBegun {
		return a.endsAt()
	}
	return earlier(a.endsAt(), time.Now().Add(earlyResponseTimeout))
}

// streamsAt returns when a body of unknown length that has not ended is streamed, in an attempt
// with the given deadline.
func streamsAt(deadline time.Time) time.Time {
	return earlier(time.Now().Add(streamAfter), deadline.Add(-streamMargin))
}

// streamReadEndsAt returns the time by which more of a streamed response must arrive.
func streamReadEndsAt() time.Time { return time.Now().Add(http1.StreamIdleTimeout) }

// earlier returns the earlier of two times.
func earlier(s, t time.Time) time.Time {
	if t.Before(s) {
		return t
	}
	return s
}
