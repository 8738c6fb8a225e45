package wire

import (
	"strconv"
	"strings"
	"time"

	"rowancart/balancer"
)

// Reply collects the actions that answer one batch. Its Host method returns the balancer.Host of an
// instance. A Reply is not safe for concurrent use. The zero value is an empty reply.
type Reply struct {
	buf        []byte
	instance   int  // instance of the latest action
	hasActions bool // whether an action has been written
}

// Bytes completes the reply and returns it. The bytes are valid until the next action, which begins
// a new reply.
func (r *Reply) Bytes() []byte {
	out := append(r.buf, msgEndReply+"\n"...)
	r.buf = out[:0]
	r.hasActions = false
	return out
}

// Host returns a host that writes the actions of an instance into the reply.
func (r *Reply) Host(instance int) *Host { return &Host{r, instance} }

// Host writes the actions of one instance into a Reply. It implements balancer.Host.
type Host struct {
	reply    *Reply
	instance int
}

var _ balancer.Host = (*Host)(nil)

// begin begins an action. It selects the instance first unless the previous action selected it.
func (h *Host) begin(action string) {
	r := h.reply
	if !r.hasActions || r.instance != h.instance {
		r.buf = append(r.buf, msgActionsOf+"\t"+fieldInstance+"="...)
		r.buf = strconv.AppendInt(r.buf, int64(h.instance), 10)
		r.buf = append(r.buf, '\n')
		r.hasActions = true
		r.instance = h.instance
	}
	r.buf = append(r.buf, action...)
}

// appendKey appends the name of a field.
func (h *Host) appendKey(key string) {
	h.reply.buf = append(h.reply.buf, '\t')
	h.reply.buf = append(h.reply.buf, key...)
	h.reply.buf = append(h.reply.buf, '=')
}

// text appends a field.
func (h *Host) text(key, value string) *Host {
	h.appendKey(key)
	h.reply.buf = append(h.reply.buf, value...)
	return h
}

// number appends a field that is a number.
func (h *Host) number(key string, n int64) *Host {
	h.appendKey(key)
	h.reply.buf = strconv.AppendInt(h.reply.buf, n, 10)
	return h
}

// end ends an action.
func (h *Host) end() { h.reply.buf = append(h.reply.buf, '\n') }

// roundUpToMicros returns a time in microseconds. It rounds up, because timeouts and timers must
// not expire early.
func roundUpToMicros(d time.Duration) int64 {
	return int64((d + time.Microsecond - 1) / time.Microsecond)
}

// Send implements balancer.Host. A timeout of 0 means no timeout.
func (h *Host) Send(id, endpoint string, timeout time.Duration) {
	h.begin(msgSend)
	h.text(fieldRequestID, id).text(fieldEndpoint, endpoint)
	if timeout > 0 {
		h.number(fieldTimeout, roundUpToMicros(timeout))
	}
	h.end()
}

// Cancel implements balancer.Host.
func (h *Host) Cancel(id string, n int) {
	h.begin(msgCancel)
	h.text(fieldRequestID, id).number(fieldAttempt, int64(n)).end()
}

// Reject implements balancer.Host. The protocol has no field for the reason.
func (h *Host) Reject(id string, _ balancer.Reason, retryAfter time.Duration) {
	h.begin(msgReject)
	h.text(fieldRequestID, id)
	if retryAfter > 0 {
		h.number(fieldRetryAfter, roundUpToMicros(retryAfter))
	}
	h.end()
}

// Fail implements balancer.Host. The protocol has no field for the reason.
func (h *Host) Fail(id string, _ balancer.Reason) {
	h.begin(msgFail)
	h.text(fieldRequestID, id).end()
}

// Subscribe implements balancer.Host.
func (h *Host) Subscribe() {
	h.begin(msgSubscribe)
	h.number(fieldSubscribed, 1).end()
}

// Timer implements balancer.Host. A balancer has a single timer, which has the number 0.
func (h *Host) Timer(at time.Duration) {
	h.begin(msgSetTimer)
	h.number(fieldTimerAt, roundUpToMicros(at)).number(fieldTimer, 0).end()
}

// singleLine replaces the characters that would end a line or a field.
var singleLine = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// Log implements balancer.Host: it writes the text of the event.
func (h *Host) Log(e balancer.LogEvent) {
	h.begin(msgLog)
	h.text(fieldText, singleLine.Replace(e.String())).end()
}
