package admin

import (
	"errors"
	"fmt"
	"strings"
)

// maxLineBytes is how many bytes a call has at most, its end not counted.
const maxLineBytes = 128

// Command is one call of an operator.
type Command struct {
	Name     string
	Endpoint string // the endpoint that it is about, for calls that take one
}

// The calls.
const (
	CommandReady         = "ready"
	CommandShowStat      = "show-stat"
	CommandDisableServer = "disable-server"
	CommandEnableServer  = "enable-server"
)

// commandTakesID tells which calls are about an endpoint.
var commandTakesID = map[string]bool{CommandReady: false, CommandShowStat: false, CommandDisableServer: true, CommandEnableServer: true}

var errLineTooLong = fmt.Errorf("the line is longer than %d bytes", maxLineBytes)

// ParseCommand reads a call from its line, without the line's end. An error says what is wrong in words that fit an answer.
func ParseCommand(line string) (Command, error) {
	if len(line) > maxLineBytes {
		return Command{}, errLineTooLong
	}
	for i := range len(line) {
		if c := line[i]; c < ' ' && c != '\t' || c >= 0x7f {
			return Command{}, fmt.Errorf("byte %d is no printable ASCII", i+1)
		}
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Command{}, errors.New("no call: ready, show-stat, disable-server ID and enable-server ID are known")
	}
	withID, known := commandTakesID[words[0]]
	switch {
	case !known:
		return Command{}, fmt.Errorf("unknown call %q", words[0])
	case withID && len(words) == 1:
		return Command{}, fmt.Errorf("%s: the endpoint's id is missing", words[0])
	case withID && len(words) > 2:
		return Command{}, fmt.Errorf("%s: %q is too much: one id is wanted", words[0], words[2])
	case !withID && len(words) > 1:
		return Command{}, fmt.Errorf("%s: %q is too much: nothing is wanted", words[0], words[1])
	}
	c := Command{Name: words[0]}
	if withID {
		c.Endpoint = words[1]
	}
	return c, nil
}
