// Package admin serves the operators' line protocol. It has an address of its own, on which each
// connection carries one command, a line, and gets one response. It shares nothing with the way of
// a request, so it responds whatever the load.
package admin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"rowancart/internal/logkey"
)

const (
	// MaxDescriptors is how many descriptors a Server needs at most: its connections, its listener,
	// and a connection that was accepted while the one that it replaces is being closed.
	MaxDescriptors = maxOpenConns + 2

	maxOpenConns     = 24
	acceptRetryDelay = 100 * time.Millisecond // after a failed accept
	commandTimeout   = 5 * time.Second        // for the command's line to be received
	responseTimeout  = 2 * time.Second        // for the response to be written
	// lingerTimeout is how long the client may take to close the connection first. A close with
	// unread input resets the connection, and the client could lose the response.
	lingerTimeout  = 200 * time.Millisecond
	lingerMaxBytes = 4 << 10 // of input that is discarded meanwhile
)

// Operations carries out the commands. Each method must return quickly: a response is due within a
// second.
type Operations interface {
	// Ready returns nil once requests can be served, and until then the reason why they can't.
	Ready() error
	// AppendStats appends all metrics, one a line.
	AppendStats(b []byte) []byte
	// Disable ends new requests to an endpoint until Enable.
	Disable(id string) error
	// Enable undoes Disable.
	Enable(id string) error
}

// Server executes commands.
type Server struct {
	listener   net.Listener
	operations Operations
	log        *slog.Logger

	mu              sync.Mutex
	awaitingCommand []net.Conn // connections whose command has not been received yet, the oldest first
	openConns       int
	closed          bool // no connection is admitted any more
}

// New returns a server on a listener, which Run closes. Run does the work.
func New(l net.Listener, o Operations, log *slog.Logger) *Server {
	return &Server{listener: l, operations: o, log: log}
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run accepts connections until ctx ends, and serves each in a goroutine of its own. It returns
// once all of them have ended.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	var conns sync.WaitGroup
	defer conns.Wait()
	defer s.closeAwaiting()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Warn("admin: accept failed", logkey.Err, err)
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		if !s.admitConn(conn) {
			conn.Close()
			continue
		}
		conns.Go(func() { s.serveConn(conn) })
	}
}

// admitConn admits a connection, or reports false. Where too many are open, it closes the one that
// has waited longest for its command: silent clients must not keep out one that has a command.
func (s *Server) admitConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := s.openConns >= maxOpenConns
	if s.closed || full && len(s.awaitingCommand) == 0 {
		return false
	}
	if full {
		s.awaitingCommand[0].Close()
		s.awaitingCommand = s.awaitingCommand[1:]
	}
	s.openConns++
	s.awaitingCommand = append(s.awaitingCommand, conn)
	return true
}

// stopAwaiting removes a connection from those that may be closed for a new one.
func (s *Server) stopAwaiting(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.awaitingCommand, conn); i >= 0 {
		s.awaitingCommand = slices.Delete(s.awaitingCommand, i, i+1)
	}
}

// closeAwaiting closes the connections whose command has not been received. No connection is
// admitted from then on.
func (s *Server) closeAwaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, conn := range s.awaitingCommand {
		conn.Close()
	}
	s.awaitingCommand = nil
}

// releaseConn closes an admitted connection.
func (s *Server) releaseConn(conn net.Conn) {
	s.stopAwaiting(conn)
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openConns--
}

// serveConn reads one command, executes it and writes the response. An incomplete line gets no
// response.
func (s *Server) serveConn(conn net.Conn) {
	defer s.releaseConn(conn)
	_ = conn.SetDeadline(time.Now().Add(commandTimeout)) // on a closed connection the read fails
	line, err := readLine(conn)
	if err != nil && !errors.Is(err, ErrLineTooLong) {
		return
	}
	s.stopAwaiting(conn)
	var response []byte
	if err != nil {
		response = failure(err)
	} else {
		response = s.execute(line)
	}
	_ = conn.SetDeadline(time.Now().Add(responseTimeout))
	if _, err := conn.Write(response); err != nil {
		return
	}
	lingerUntilClosed(conn)
}

// lingerUntilClosed closes the sending side of a connection and waits for the client to close the
// other.
func lingerUntilClosed(conn net.Conn) {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, conn, lingerMaxBytes)
}

// readLine reads a line that ends with LF or CR LF, and returns it without its end. Any input after
// it is ignored.
func readLine(r io.Reader) (string, error) {
	buf := make([]byte, 0, maxLineBytes+len("\r\n"))
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if i := bytes.IndexByte(buf, '\n'); i >= 0 {
			return string(bytes.TrimSuffix(buf[:i], []byte("\r"))), nil
		}
		if len(buf) == cap(buf) {
			return "", ErrLineTooLong
		}
		if err != nil {
			return "", err
		}
	}
}

// execute executes the command of a line and returns the response.
func (s *Server) execute(line string) []byte {
	c, err := ParseCommand(line)
	if err != nil {
		return failure(err)
	}
	switch c.Name {
	case CommandShowStat:
		return append(s.operations.AppendStats(nil), "EOT\n"...)
	case CommandReady:
		return outcome(s.operations.Ready(), "ready")
	case CommandDisableServer:
		return outcome(s.operations.Disable(c.Endpoint), c.Endpoint+" is out")
	default: // CommandEnableServer: ParseCommand returns no other name
		return outcome(s.operations.Enable(c.Endpoint), c.Endpoint+" is back")
	}
}

// outcome returns the response to a command that has failed with err, or succeeded if err is nil.
func outcome(err error, success string) []byte {
	if err != nil {
		return failure(err)
	}
	return []byte("SUCCESS " + success + "\n")
}

// failure returns the response for an error. It is one line, whatever the error's text.
func failure(err error) []byte {
	text := bytes.ReplaceAll([]byte(err.Error()), []byte("\n"), []byte(" "))
	return append(append([]byte("FAILURE "), text...), '\n')
}
