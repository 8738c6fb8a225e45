package httpserver

import (
	"sync"
	"time"
)

// disconnectPollInterval is the time between two checks whether a client is still connected.
const disconnectPollInterval = 100 * time.Millisecond

// disconnectWatcher detects a client that disconnects before it has received its response. It is
// reused for all requests of a connection.
//
// It polls the state of the socket and reads nothing. A read would detect a disconnect sooner, but
// only if no unread data precedes the end of the stream. There is unread data if the client has
// pipelined a request, or while reading is paused because an endpoint is slow to accept a body.
type disconnectWatcher struct {
	socket socket

	mu           sync.Mutex // held while onDisconnect is called, so that it is never called once stop has returned
	timer        *time.Timer
	onDisconnect func() // nil: no request is in progress
	disconnected bool   // onDisconnect was called
}

// start calls onDisconnect once if the client disconnects before stop.
func (w *disconnectWatcher) start(onDisconnect func()) {
	if w.socket.rawConn == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onDisconnect = onDisconnect
	if w.timer == nil {
		w.timer = time.AfterFunc(disconnectPollInterval, w.poll)
		return
	}
	w.timer.Reset(disconnectPollInterval)
}

// poll checks the connection once, and again after disconnectPollInterval if the client is still
// connected.
func (w *disconnectWatcher) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.onDisconnect == nil:
	case w.socket.isDisconnected():
		w.disconnected = true
		w.onDisconnect()
		w.onDisconnect = nil
	default:
		w.timer.Reset(disconnectPollInterval)
	}
}

// stop ends the watch. It reports whether a disconnect was detected. After a disconnect, nothing
// more may be read from the connection.
func (w *disconnectWatcher) stop() (disconnected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onDisconnect = nil
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.disconnected
}
