// Package sharedbody holds the body of a request while attempts write it to endpoints.
//
// A request may have several attempts in flight, and its owner may finish it before they have all
// ended. So no attempt reaches the bytes of a Body other than through a Lease, and the memory of
// the bytes is given back only when no lease uses it any more. A body that is still being received
// from the client has one lease at a time: two attempts that read from the client would each get a
// part of the body.
package sharedbody

import (
	"errors"
	"io"
	"sync"
	"time"
)

// The reasons for which Acquire returns no lease.
var (
	ErrInUse    = errors.New("another attempt is writing the request body, which only one can do at a time")
	ErrConsumed = errors.New("request body was read past the part that is in memory and can't be sent again")
	ErrReleased = errors.New("request body was released by its owner")
)

// Rest is the part of a body that is read from the client while it is written to an endpoint.
type Rest interface {
	io.Reader

	// SentAt returns the earliest time at which the client can have sent the last byte of the body,
	// or the present time if the client cannot have sent it yet. The client's timeout counts from
	// that time, whether the byte has been read or not. It does not block and may be called from any
	// goroutine.
	SentAt() time.Time

	// Interrupt makes all reads fail, including one in progress. It does not block and may be called
	// from any goroutine.
	Interrupt()
}

// Body is the body of a request. It belongs to its owner, which releases it once no further attempt
// may begin to write it.
type Body struct {
	length int64
	long   bool
	rest   Rest // nil: parts are the complete body

	mu       sync.Mutex // guards the fields below
	parts    [][]byte   // nil once their memory has been given back
	free     func()     // gives back the memory of parts; nil: it was called, or there is none
	leases   int        // leases that may read parts
	consumed bool       // rest has been read from
	released bool       // by the owner
}

// New returns a body that is completely in memory. free gives back the memory of data; it may be
// nil.
func New(data []byte, free func()) *Body {
	return &Body{length: int64(len(data)), parts: [][]byte{data}, free: free}
}

// Long describes a body that is longer than a request's buffer.
type Long struct {
	Length int64    // of the complete body in bytes; negative: unknown
	Parts  [][]byte // the beginning of the body, in order
	Rest   Rest     // what follows Parts; nil: nothing
	Free   func()   // gives back the memory of Parts; may be nil
}

// NewLong returns a long body.
func NewLong(l Long) *Body {
	return &Body{length: l.Length, long: true, rest: l.Rest, parts: l.Parts, free: l.Free}
}

// Length returns the length of the complete body in bytes; negative: unknown. A nil Body is empty.
func (b *Body) Length() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// IsLong reports whether the body was made by NewLong.
func (b *Body) IsLong() bool { return b != nil && b.long }

// HasRest reports whether a part of the body is read from the client while it is written.
func (b *Body) HasRest() bool { return b != nil && b.rest != nil }

// SentAt returns the earliest time at which the client can have sent the last byte of the body, see
// Rest. The body must have a rest.
func (b *Body) SentAt() time.Time { return b.rest.SentAt() }

// Consumed reports whether the body can't be sent again, because reading the part of it that is not
// in memory has begun.
func (b *Body) Consumed() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.consumed
}

// Release is called by the owner: no further lease is acquired. The memory is given back once the
// leases that use it have ended. A nil Body has nothing to release.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	b.freeUnusedLocked()
}

// Acquire returns a lease of the body, or one of the errors above.
func (b *Body) Acquire() (*Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.released:
		return nil, ErrReleased
	case b.consumed:
		return nil, ErrConsumed
	case b.rest != nil && b.leases > 0:
		return nil, ErrInUse
	}
	b.leases++
	return &Lease{body: b, usesParts: true}, nil
}

// freeUnusedLocked gives back the memory of parts if no lease uses it and none will. mu must be
// held.
func (b *Body) freeUnusedLocked() {
	isNeeded := b.leases > 0 || !b.released && !b.consumed
	if isNeeded {
		return
	}
	b.parts = nil
	if b.free != nil {
		b.free()
		b.free = nil
	}
}

// Lease is the right of one attempt to write a body to an endpoint. It belongs to the goroutine
// that acquired it.
type Lease struct {
	body      *Body
	usesParts bool // neither StartRest nor End has been called
}

// Parts returns the part of the body that is in memory. It must not be changed, and not be used
// after StartRest or End.
func (l *Lease) Parts() [][]byte {
	if !l.usesParts {
		return nil
	}
	return l.body.parts
}

// HasRest reports whether a part of the body follows that is read from the client.
func (l *Lease) HasRest() bool { return l.body.rest != nil }

// StartRest returns the rest of the body, which the lease must have, and gives up the part in
// memory. The body can't be sent again after that.
func (l *Lease) StartRest() io.Reader {
	l.body.mu.Lock()
	defer l.body.mu.Unlock()
	l.body.consumed = true
	l.giveUpPartsLocked()
	return l.body.rest
}

// Interrupt makes reads of the rest fail, see Rest. It may be called from any goroutine.
func (l *Lease) Interrupt() { l.body.rest.Interrupt() }

// End ends the lease. It may be called more than once.
func (l *Lease) End() {
	l.body.mu.Lock()
	defer l.body.mu.Unlock()
	l.giveUpPartsLocked()
}

// giveUpPartsLocked records that the lease does not use the part in memory any more. body.mu must
// be held.
func (l *Lease) giveUpPartsLocked() {
	if !l.usesParts {
		return
	}
	l.usesParts = false
	l.body.leases--
	l.body.freeUnusedLocked()
}
