package balancer_test

import (
	"slices"
	"testing"
	"time"

	"rowancart/balancer"
)

// Guards against uploads that are given up by a deadline that has moved, or that are not given up.
func TestUploadIsGivenUpAtItsPresentDeadline(t *testing.T) {
	const unwrittenGrace = 150 * time.Millisecond
	for name, row := range map[string]struct {
		end  func(h *harness, id string) // at the deadline
		want string
	}{
		"the host ends the attempt as not run": {
			func(h *harness, id string) { h.finish(id, balancer.ConnectFailed) }, "reject ",
		},
		"the attempt stays in flight": {func(*harness, string) {}, "fail "},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSettings(), "a")
			id := h.requestStreamed("bill")
			h.b.SetDeadline(h.now, id, h.now+time.Second)
			h.advance(500 * time.Millisecond)
			h.b.SetDeadline(h.now, id, h.now+time.Second) // the client is still sending
			h.advance(time.Second)
			if got := h.finalAnswers(id); len(got) > 0 {
				t.Errorf("answers %v before the deadline, want none", got)
			}
			row.end(h, id)
			h.advance(unwrittenGrace)
			if got := h.finalAnswers(id); !slices.Equal(got, []string{row.want + id}) {
				t.Errorf("answers %v after the deadline, want %s%s", got, row.want, id)
			}
		})
	}
}
