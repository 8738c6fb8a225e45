// Package admin serves a line protocol for operators. It listens on a separate address, where each
// connection sends one command line and gets one response. It shares nothing with the handling of
// proxied requests, so it responds under any load.
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
	// MaxDescriptors is the maximum number of file descriptors that a Server uses: its connections,
	// its listener, and an accepted connection while the one that it replaces is being closed.
	MaxDescriptors = maxOpenConns + 2

	maxOpenConns     = 24
	acceptRetryDelay = 100 * time.Millisecond // wait after a failed accept
	commandTimeout   = 5 * time.Second        // limit for receiving the command line
	responseTimeout  = 2 * time.Second        // limit for writing the response
	// lingerTimeout bounds the wait for the client to close the connection first. If the server
	// closed it with unread input, the connection would be reset, and the client could lose the
	// response.
	lingerTimeout  = 200 * time.Millisecond
	lingerMaxBytes = 4 << 10 // maximum input that is discarded during that wait
)

// Operations implements the commands. Each method must return quickly: the client must get its
// response within a second.
type Operations interface {
	// Ready returns nil if requests can be served, and otherwise the reason why they can't.
	Ready() error
	// AppendStats appends all metrics, one per line.
	AppendStats(b []byte) []byte
	// Disable stops new requests to an endpoint until Enable is called.
	Disable(id string) error
	// Enable undoes Disable.
	Enable(id string) error
}

// Server accepts connections and executes their commands.
type Server struct {
	listener   net.Listener
	operations Operations
	log        *slog.Logger

	mu              sync.Mutex
	awaitingCommand []net.Conn // connections whose command has not been received yet, oldest first
	openConns       int
	closed          bool // no further connections are admitted
}

// New returns a server for a listener. Run serves its connections and closes it.
func New(l net.Listener, o Operations, log *slog.Logger) *Server {
	return &Server{listener: l, operations: o, log: log}
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run accepts connections until ctx ends, and serves each in its own goroutine. It returns once all
// connections have ended.
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

// admitConn admits a connection, or returns false. If maxOpenConns are open, it closes the one that
// has waited longest for its command, so that clients that send nothing don't lock out a client
// that sends a command.
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

// removeAwaiting removes a connection from awaitingCommand, so that it is not closed in favor of a
// new connection.
func (s *Server) removeAwaiting(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.awaitingCommand, conn); i >= 0 {
		s.awaitingCommand = slices.Delete(s.awaitingCommand, i, i+1)
	}
}

// closeAwaiting closes the connections whose command has not been received, and makes admitConn
// refuse all further connections.
func (s *Server) closeAwaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, conn := range s.awaitingCommand {
		conn.Close()
	}
	s.awaitingCommand = nil
}

// releaseConn closes an admitted connection and no longer counts it as open.
func (s *Server) releaseConn(conn net.Conn) {
	s.removeAwaiting(conn)
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openConns--
}

// serveConn reads one command, executes it and writes the response. An incomplete line gets no
// response.
func (s *Server) serveConn(conn net.Conn) {
	defer s.releaseConn(conn)
	_ = conn.SetDeadline(time.Now().Add(commandTimeout)) // if the connection is closed, the read fails
	line, err := readLine(conn)
	if err != nil && !errors.Is(err, ErrLineTooLong) {
		return
	}
	s.removeAwaiting(conn)
	var response []byte
	if err != nil {
		response = failureResponse(err)
	} else {
		response = s.execute(line)
	}
	_ = conn.SetDeadline(time.Now().Add(responseTimeout))
	if _, err := conn.Write(response); err != nil {
		return
	}
	lingerUntilClosed(conn)
}

// lingerUntilClosed closes the sending side of a connection, and waits until the client closes its
// side, lingerTimeout has passed or lingerMaxBytes were received.
func lingerUntilClosed(conn net.Conn) {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	_ = conn.SetDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, conn, lingerMaxBytes)
}

// readLine reads a line that ends with LF or CR LF, and returns it without its line ending. Input
// after the line is ignored.
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

// execute executes the command in a line and returns the response.
func (s *Server) execute(line string) []byte {
	c, err := ParseCommand(line)
	if err != nil {
		return failureResponse(err)
	}
	switch c.Name {
	case CommandShowStat:
		return append(s.operations.AppendStats(nil), "EOT\n"...)
	case CommandReady:
		return resultResponse(s.operations.Ready(), "ready")
	case CommandDisableServer:
		return resultResponse(s.operations.Disable(c.Endpoint), c.Endpoint+" is out")
	default: // CommandEnableServer; ParseCommand returns no other name
		return resultResponse(s.operations.Enable(c.Endpoint), c.Endpoint+" is back")
	}
}

// resultResponse returns the response to a command: a failure if err is not nil, otherwise a
// success.
func resultResponse(err error, success string) []byte {
	if err != nil {
		return failureResponse(err)
	}
	return []byte("SUCCESS " + success + "\n")
}

// failureResponse returns the response for an error. It is one line, even if the error's text has
// several.
func failureResponse(err error) []byte {
	text := bytes.ReplaceAll([]byte(err.Error()), []byte("\n"), []byte(" "))
	return append(append([]byte("FAILURE "), text...), '\n')
}
