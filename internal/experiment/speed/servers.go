package speed

import (
	"bufio"
	"io"
	"net"
	"sync"
)

const (
	responseText   = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nhello, world"
	readBufferSize = 16 << 10 // bytes; used by servers and clients
)

// serverGroup is a group of servers that respond to every request at once with a body of 12 bytes.
// They do not validate requests: only the programs are measured, so servers and clients must use as
// little CPU time as possible.
type serverGroup struct {
	addrs     []string
	listeners []net.Listener
	serving   sync.WaitGroup // waits for the goroutines of listeners and connections

	mu   sync.Mutex
	open map[net.Conn]bool // connections to close in close
}

// newServerGroup starts n servers.
func newServerGroup(n int) (*serverGroup, error) {
	g := &serverGroup{open: map[net.Conn]bool{}}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			g.close()
			return nil, err
		}
		g.addrs = append(g.addrs, l.Addr().String())
		g.listeners = append(g.listeners, l)
		g.serving.Go(func() { g.accept(l) })
	}
	return g, nil
}

// accept accepts connections until the listener is closed, and serves each in a goroutine.
func (g *serverGroup) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		g.mu.Lock()
		g.open[nc] = true
		g.mu.Unlock()
		g.serving.Go(func() { g.serve(nc) })
	}
}

// serve responds to the requests on a connection until the connection is closed.
func (g *serverGroup) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReaderSize(nc, readBufferSize)
	for {
		if _, err := skipMessage(in); err != nil {
			return
		}
		if _, err := io.WriteString(nc, responseText); err != nil {
			return
		}
	}
}

// close closes all listeners and connections, and waits until their goroutines have ended.
func (g *serverGroup) close() {
	for _, l := range g.listeners {
		l.Close()
	}
	g.mu.Lock()
	for nc := range g.open {
		nc.Close()
	}
	g.mu.Unlock()
	g.serving.Wait()
}
