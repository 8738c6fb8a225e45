// Package admin is the operators' door: an address of its own on which each connection brings one call, a line, and gets one
// answer. It shares nothing with the way of requests, so that it answers whatever the load.
package admin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	// MaxDescriptors is how many of them a console needs at most.
	MaxDescriptors = maxOpenConns + 2 // its listener, and one accepted for which room is being made

	maxOpenConns    = 24
	commandTimeout  = 5 * time.Second        // for a call's line to come
	responseTimeout = 2 * time.Second        // for its answer to be read
	lingerTimeout   = 200 * time.Millisecond // for the caller to close first: else what it sent too much would break its answer
	lingerMaxBytes  = 4 << 10
)

// Operations is what the console operates. All of it is quick: an answer is due within a second.
type Operations interface {
	Ready() error // nil once requests can be served
	AppendStats(b []byte) []byte
	Disable(id string) error
	Enable(id string) error
}

// Server answers calls.
type Server struct {
	listener   net.Listener
	operations Operations
	log        *slog.Logger

	mu              sync.Mutex
	awaitingCommand []net.Conn // for their call, the one that came first in front
	open            int
	closed          bool
}

// New returns a console at a listener, which is its own from now on. Run does the work.
func New(l net.Listener, o Operations, log *slog.Logger) *Server {
	return &Server{listener: l, operations: o, log: log}
}

// Addr is where calls come.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run answers calls until ctx ends.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	defer s.closeAwaiting()
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Warn("console: accept failed", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		if !s.admitConn(nc) {
			nc.Close()
			continue
		}
		calls.Go(func() { s.serveConn(nc) })
	}
}

// admitConn takes a connection in. Where there are too many, the one that has waited longest for its call gives way: callers that say
// nothing must not keep out one that does.
func (s *Server) admitConn(nc net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.open >= maxOpenConns && len(s.awaitingCommand) == 0 {
		return false
	}
	if s.open >= maxOpenConns {
		s.awaitingCommand[0].Close()
		s.awaitingCommand = s.awaitingCommand[1:]
	}
	s.open++
	s.awaitingCommand = append(s.awaitingCommand, nc)
	return true
}

// stopAwaiting takes a connection off those that wait for their call.
func (s *Server) stopAwaiting(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.awaitingCommand {
		if other == nc {
			s.awaitingCommand = append(s.awaitingCommand[:i:i], s.awaitingCommand[i+1:]...)
			return
		}
	}
}

// closeAwaiting turns away what still waits.
func (s *Server) closeAwaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, nc := range s.awaitingCommand {
		nc.Close()
	}
	s.awaitingCommand = nil
}

func (s *Server) serveConn(nc net.Conn) {
	defer func() {
		s.stopAwaiting(nc)
		nc.Close()
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	_ = nc.SetDeadline(time.Now().Add(commandTimeout)) // one that is closed shows at the read
	line, err := readLine(nc)
	if err != nil && !errors.Is(err, errLineTooLong) {
		return // nothing, or half a call, which is none
	}
	s.stopAwaiting(nc)
	var out []byte
	if err != nil {
		out = failure(nil, err)
	} else {
		out = s.execute(line)
	}
	_ = nc.SetDeadline(time.Now().Add(responseTimeout))
	if _, err := nc.Write(out); err != nil {
		return
	}
	if half, ok := nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = nc.SetDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, nc, lingerMaxBytes)
	}
}

// readLine reads up to a line's end, LF or CR LF. What comes behind it is nobody's.
func readLine(r io.Reader) (string, error) {
	buf := make([]byte, 0, maxLineBytes+2)
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if i := bytes.IndexByte(buf, '\n'); i >= 0 {
			return string(bytes.TrimSuffix(buf[:i], []byte("\r"))), nil
		}
		if len(buf) == cap(buf) {
			return "", errLineTooLong
		}
		if err != nil {
			return "", err
		}
	}
}

// execute carries out a call.
func (s *Server) execute(line string) []byte {
	c, err := ParseCommand(line)
	if err != nil {
		return failure(nil, err)
	}
	done := ""
	switch c.Name {
	case CommandShowStat:
		return append(s.operations.AppendStats(nil), "EOT\n"...)
	case CommandReady:
		err, done = s.operations.Ready(), "ready"
	case CommandDisableServer:
		err, done = s.operations.Disable(c.Endpoint), c.Endpoint+" is out"
	case CommandEnableServer:
		err, done = s.operations.Enable(c.Endpoint), c.Endpoint+" is back"
	}
	if err != nil {
		return failure(nil, err)
	}
	return append(append([]byte("SUCCESS "), done...), '\n')
}

// failure words an error, on one line whatever it says.
func failure(b []byte, err error) []byte {
	b = append(b, "FAILURE "...)
	b = append(b, bytes.ReplaceAll([]byte(err.Error()), []byte("\n"), []byte(" "))...)
	return append(b, '\n')
}
