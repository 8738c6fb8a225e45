package wire

import (
	"strconv"
	"strings"
	"time"

	"rowancart/balancer"
)

// A Reply collects the actions of one batch. Its Host method returns the balancer.Host of an
// instance. It is not safe for concurrent use. The zero value is an empty reply.
type Reply struct {
	buf      []byte
	instance int  // whose actions were written last
	started  bool // an action has been written
}

// Bytes ends the reply and returns it. The bytes are valid until the next action, which starts a
// new reply.
func (r *Reply) Bytes() []byte {
	out := append(r.buf, "FINISHED\n"...)
	r.buf, r.started = out[:0], false
	return out
}

// Host returns the host that writes an instance's actions into the reply.
func (r *Reply) Host(instance int) *Host { return &Host{r, instance} }

// Host writes one instance's actions into a Reply. It implements balancer.Host.
type Host struct {
	reply    *Reply
	instance int
}

var _ balancer.Host = (*Host)(nil)

// begin begins an action, and names the instance if it is not that of the action before.
func (h *Host) begin(action string) {
	r := h.reply
	if !r.started || r.instance != h.instance {
		r.buf = append(r.buf, "ON_BEHALF\tSidecar="...)
		r.buf = strconv.AppendInt(r.buf, int64(h.instance), 10)
		r.buf = append(r.buf, '\n')
		r.started, r.instance = true, h.instance
	}
	r.buf = append(r.buf, action...)
}

func (h *Host) appendKey(key string) {
	h.reply.buf = append(h.reply.buf, '\t')
	h.reply.buf = append(h.reply.buf, key...)
	h.reply.buf = append(h.reply.buf, '=')
}

func (h *Host) text(key, value string) *Host {
	h.appendKey(key)
	h.reply.buf = append(h.reply.buf, value...)
	return h
}

func (h *Host) number(key string, n int64) *Host {
	h.appendKey(key)
	h.reply.buf = strconv.AppendInt(h.reply.buf, n, 10)
	return h
}

func (h *Host) end() { h.reply.buf = append(h.reply.buf, '\n') }

// roundUpToMicros returns a time in microseconds. It rounds up, because a time-out or timer must
// not come early.
func roundUpToMicros(d time.Duration) int64 {
	return int64((d + time.Microsecond - 1) / time.Microsecond)
}

// Send writes a DISPATCH. A timeout of 0 stands for none.
func (h *Host) Send(id, endpoint string, timeout time.Duration) {
	h.begin("DISPATCH")
	h.text("Rid", id).text("Endpoint", endpoint)
	if timeout > 0 {
		h.number("PatienceUs", roundUpToMicros(timeout))
	}
	h.end()
}

// Cancel writes a STOP_ATTEMPT for attempt n of a request.
func (h *Host) Cancel(id string, n int) {
	h.begin("STOP_ATTEMPT")
	h.text("Rid", id).number("N", int64(n)).end()
}

// Reject writes a SAY_NO. The protocol has no field for the reason.
func (h *Host) Reject(id string, _ balancer.Reason, retryAfter time.Duration) {
	h.begin("SAY_NO")
	h.text("Rid", id)
	if retryAfter > 0 {
		h.number("RetryInUs", roundUpToMicros(retryAfter))
	}
	h.end()
}

// Fail writes a FINISH_ERROR. The protocol has no field for the reason.
func (h *Host) Fail(id string, _ balancer.Reason) {
	h.begin("FINISH_ERROR")
	h.text("Rid", id).end()
}

// Subscribe writes a LISTEN.
func (h *Host) Subscribe() {
	h.begin("LISTEN")
	h.number("Active", 1).end()
}

// Timer writes a SET_TIMER. A balancer has one timer, whose mark is 0.
func (h *Host) Timer(at time.Duration) {
	h.begin("SET_TIMER")
	h.number("InstantUs", roundUpToMicros(at)).number("Mark", 0).end()
}

// singleLine replaces what would end a line or a field.
var singleLine = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// Log writes a DEBUG with the text of the event.
func (h *Host) Log(e balancer.LogEvent) {
	h.begin("DEBUG")
	h.text("Words", singleLine.Replace(e.String())).end()
}
