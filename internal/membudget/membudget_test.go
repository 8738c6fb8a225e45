package membudget

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func requireUsed(t *testing.T, b *Budget, want int64) {
	t.Helper()
	if u := b.Usage(); u.Used != want {
		t.Errorf("%d bytes are reserved, want %d", u.Used, want)
	}
}

// Guards against users of little importance that take the memory that requests need to be served.
func TestEachUseHasItsPartOfTheBudget(t *testing.T) {
	b := New(400)
	a := b.NewAccount()
	for _, c := range []struct {
		use   Use
		bytes int
		want  bool
	}{
		{Streaming, 201, false}, {Streaming, 200, true}, {Streaming, 1, false},
		{Receiving, 101, false}, {Receiving, 100, true}, {Receiving, 1, false},
		{Serving, 101, false}, {Serving, 100, true}, {Serving, 1, false},
	} {
		if got := a.TryReserve(c.bytes, c.use); got != c.want {
			t.Errorf("reserving %d bytes for use %d: %v, want %v", c.bytes, c.use, got, c.want)
		}
	}
	requireUsed(t, b, 400)
	a.Release(150)
	requireUsed(t, b, 250)
	a.Close()
	requireUsed(t, b, 0)
	a.Release(10)
	if a.TryReserve(1, Serving) {
		t.Error("a closed account has reserved memory")
	}
	requireUsed(t, b, 0)
}

func TestReserveWaitsForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(100)
		first, second := b.NewAccount(), b.NewAccount()
		first.TryReserve(100, Serving)
		start := time.Now()
		time.AfterFunc(time.Second, first.Close)
		if !second.Reserve(60, Serving, time.Minute) || time.Since(start) != time.Second {
			t.Errorf("memory that is free after 1 s was not reserved then, but after %v", time.Since(start))
		}
		requireUsed(t, b, 60)
	})
}

func TestReserveGivesUpAfterItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(100)
		first, second := b.NewAccount(), b.NewAccount()
		first.TryReserve(100, Serving)
		start := time.Now()
		if second.Reserve(60, Serving, time.Second) || time.Since(start) != time.Second {
			t.Errorf("a reservation without memory ended after %v, want 1 s", time.Since(start))
		}
		if u := b.Usage(); u.Waiting != 0 || u.Refused == 0 {
			t.Errorf("after a timeout the usage is %+v", u)
		}
		first.Close()
		requireUsed(t, b, 0)
	})
}

// A request that waits must not be overtaken for ever by those that only try.
func TestTryReserveDoesNotOvertakeAWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(100)
		first, second, third := b.NewAccount(), b.NewAccount(), b.NewAccount()
		first.TryReserve(40, Serving)
		done := make(chan bool)
		go func() { done <- second.Reserve(80, Serving, time.Minute) }()
		synctest.Wait()
		if third.TryReserve(10, Streaming) {
			t.Error("memory was reserved past a request that waits for it")
		}
		first.Close()
		if !<-done || !third.TryReserve(20, Serving) {
			t.Error("the memory was not reserved once it was free")
		}
	})
}

func TestRaisedLimitIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(10)
		a := b.NewAccount()
		time.AfterFunc(time.Second, func() { b.SetLimit(100) })
		if !a.Reserve(60, Serving, time.Minute) {
			t.Error("memory was not reserved after the limit was raised")
		}
		b.SetLimit(10)
		requireUsed(t, b, 60)
	})
}

func TestBudgetNeverExceedsItsLimit(t *testing.T) {
	const limit = 1000
	b := New(limit)
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for i := range 300 {
				a := b.NewAccount()
				a.TryReserve(i, Streaming)
				if a.Reserve(i, Serving, time.Millisecond) {
					a.Release(i / 2)
				}
				if u := b.Usage(); u.Used > limit || u.Used < 0 {
					t.Errorf("%d of %d bytes are reserved", u.Used, limit)
				}
				a.Close()
			}
		})
	}
	group.Wait()
	requireUsed(t, b, 0)
	if w := b.Usage().Waiting; w != 0 {
		t.Errorf("%d reservations still wait", w)
	}
}

func TestNilAccountHasNoLimit(t *testing.T) {
	var a *Account
	if !a.TryReserve(1<<40, Streaming) || !a.Reserve(1<<40, Serving, 0) {
		t.Error("a nil account has refused memory")
	}
	a.Release(1)
	a.Close()
}
