package soak

import (
	"errors"
	"strings"
	"testing"
	"time"
)

var (
	look = class{"look", "GET", safe}
	pay  = class{"pay", "POST", unsafe}
	book = class{"book", "POST", keyed}
)

// Each planted breach is found and named, and nothing else; the same story without it is clean.
func TestLedgerNamesPlantedBreaches(t *testing.T) {
	const deadline = time.Second
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for name, story := range map[string]struct {
		want rule // empty: none
		play func(l *ledger)
	}{
		"answered in time": {"", func(l *ledger) { l.answered("r", 200, at(deadline+answerGrace)) }},
		"never answered":   {ruleAnswer, func(l *ledger) { l.lost("r", errors.New("closed")) }},
		"answered late":    {ruleAnswer, func(l *ledger) { l.answered("r", 200, at(deadline+answerGrace+time.Millisecond)) }},
		"answered twice": {ruleAnswer, func(l *ledger) {
			l.answered("r", 503, at(0))
			l.answered("r", 503, at(0))
		}},
		"served by nobody": {ruleAnswer, func(l *ledger) {
			l.sent("s", look, "", start, deadline)
			l.answered("s", 200, at(0))
		}},
		"unsafe, declined and repeated": {"", func(l *ledger) {
			l.declined("r")
			l.attempt("b", "r", "POST", "/pay", "x", 0, at(0))
		}},
		"unsafe, repeated": {ruleDuplicate, func(l *ledger) { l.attempt("b", "r", "POST", "/pay", "x", 0, at(0)) }},
		"keyed, repeated in its window": {"", func(l *ledger) {
			l.sent("k", book, "", start, deadline)
			l.attempt("a", "k", "POST", "/book", "", 0, at(0))
			l.attempt("b", "k", "POST", "/book", "", 0, at(300*time.Millisecond))
		}},
		"keyed, repeated after its window": {ruleDuplicate, func(l *ledger) {
			l.sent("k", book, "", start, deadline)
			l.attempt("a", "k", "POST", "/book", "", 0, at(0))
			l.attempt("b", "k", "POST", "/book", "", 0, at(301*time.Millisecond))
		}},
		"drained, within its grace": {"", func(l *ledger) {
			l.barred("b", at(-drainGrace))
			l.sent("s", look, "", start, deadline)
			l.attempt("b", "s", "GET", "/look", "", 0, at(0))
		}},
		"drained, after its grace": {ruleDrain, func(l *ledger) {
			l.barred("b", at(-drainGrace-time.Millisecond))
			l.sent("s", look, "", start, deadline)
			l.attempt("b", "s", "GET", "/look", "", 0, at(0))
		}},
		"client gone for long": {ruleLeft, func(l *ledger) {
			l.sent("s", look, "", start, deadline)
			l.left("s", at(0))
			l.attempt("b", "s", "GET", "/look", "", 0, at(leftGrace+time.Millisecond))
		}},
		"told too much": {ruleDeadline, func(l *ledger) {
			l.sent("s", look, "", start, deadline)
			l.attempt("b", "s", "GET", "/look", "", deadline, at(deadlineSlack+time.Millisecond))
		}},
		"told within the slack": {"", func(l *ledger) {
			l.sent("s", look, "", start, deadline)
			l.attempt("b", "s", "GET", "/look", "", deadline, at(deadlineSlack))
		}},
		"cold, within its budget": {"", func(l *ledger) { sendToCold(l, at(0), 11) }},
		// N = 4: 4 + 3 x 2 + 3 = 13, of which 2 are used.
		"cold, over its budget": {ruleCold, func(l *ledger) { sendToCold(l, at(0), 12) }},
		"cold, over its budget, not told yet": {"", func(l *ledger) {
			l.toldOfStart("c", at(time.Second))
			sendToCold(l, at(0), 12)
		}},
		"from no client": {ruleForeign, func(l *ledger) {
			l.attempt("b", "none", "GET", "/look", "", 0, at(0))
		}},
		"another body": {ruleForeign, func(l *ledger) {
			l.declined("r")
			l.attempt("b", "r", "POST", "/pay", "y", 0, at(0))
		}},
	} {
		l := newLedger(coldBudget{10, 0.1, time.Hour, 4, time.Second}, 300*time.Millisecond,
			func(time.Time) time.Duration { return 0 })
		l.sent("r", pay, "x", start, deadline)
		l.attempt("a", "r", "POST", "/pay", "x", deadline, at(0))
		story.play(l)
		switch {
		case story.want == "" && len(l.breaches) > 0:
			t.Errorf("%s: %q", name, l.breaches)
		case story.want != "" && (len(l.breaches) != 1 || !strings.Contains(l.breaches[0], string(story.want))):
			t.Errorf("%s: %q, want one breach of %q", name, l.breaches, story.want)
		}
	}
}

// sendToCold has an endpoint start and get two requests and then so many more.
func sendToCold(l *ledger, at time.Time, n int) {
	if e := l.endpointLocked("c"); e.toldAt.IsZero() {
		l.restarted("c", at)
		l.toldOfStart("c", at)
	} else {
		e.startedAt = at
	}
	l.sent("s", look, "", at, time.Second)
	for range n + 2 {
		l.attempt("c", "s", "GET", "/look", "", 0, at)
	}
}
