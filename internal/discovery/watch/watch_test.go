package watch

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// drainMessage is the change that no interruption of a watch may hide.
var drainMessage = members(42, false, member("a", "127.0.0.1:1", "Terminating"))

// However a watch stalls or breaks, it is reopened, and the next one delivers what it would have
// delivered.
func TestInterruptedWatchIsReopened(t *testing.T) {
	type steps = []string
	type calls = []string
	const unknown = -1 // no version is known at the start
	const list, after40, after41 = "", "watch=1&after=40", "watch=1&after=41"
	drained := drainMessage + "\nSILENT"
	partOfLine := drainMessage[:20]
	stalledLine, resetLine := partOfLine+"SILENT", partOfLine+"RESET"
	list41, change41 := members(41, true), members(41, false)
	tooLong := `{"version":"` + strings.Repeat("x", maxMessageBytes)
	for name, test := range map[string]struct {
		version int64
		steps   steps
		calls   calls
	}{
		"stalled before the headers":      {41, steps{"MUTE", drained}, calls{after41, after41}},
		"stalled after the headers":       {41, steps{"SILENT", drained}, calls{after41, after41}},
		"stalled in the first line":       {41, steps{stalledLine, drained}, calls{after41, after41}},
		"stalled in a later line":         {40, steps{change41 + "\n\n" + stalledLine, drained}, calls{after40, after41}},
		"stalled before a line's end":     {41, steps{drainMessage + "SILENT", drained}, calls{after41, after41}},
		"reset at once":                   {41, steps{"RESET", drained}, calls{after41, after41}},
		"reset within a line":             {40, steps{change41 + "\n" + resetLine, drained}, calls{after40, after41}},
		"a list without a response":       {unknown, steps{"MUTE", list41, drained}, calls{list, list, after41}},
		"a list that stalls":              {unknown, steps{stalledLine, list41, drained}, calls{list, list, after41}},
		"a list, then a stalled watch":    {unknown, steps{list41, "MUTE", drained}, calls{list, after41, after41}},
		"two in a row, then a reset":      {41, steps{"MUTE", "SILENT", "RESET", drained}, calls{after41, after41, after41}},
		"a list that is malformed":        {unknown, steps{"{nonsense", list41, drained}, calls{list, list, after41}},
		"a line too long, never complete": {41, steps{tooLong, drained}, calls{after41, after41}},
	} {
		t.Run(name, func(t *testing.T) {
			c := startClient(t, test.version, func(c *Client) {
				c.timing.responseTimeout = 200 * time.Millisecond
				if test.version == unknown {
					c.version = nil
				}
			}, test.steps...)
			c.expectCalls(t, test.calls...)
			for list := range c.updates {
				if *list.Version == 42 {
					break
				}
			}
		})
	}
}

func TestIdleWatchIsReopened(t *testing.T) {
	c := startClient(t, 7, func(c *Client) { c.timing.idleTimeout = 200 * time.Millisecond },
		"\nSILENT", members(8, false)+"\nSILENT")
	c.expectCalls(t, "watch=1&after=7", "watch=1&after=7")
	c.expectVersions(t, 8)
}

// A watch that breaks off within an object leaves list and version as they were: only what is
// missing is delivered again.
func TestIncompleteLineIsDropped(t *testing.T) {
	line := members(42, false, member("a", "127.0.0.1:1", "Terminating"))
	for _, cut := range []int{1, len(line) / 2, len(line) - 1, len(line)} {
		c := startClient(t, 41, nil, "\n"+line[:cut], line+"\nSILENT")
		c.expectVersions(t, 42)
		c.expectCalls(t, "watch=1&after=41", "watch=1&after=41")
	}
}

// After a malformed message something may be missing: the complete list is fetched, and the old one
// stays in use until then.
func TestMalformedMessageRefetchesList(t *testing.T) {
	for name, line := range map[string]string{
		"no JSON":            "{nonsense",
		"no entries":         `{"version":42,"full":true}`,
		"no version":         `{"full":false,"servers":[]}`,
		"an unknown state":   members(42, false, member("a", "127.0.0.1:1", "Asleep")),
		"no address":         members(42, false, member("a", "", "Ready")),
		"an invalid address": members(42, false, member("a", "127.0.0.1:http", "Ready")),
		"no id":              members(42, false, member("", "127.0.0.1:1", "Ready")),
		"an older version":   members(40, false),
	} {
		t.Run(name, func(t *testing.T) {
			c := startClient(t, 41, nil, line+"\n", members(60, true), members(61, false)+"\nSILENT")
			c.expectVersions(t, 60, 61)
			c.expectCalls(t, "watch=1&after=41", "", "watch=1&after=60")
		})
	}
}

// Lists may come indented, as a response or on a watch, in whatever pieces.
func TestIndentedListsAreRead(t *testing.T) {
	indent := func(text string) string {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(text), "", "\t"); err != nil {
			t.Fatal(err)
		}
		return strings.ReplaceAll(b.String(), "\n", "\r\n")
	}
	list := indent(members(41, true, member("{[\"\\", "127.0.0.1:1", "Ready"), member("b}", "127.0.0.1:2", "Ready")))
	watch := "\n" + indent(members(42, false, member("}\\\"{", "127.0.0.1:1", "Ready"))) + "\n\n" +
		members(43, false) + "\n" + indent(members(44, false)) + "\nSILENT"
	c := startClient(t, 0, func(c *Client) { c.version = nil }, list, watch)
	c.expectVersions(t, 41, 42, 43, 44)
	c.expectCalls(t, "", "watch=1&after=41")
}
