package admin

import (
	"errors"
	"fmt"
	"strings"
)

// maxLineBytes is the most bytes that a command's line may have, without its end.
const maxLineBytes = 128

// CommandName is the first word of a command's line.
type CommandName string

// The commands. Their names are on the wire.
const (
	CommandReady         CommandName = "ready"
	CommandShowStat      CommandName = "show-stat"
	CommandDisableServer CommandName = "disable-server"
	CommandEnableServer  CommandName = "enable-server"
)

// commandTakesID has all commands, and whether each takes the id of an endpoint.
var commandTakesID = map[CommandName]bool{
	CommandReady:         false,
	CommandShowStat:      false,
	CommandDisableServer: true,
	CommandEnableServer:  true,
}

// Command is one command of an operator.
type Command struct {
	Name     CommandName
	Endpoint string // the endpoint's id, for commands that take one
}

var (
	errLineTooLong = fmt.Errorf("the line is longer than %d bytes", maxLineBytes)
	errNoCommand   = errors.New("no call: ready, show-stat, disable-server ID and enable-server ID are known")
)

// ParseCommand parses a command's line, without the line's end. An error's text fits a response.
func ParseCommand(line string) (Command, error) {
	if len(line) > maxLineBytes {
		return Command{}, errLineTooLong
	}
	for i := range len(line) {
		if !isPrintable(line[i]) {
			return Command{}, fmt.Errorf("byte %d is no printable ASCII", i+1)
		}
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Command{}, errNoCommand
	}
	name, args := CommandName(words[0]), words[1:]
	takesID, known := commandTakesID[name]
	switch {
	case !known:
		return Command{}, fmt.Errorf("unknown call %q", name)
	case takesID && len(args) == 0:
		return Command{}, fmt.Errorf("%s: the endpoint's id is missing", name)
	case takesID && len(args) > 1:
		return Command{}, fmt.Errorf("%s: %q is too much: one id is wanted", name, args[1])
	case takesID:
		return Command{Name: name, Endpoint: args[0]}, nil
	case len(args) > 0:
		return Command{}, fmt.Errorf("%s: %q is too much: nothing is wanted", name, args[0])
	}
	return Command{Name: name}, nil
}

// isPrintable reports whether a byte is printable ASCII or a tab.
func isPrintable(b byte) bool {
	const space, del = 0x20, 0x7f
	return b == '\t' || b >= space && b < del
}
