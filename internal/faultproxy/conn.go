package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	chunkBytes  = 32 << 10 // read from one side before it is forwarded to the other
	dialTimeout = time.Second
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
		r.tasks.Add(1) // Close can't have stopped waiting: it waits for this goroutine too
		go r.carry(client)
	}
}

// admit registers a client connection. It reports false if that has to be reset instead.
func (r *Relay) admit(client net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.currentFaultLocked()
	r.stats.Accepted++
	if r.closed || f.Reset || r.clients >= r.options.Conns || f.Loss > 0 && r.rng.Float64() < f.Loss {
		r.stats.Rejected++
		return false
	}
	r.conns[client] = struct{}{}
	r.clients++
	return true
}

// carry dials the target for a client connection, and forwards in both directions until both have
// ended.
func (r *Relay) carry(client net.Conn) {
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
	directions.Go(func() { r.pump(client, target, ToTarget) })
	directions.Go(func() { r.pump(target, client, FromTarget) })
	directions.Wait()
}

// addTarget registers a connection to the target. It reports false if the relay is closed.
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

// pump forwards chunks in one direction, as the current fault lets it. An EOF is passed on as one,
// and after any other read error the receiving side is closed, as by a broken middlebox. Where
// forward ends the direction, pump leaves the connection to the fault: it may stay half-open.
func (r *Relay) pump(from, to net.Conn, d Direction) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.forward(buffer[:n], to, d) {
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

// forward writes one chunk when the current fault lets it. It reports false if the connection is
// over in this direction.
func (r *Relay) forward(chunk []byte, to net.Conn, d Direction) bool {
	f, ok := r.awaitPassage(d)
	if !ok || !r.sleep(f.Delay+r.jitter(f.Jitter)) || !r.countBytes(len(chunk)) {
		return false
	}
	_, err := to.Write(chunk)
	return err == nil
}

// awaitPassage returns the current fault once that lets a chunk pass, and false if none will. A
// chunk is no longer counted as held when it returns, so that whoever reads the chunk sees that.
func (r *Relay) awaitPassage(d Direction) (Fault, bool) {
	held := false
	defer func() {
		if held {
			r.addHeld(-1)
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
			<-r.done // the connection stays open until the relay ends
			return f, false
		case !f.Hold:
			return f, true
		}
		if !held {
			held = true
			r.addHeld(1)
		}
		select {
		case <-changed:
		case <-r.done:
			return f, false
		}
	}
}

func (r *Relay) addHeld(chunks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.HeldChunks += chunks
}

// countBytes reports false if the relay must not carry that many bytes more.
func (r *Relay) countBytes(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stats.Bytes+int64(n) > r.options.MaxBytes {
		return false
	}
	r.stats.Bytes += int64(n)
	return true
}

// sleep waits for d. It reports false if the relay ended meanwhile.
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

// jitter returns a random duration below limit, 0 for a limit of 0.
func (r *Relay) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(limit)))
}

// resetConn closes a connection such that the other end sees a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
