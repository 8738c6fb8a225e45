package sharedbody

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"
)

// testRest is the rest of a body.
type testRest struct{ io.Reader }

func (testRest) SentAt() time.Time { return time.Time{} }
func (testRest) Interrupt()        {}

// newCountedBody returns a body and the number of times that its memory was given back.
func newCountedBody(rest Rest) (b *Body, freed *int) {
	freed = new(int)
	b = NewLong(Long{Length: -1, Parts: [][]byte{[]byte("part")}, Rest: rest, Free: func() { *freed++ }})
	return b, freed
}

// acquire acquires a lease.
func acquire(t *testing.T, b *Body) *Lease {
	t.Helper()
	l, err := b.Acquire()
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// requireFreed checks how often a body's memory was given back.
func requireFreed(t *testing.T, freed *int, want int, when string) {
	t.Helper()
	if *freed != want {
		t.Errorf("%s: the memory was given back %d times, want %d", when, *freed, want)
	}
}

// The owner releases a body while attempts write it. Their bytes must stay valid until the last
// attempt has ended: memory that is given back holds another client's body at once.
func TestMemoryIsGivenBackAfterTheLastLease(t *testing.T) {
	b, freed := newCountedBody(nil)
	first, second := acquire(t, b), acquire(t, b)
	b.Release()
	first.End()
	first.End()
	requireFreed(t, freed, 0, "a lease has not ended")
	if got := bytes.Join(second.Parts(), nil); string(got) != "part" {
		t.Errorf("the lease reads %q, want %q", got, "part")
	}
	if _, err := b.Acquire(); !errors.Is(err, ErrReleased) {
		t.Errorf("Acquire after Release: error %v, want %v", err, ErrReleased)
	}
	second.End()
	b.Release()
	requireFreed(t, freed, 1, "the last lease has ended")
}

// A body whose rest is being read can't be sent again, so its memory is given back while the rest
// is written. After that, no lease may reach the memory.
func TestMemoryIsGivenBackOnceTheRestIsRead(t *testing.T) {
	b, freed := newCountedBody(testRest{bytes.NewReader([]byte("rest"))})
	l := acquire(t, b)
	if b.Consumed() {
		t.Error("the body is consumed before its rest is read")
	}
	rest := l.StartRest()
	requireFreed(t, freed, 1, "reading the rest has begun")
	if l.Parts() != nil {
		t.Error("the lease still has the part in memory")
	}
	if got, err := io.ReadAll(rest); string(got) != "rest" || err != nil {
		t.Errorf("the rest is %q, error %v", got, err)
	}
	if _, err := b.Acquire(); !errors.Is(err, ErrConsumed) || !b.Consumed() {
		t.Errorf("Acquire after the rest was read: error %v, want %v", err, ErrConsumed)
	}
	l.End()
	b.Release()
	requireFreed(t, freed, 1, "the lease has ended")
}

// An attempt that ends before it has read the rest leaves the body to the next one.
func TestEndedLeaseLeavesTheBodyToTheNext(t *testing.T) {
	b, freed := newCountedBody(testRest{bytes.NewReader(nil)})
	acquire(t, b).End()
	requireFreed(t, freed, 0, "another attempt may follow")
	if got := bytes.Join(acquire(t, b).Parts(), nil); string(got) != "part" {
		t.Errorf("the next lease reads %q, want %q", got, "part")
	}
}

// A request without a body has a nil Body.
func TestNilBodyIsEmpty(t *testing.T) {
	var b *Body
	b.Release()
	if b.Length() != 0 || b.IsLong() || b.HasRest() || b.Consumed() {
		t.Error("a nil body is not empty")
	}
}

// Two attempts that read the rest of a body would each get a part of it, so the second one gets no
// lease until the first has ended.
func TestBodyWithARestHasOneLeaseAtATime(t *testing.T) {
	b, _ := newCountedBody(testRest{bytes.NewReader(nil)})
	first := acquire(t, b)
	if _, err := b.Acquire(); !errors.Is(err, ErrInUse) {
		t.Errorf("Acquire while another lease is in force: error %v, want %v", err, ErrInUse)
	}
	first.End()
	acquire(t, b)
}
