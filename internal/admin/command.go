package admin

import (
	"errors"
	"fmt"
	"strings"
)

// maxLineBytes is the maximum length of a command line, without its line feed.
const maxLineBytes = 128

// CommandName is the first word of a command line.
type CommandName string

// The commands. Their names are part of the protocol.
const (
	CommandReady         CommandName = "ready"
	CommandShowStat      CommandName = "show-stat"
	CommandDisableServer CommandName = "disable-server"
	CommandEnableServer  CommandName = "enable-server"
)

// argumentKind says which argument follows the name of a command.
type argumentKind int

const (
	noArgument argumentKind = iota
	endpointID
)

// commandArguments contains all commands, with the kind of argument that each takes.
var commandArguments = map[CommandName]argumentKind{
	CommandReady:         noArgument,
	CommandShowStat:      noArgument,
	CommandDisableServer: endpointID,
	CommandEnableServer:  endpointID,
}

// Command is a parsed command of an operator.
type Command struct {
	Name     CommandName
	Endpoint string // ID of an endpoint, for commands that take one
}

// Reasons why ParseCommand rejects a line. The texts of all its errors are sent to clients, so they
// must not change.
var (
	ErrLineTooLong    = fmt.Errorf("the line is longer than %d bytes", maxLineBytes)
	ErrNoCommand      = errors.New("no call: ready, show-stat, disable-server ID and enable-server ID are known")
	ErrUnknownCommand = errors.New("unknown call")
)

// ArgumentError reports a missing or surplus argument of a command.
type ArgumentError struct {
	Command CommandName
	Problem string
}

// Error implements error.
func (e *ArgumentError) Error() string { return fmt.Sprintf("%s: %s", e.Command, e.Problem) }

// ParseCommand parses a command line without its line ending. The text of an error is a single
// short line and can be sent in a response.
func ParseCommand(line string) (Command, error) {
	if len(line) > maxLineBytes {
		return Command{}, ErrLineTooLong
	}
	if i := strings.IndexFunc(line, isNotPrintable); i >= 0 {
		return Command{}, fmt.Errorf("byte %d is no printable ASCII", i+1)
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Command{}, ErrNoCommand
	}
	name := CommandName(words[0])
	argument, known := commandArguments[name]
	if !known {
		return Command{}, fmt.Errorf("%w %q", ErrUnknownCommand, name)
	}
	if argument == endpointID {
		return parseEndpointCommand(name, words[1:])
	}
	return parsePlainCommand(name, words[1:])
}

// parseEndpointCommand parses the arguments of a command that takes the ID of an endpoint.
func parseEndpointCommand(name CommandName, args []string) (Command, error) {
	switch len(args) {
	case 0:
		return Command{}, &ArgumentError{Command: name, Problem: "the endpoint's id is missing"}
	case 1:
		return Command{Name: name, Endpoint: args[0]}, nil
	}
	return Command{}, &ArgumentError{Command: name, Problem: fmt.Sprintf("%q is too much: one id is wanted", args[1])}
}

// parsePlainCommand parses a command that takes no argument.
func parsePlainCommand(name CommandName, args []string) (Command, error) {
	if len(args) > 0 {
		return Command{}, &ArgumentError{Command: name, Problem: fmt.Sprintf("%q is too much: nothing is wanted", args[0])}
	}
	return Command{Name: name}, nil
}

// isNotPrintable reports whether a character is neither printable ASCII nor a tab.
func isNotPrintable(r rune) bool {
	const space, del = 0x20, 0x7f
	return r != '\t' && (r < space || r >= del)
}
