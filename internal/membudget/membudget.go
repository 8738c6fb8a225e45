// Package membudget divides a number of bytes among the connections of a process.
//
// Every connection may use a small amount of memory without asking. Whatever a request needs beyond
// that is reserved in the Account of the request or of its connection, and all accounts draw from
// one Budget. Most users of memory can do without it, more slowly: they try to reserve and use a
// small buffer if that fails. A user that cannot do without waits for a limited time.
package membudget

import (
	"slices"
	"sync"
	"time"
)

// Use says what memory is reserved for. The less important a use is, the smaller the part of the
// budget that may be reserved when memory for it is granted, so that the important ones find some.
type Use int

// The uses, the least important first.
const (
	// Streaming is for buffers that only make a transfer faster.
	Streaming Use = iota
	// Receiving is for data of requests that have not been received completely.
	Receiving
	// Serving is for requests that can be served once they have the memory. They must not wait for
	// more after that, so that they end and give it back.
	Serving
)

// quarters is the part of the budget that may be reserved after memory was granted for a use, in
// quarters of its limit.
var quarters = map[Use]int64{Streaming: 2, Receiving: 3, Serving: 4}

// Budget is an amount of memory that accounts share. Its methods are safe for concurrent use.
type Budget struct {
	mu      sync.Mutex // guards the fields below, and all fields of waiters and accounts
	limit   int64      // in bytes
	used    int64      // in bytes: the sum over all accounts
	waiters []*waiter  // in the order in which they began to wait
	refused int64      // number of reservations that were refused
}

// waiter is a reservation that waits for memory.
type waiter struct {
	bytes   int64
	use     Use
	account *Account
	granted chan struct{} // closed when the memory has been reserved
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// SetLimit changes the number of bytes that may be reserved. Memory that is reserved beyond a lower
// limit stays reserved until it is released.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.grantLocked()
}

// Usage is the state of a Budget at one moment.
type Usage struct {
	Limit   int64 // in bytes
	Used    int64 // in bytes
	Waiting int   // reservations that wait for memory
	Refused int64 // reservations that were refused so far
}

// Usage returns the current state.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Limit: b.limit, Used: b.used, Waiting: len(b.waiters), Refused: b.refused}
}

// NewAccount returns an account that has nothing reserved.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// fitsLocked reports whether memory for a use can be granted. mu must be held.
func (b *Budget) fitsLocked(bytes int64, use Use) bool {
	return b.used+bytes <= b.limit*quarters[use]/quarters[Serving]
}

// grantLocked reserves memory for the waiters for whom there is some. mu must be held.
func (b *Budget) grantLocked() {
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		if w.account.closed || !b.fitsLocked(w.bytes, w.use) {
			return false
		}
		w.account.addLocked(w.bytes)
		close(w.granted)
		return true
	})
}

// Account is the memory that one request or connection has reserved. Its methods are safe for
// concurrent use. A nil Account has no limit, and records nothing.
type Account struct {
	budget *Budget
	held   int64 // in bytes
	closed bool
}

// addLocked records reserved memory. budget.mu must be held.
func (a *Account) addLocked(bytes int64) {
	a.held += bytes
	a.budget.used += bytes
}

// TryReserve reserves memory, or returns false if there is not enough, or a request that can be
// served waits for some.
func (a *Account) TryReserve(bytes int, use Use) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	isServingAwaited := slices.ContainsFunc(b.waiters, func(w *waiter) bool { return w.use == Serving })
	if a.closed || isServingAwaited || !b.fitsLocked(int64(bytes), use) {
		b.refused++
		return false
	}
	a.addLocked(int64(bytes))
	return true
}

// Reserve reserves memory. If there is not enough, it waits until there is, but not for longer than
// the timeout, and returns false then.
func (a *Account) Reserve(bytes int, use Use, timeout time.Duration) bool {
	if a == nil || a.TryReserve(bytes, use) {
		return true
	}
	w := &waiter{bytes: int64(bytes), use: use, account: a, granted: make(chan struct{})}
	b := a.budget
	b.mu.Lock()
	b.waiters = append(b.waiters, w)
	b.grantLocked() // the reservation may have been refused in favor of a waiter that has gone
	b.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
		return !b.remove(w)
	}
}

// remove ends the wait of a waiter. It returns false if its memory has been reserved.
func (b *Budget) remove(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return false
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	b.grantLocked()
	return true
}

// Release gives back a part of the reserved memory. After Close it does nothing.
func (a *Account) Release(bytes int) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.closed {
		a.addLocked(-int64(bytes))
		a.budget.grantLocked()
	}
}

// Close gives back all reserved memory. Later reservations are refused.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.addLocked(-a.held)
	a.closed = true
	a.budget.grantLocked()
}
