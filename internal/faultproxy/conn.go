package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	chunkBytes  = 32 << 10    // size of the buffer through which one direction is copied
	dialTimeout = time.Second // for the connection to the target
)

// acceptConns accepts client connections until the listener is closed.
func (r *Relay) acceptConns() {
	defer r.tasks.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		if !r.admit(client) {
			resetConn(client)
			continue
		}
		r.tasks.Add(1) // safe while Close waits: this goroutine is still counted
		go r.serveClient(client)
	}
}

// admit registers a client connection. It returns false if the connection must be reset instead.
func (r *Relay) admit(client net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.currentFaultLocked()
	r.stats.Accepted++
	isFull := r.clients >= r.options.Conns
	if r.closed || f.Reset || isFull || r.isLost(f) {
		r.stats.Rejected++
		return false
	}
	r.conns[client] = struct{}{}
	r.clients++
	return true
}

// isLost reports whether a new connection is reset because of the fault's Loss, which it decides at
// random. The caller must hold mu.
func (r *Relay) isLost(f Fault) bool { return f.Loss > 0 && r.rng.Float64() < f.Loss }

// serveClient dials the target for a client connection and forwards data in both directions until
// both have ended.
func (r *Relay) serveClient(client net.Conn) {
	defer r.tasks.Done()
	defer r.releaseClient(client)
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.Dial("tcp", r.target)
	if err != nil {
		resetConn(client)
		return
	}
	if !r.addTarget(target) {
		resetConn(target)
		return
	}
	defer r.release(target)
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(client, target, ToTarget) })
	directions.Go(func() { r.forward(target, client, FromTarget) })
	directions.Wait()
}

// addTarget registers a connection to the target. It returns false if the relay is closed.
func (r *Relay) addTarget(target net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[target] = struct{}{}
	return true
}

func (r *Relay) releaseClient(client net.Conn) {
	r.release(client)
	r.mu.Lock()
	r.clients--
	r.mu.Unlock()
}

// release removes and closes a connection.
func (r *Relay) release(conn net.Conn) {
	r.mu.Lock()
	delete(r.conns, conn)
	r.mu.Unlock()
	conn.Close()
}

// forward copies data from one side to the other, as the current fault permits. An EOF half-closes
// the receiving side; any other read error closes it. If forwardChunk returns false,
// forward closes neither connection, because the fault may require a half-open connection.
func (r *Relay) forward(from, to net.Conn, d Direction) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.forwardChunk(buffer[:n], to, d) {
			return
		}
		if err == nil {
			continue
		}
		if tcp, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
			tcp.CloseWrite()
			return
		}
		to.Close()
		return
	}
}

// forwardChunk waits until the current fault permits the chunk to pass and writes it. It returns
// false if nothing more can be forwarded in this direction.
func (r *Relay) forwardChunk(chunk []byte, to net.Conn, d Direction) bool {
	f, ok := r.waitForPassage(d)
	if !ok || !r.sleep(f.Delay+r.jitter(f.Jitter)) || !r.countBytes(len(chunk)) {
		return false
	}
	_, err := to.Write(chunk)
	return err == nil
}

// waitForPassage waits until the current fault permits a chunk to pass and returns that fault. It
// returns false if the chunk can never pass. It decrements WaitingChunks before it returns, so that
// a test that has received the chunk does not find it counted as waiting.
func (r *Relay) waitForPassage(d Direction) (Fault, bool) {
	isWaiting := false
	defer func() {
		if isWaiting {
			r.addWaiting(-1)
		}
	}()
	for {
		f, changed := r.currentFault()
		if !f.appliesTo(d) {
			f = Fault{}
		}
		switch {
		case f.Reset:
			return f, false
		case f.HalfOpen:
			<-r.done // the connection stays open until the relay is closed
			return f, false
		case !f.Partition:
			return f, true
		}
		if !isWaiting {
			isWaiting = true
			r.addWaiting(1)
		}
		select {
		case <-changed:
		case <-r.done:
			return f, false
		}
	}
}

func (r *Relay) addWaiting(chunks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.WaitingChunks += chunks
}

// countBytes adds n to the forwarded bytes. It returns false, and adds nothing, if the total would
// exceed MaxBytes.
func (r *Relay) countBytes(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stats.Bytes+int64(n) > r.options.MaxBytes {
		return false
	}
	r.stats.Bytes += int64(n)
	return true
}

// sleep waits for d. It returns false if the relay is closed before d has passed.
func (r *Relay) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.done:
		return false
	}
}

// jitter returns a random duration below limit, or 0 if limit is 0.
func (r *Relay) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(limit)))
}

// resetConn closes a connection with a TCP reset instead of a FIN.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
