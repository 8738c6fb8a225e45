package connpool

import (
	"slices"
	"testing"
	"time"
)

// newIdleConns returns connections that have been idle for the given times, which must decrease.
func newIdleConns(now time.Time, idleFor ...time.Duration) idleConns {
	var l idleConns
	for _, d := range idleFor {
		l.add(&conn{idleSince: now.Add(-d)})
	}
	return l
}

func TestIdleConnsTakeBest(t *testing.T) {
	const quarantine = 20 * time.Millisecond
	now := time.Now()
	for name, row := range map[string]struct {
		idleFor []time.Duration
		want    int // index of the connection that is taken
	}{
		"the most recent past quarantine":     {[]time.Duration{time.Second, quarantine, quarantine - 1}, 1},
		"none in quarantine":                  {[]time.Duration{3 * time.Second, 2 * time.Second}, 1},
		"all in quarantine: the first to end": {[]time.Duration{quarantine - 1, time.Millisecond}, 0},
		"only one":                            {[]time.Duration{0}, 0},
	} {
		l := newIdleConns(now, row.idleFor...)
		want := l[row.want]
		rest := slices.Concat(l[:row.want], l[row.want+1:])
		if got := l.takeBest(now, quarantine); got != want {
			t.Errorf("%s: took the connection idle for %v", name, now.Sub(got.idleSince))
		}
		if !slices.Equal(l, rest) {
			t.Errorf("%s: the %d connections that are left are not the other ones in their previous order", name, len(l))
		}
	}
}

func TestIdleConnsTakeOldest(t *testing.T) {
	now := time.Now()
	l := newIdleConns(now, 3, 2, 1)
	want := slices.Clone(l)
	for i := range want {
		if got := l.takeOldest(); got != want[i] {
			t.Errorf("call %d: took the connection idle for %v", i+1, now.Sub(got.idleSince))
		}
	}
	if len(l) != 0 {
		t.Errorf("%d connections are left, want 0", len(l))
	}
}

func TestIdleConnsRemoveIf(t *testing.T) {
	now := time.Now()
	l := newIdleConns(now, 3, 2, 1)
	want := idleConns{l[0], l[2]}
	middle := l[1]
	l.removeIf(func(c *conn) bool { return c == middle })
	if !slices.Equal(l, want) {
		t.Errorf("%d connections are left, want the first and the last", len(l))
	}
}
