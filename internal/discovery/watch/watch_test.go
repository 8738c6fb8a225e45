package watch

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

// drainMessage is a change that has to be delivered however a watch is interrupted.
var drainMessage = changes(42, listed("a", "127.0.0.1:1", platform.StateDraining))

// A watch that stalls or breaks at any point is followed by another one, which delivers the changes
// that the first one did not.
func TestInterruptedWatchIsReopened(t *testing.T) {
	type steps = []testpeer.Step
	type calls = []string
	const unknown = -1 // no version is known at the start
	const list, after40, after41 = "", "watch=1&after=40", "watch=1&after=41"
	drained := stayOpen(drainMessage + "\n")
	partOfLine := drainMessage[:20]
	none := noResponse()
	stalled := stayOpen("")
	resets := abortAfter("")
	stalledLine := stayOpen(partOfLine)
	list41 := respond(completeList(41))
	change41 := changes(41) + "\n"
	stalledLater := stayOpen(change41 + "\n" + partOfLine)
	malformed := respond("{nonsense")
	tooLong := respond(`{"version":"` + strings.Repeat("x", maxMessageBytes))
	for name, test := range map[string]struct {
		version int64
		steps   steps
		calls   calls
	}{
		"stalled before the headers":      {41, steps{none, drained}, calls{after41, after41}},
		"stalled after the headers":       {41, steps{stalled, drained}, calls{after41, after41}},
		"stalled in the first line":       {41, steps{stalledLine, drained}, calls{after41, after41}},
		"stalled in a later line":         {40, steps{stalledLater, drained}, calls{after40, after41}},
		"stalled before a line's end":     {41, steps{stayOpen(drainMessage), drained}, calls{after41, after41}},
		"reset at once":                   {41, steps{resets, drained}, calls{after41, after41}},
		"reset within a line":             {40, steps{abortAfter(change41 + partOfLine), drained}, calls{after40, after41}},
		"a list without a response":       {unknown, steps{none, list41, drained}, calls{list, list, after41}},
		"a list that stalls":              {unknown, steps{stalledLine, list41, drained}, calls{list, list, after41}},
		"a list, then a stalled watch":    {unknown, steps{list41, none, drained}, calls{list, after41, after41}},
		"two stalls, then a reset":        {41, steps{none, stalled, resets, drained}, calls{after41, after41, after41}},
		"a list that is malformed":        {unknown, steps{malformed, list41, drained}, calls{list, list, after41}},
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
		stayOpen("\n"), stayOpen(changes(8)+"\n"))
	c.expectCalls(t, "watch=1&after=7", "watch=1&after=7")
	c.expectVersions(t, 8)
}

// A watch that ends within a message does not change the endpoint list or its version: the next
// watch delivers the whole message.
func TestIncompleteLineIsDropped(t *testing.T) {
	line := changes(42, listed("a", "127.0.0.1:1", platform.StateDraining))
	for _, cut := range []int{1, len(line) / 2, len(line) - 1, len(line)} {
		c := startClient(t, 41, nil, respond("\n"+line[:cut]), stayOpen(line+"\n"))
		c.expectVersions(t, 42)
		c.expectCalls(t, "watch=1&after=41", "watch=1&after=41")
	}
}

// After a malformed message, changes may have been missed: the complete list is fetched, and the
// old list stays in use until then.
func TestMalformedMessageRefetchesList(t *testing.T) {
	for name, line := range map[string]string{
		"no JSON":            "{nonsense",
		"no entries":         `{"version":42,"full":true}`,
		"no version":         `{"full":false,"servers":[]}`,
		"an unknown state":   changes(42, listed("a", "127.0.0.1:1", "Asleep")),
		"no address":         changes(42, listed("a", "", platform.StateReady)),
		"an invalid address": changes(42, listed("a", "127.0.0.1:http", platform.StateReady)),
		"no id":              changes(42, listed("", "127.0.0.1:1", platform.StateReady)),
		"an older version":   changes(40),
	} {
		t.Run(name, func(t *testing.T) {
			c := startClient(t, 41, nil, respond(line+"\n"), respond(completeList(60)), stayOpen(changes(61)+"\n"))
			c.expectVersions(t, 60, 61)
			c.expectCalls(t, "watch=1&after=41", "", "watch=1&after=60")
		})
	}
}

// The JSON of a complete list or of a message of a watch may be indented, and several messages may
// arrive at once.
func TestIndentedListsAreRead(t *testing.T) {
	indent := func(text string) string {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(text), "", "\t"); err != nil {
			t.Fatal(err)
		}
		return strings.ReplaceAll(b.String(), "\n", "\r\n")
	}
	list := indent(completeList(41,
		listed("{[\"\\", "127.0.0.1:1", platform.StateReady), listed("b}", "127.0.0.1:2", platform.StateReady)))
	watch := "\n" + indent(changes(42, listed("}\\\"{", "127.0.0.1:1", platform.StateReady))) + "\n\n" +
		changes(43) + "\n" + indent(changes(44)) + "\n"
	c := startClient(t, 0, func(c *Client) { c.version = nil }, respond(list), stayOpen(watch))
	c.expectVersions(t, 41, 42, 43, 44)
	c.expectCalls(t, "", "watch=1&after=41")
}

func TestStatusErrorNamesTheCall(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	c := New(Options{Addr: server.Listener.Addr().String()})
	_, err := c.get(t.Context(), c.addr, "?"+platform.WatchQuery(7))
	if status := (*StatusError)(nil); !errors.As(err, &status) {
		t.Fatalf("%v is not a StatusError", err)
	}
	if want := "/catalog/members?watch=1&after=7: 404 Not Found"; err.Error() != want {
		t.Errorf("%q, want %q", err, want)
	}
}
