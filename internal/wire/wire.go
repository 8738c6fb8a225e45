// Package wire implements the simulator's line protocol: it reads batches of events and writes one
// reply for each batch. It only translates and validates; package balancer makes all decisions.
//
// Each line is one message: its name and its fields, separated by tabs. A field is name=value. The
// names are the simulator's. They are defined in names.go, next to the terms of package balancer,
// and not used outside this package.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"rowancart/balancer"
	"rowancart/internal/platform"
)

// Handler receives the events of all batches, in order. Reader.Run ends with the first error that a
// method returns.
type Handler interface {
	Start(instance int, s balancer.Settings) error
	Stop(instance int) error
	// Instance returns the receiver of an instance's events.
	Instance(instance int) (balancer.Events, error)
	// EndBatch is called after all messages of a batch, when the reply has to be sent.
	EndBatch() error
}

// readBufferSize is the size of the Reader's buffer, in bytes. Only longer lines are copied.
const readBufferSize = 1 << 16

// Reader decodes batches. It is not safe for concurrent use.
type Reader struct {
	in         *bufio.Reader
	longLine   []byte // holds a line that is longer than the buffer of in
	lineNumber int
	fields     []field           // of the current line
	interned   map[string]string // see fieldParser.intern

	inBatch          bool
	now              time.Duration // of the current batch
	instance         int           // the instance selected last
	instanceSelected bool          // whether the current batch has selected an instance
	lists            listStore
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, readBufferSize), interned: map[string]string{}}
}

// Now returns the time of the current batch.
func (r *Reader) Now() time.Duration { return r.now }

// Run handles batches until the end of input, at which it returns nil, or the first error. Errors
// include the line number.
func (r *Reader) Run(h Handler) error {
	for {
		line, err := r.readLine()
		if err == io.EOF {
			if r.inBatch {
				return fmt.Errorf("line %d: input ends within a batch", r.lineNumber)
			}
			return nil
		}
		if err == nil {
			err = r.handleLine(line, h)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", r.lineNumber, err)
		}
	}
}

// readLine returns the next line without its terminator. The bytes are valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	r.lineNumber++
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.in.ReadSlice('\n')
			r.longLine = append(r.longLine, line...)
		}
		line = r.longLine
	}
	if err == io.EOF && len(line) > 0 {
		return nil, errors.New("no newline at the end of input")
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// handleLine parses one line and handles its message. Empty lines are skipped.
func (r *Reader) handleLine(line []byte, h Handler) error {
	name, rest, _ := bytes.Cut(line, []byte("\t"))
	if len(name) == 0 {
		if len(line) > 0 {
			return errors.New("no message name")
		}
		return nil
	}
	if err := r.splitFields(rest, string(name)); err != nil {
		return err
	}
	if remaining := r.lists.remaining; remaining > 0 && string(name) != msgListEntry {
		return fmt.Errorf("%s before the endpoint list is complete: %d more %s lines expected", name, remaining,
			msgListEntry)
	}
	if string(name) == msgBeginBatch {
		return r.beginBatch()
	}
	if !r.inBatch {
		return fmt.Errorf("%s outside a batch", name)
	}
	return r.handleMessage(name, h)
}

// beginBatch begins a batch. Its time must not be earlier than that of the previous batch.
func (r *Reader) beginBatch() error {
	if r.inBatch {
		return errors.New(msgBeginBatch + " within a batch")
	}
	now, err := r.micros(fieldNow, required)
	if err != nil {
		return err
	}
	if now < r.now {
		return errors.New(msgBeginBatch + " with a time before that of the previous batch")
	}
	r.now = now
	r.inBatch = true
	r.instanceSelected = false
	return nil
}

// handleMessage handles a message within a batch.
func (r *Reader) handleMessage(name []byte, h Handler) error {
	switch string(name) {
	case msgEndBatch:
		r.inBatch = false
		return h.EndBatch()
	case msgSelectInstance:
		return r.selectInstance()
	case msgBeginList:
		return r.beginList()
	case msgListEntry:
		return r.addListEntry()
	case msgStart, msgStop, msgEndpointList, msgRequest, msgStreamStarted, msgOutcome, msgDisconnected, msgTimer,
		msgHealthCheck, msgText:
		if !r.instanceSelected {
			return fmt.Errorf("%s before any %s", name, msgSelectInstance)
		}
		return r.handleInstanceMessage(string(name), h)
	}
	return nil // a message of a later version of the protocol
}

// selectInstance selects the instance that receives the following messages of the batch.
func (r *Reader) selectInstance() error {
	instance, err := r.integer(fieldInstance, required)
	if err != nil {
		return err
	}
	r.instance = instance
	r.instanceSelected = true
	return nil
}

// handleInstanceMessage handles a message for the selected instance.
func (r *Reader) handleInstanceMessage(name string, h Handler) error {
	switch name {
	case msgStart:
		return r.startInstance(h)
	case msgStop:
		return h.Stop(r.instance)
	}
	events, err := h.Instance(r.instance)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return r.handleEvent(name, events)
}

// startInstance starts the selected instance with the settings and the seed of the message.
func (r *Reader) startInstance(h Handler) error {
	seed, err := r.unsigned(fieldSeed, required)
	if err != nil {
		return err
	}
	config, ok := r.field(platform.SettingsField)
	if !ok {
		return errors.New(msgStart + " without " + platform.SettingsField)
	}
	s, err := platform.ParseSettings(config)
	if err != nil {
		return err
	}
	s.Seed = seed
	return h.Start(r.instance, s.Settings)
}
