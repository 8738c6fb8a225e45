package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// fakeOperations implements Operations for one endpoint, "a".
type fakeOperations struct{ disabled map[string]bool }

func (o *fakeOperations) Ready() error { return nil }

func (o *fakeOperations) AppendStats(text []byte) []byte {
	return append(text, "sidecar_targets 1\n"...)
}

func (o *fakeOperations) Disable(id string) error {
	if id != "a" {
		return fmt.Errorf("no endpoint %q is listed", id)
	}
	o.disabled[id] = true
	return nil
}

func (o *fakeOperations) Enable(id string) error {
	if id != "a" {
		return errors.New("not\nhere")
	}
	delete(o.disabled, id)
	return nil
}

// pipeListener is a listener whose connections are in-memory pipes, so that their deadlines use the
// time of a synctest bubble.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l pipeListener) Close() error   { close(l.done); return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// startServer runs a server until the test ends, and returns a function that connects to it.
func startServer(t *testing.T) (connect func() net.Conn) {
	l := pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	s := New(l, &fakeOperations{disabled: map[string]bool{}}, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		s.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return func() net.Conn {
		client, server := net.Pipe()
		t.Cleanup(func() { client.Close() })
		l.conns <- server
		return client
	}
}

func TestCommandResponses(t *testing.T) {
	for line, want := range map[string]string{
		"ready\n":              "SUCCESS ready\n",
		"ready\r\n":            "SUCCESS ready\n",
		"  ready \t\n":         "SUCCESS ready\n",
		"show-stat\n":          "sidecar_targets 1\nEOT\n",
		"disable-server a\n":   "SUCCESS a is out\n",
		"enable-server a\r\n":  "SUCCESS a is back\n",
		"disable-server b\n":   "FAILURE no endpoint \"b\" is listed\n",
		"enable-server b\n":    "FAILURE not here\n",
		"disable-server\n":     "FAILURE disable-server: the endpoint's id is missing\n",
		"disable-server a b\n": "FAILURE disable-server: \"b\" is too much: one id is wanted\n",
		"ready now\n":          "FAILURE ready: \"now\" is too much: nothing is wanted\n",
		"drain\n":              "FAILURE unknown call \"drain\"\n",
		"READY\n":              "FAILURE unknown call \"READY\"\n",
		"\n":                   "FAILURE no call: ready, show-stat, disable-server ID and enable-server ID are known\n",
		"ready\x00\n":          "FAILURE byte 6 is no printable ASCII\n",
		"re\xc3\xa4dy\n":       "FAILURE byte 3 is no printable ASCII\n",
		strings.Repeat("x", maxLineBytes+1) + "\n": "FAILURE the line is longer than 128 bytes\n",
		strings.Repeat("x", 9*maxLineBytes):        "FAILURE the line is longer than 128 bytes\n",
		"ready":                                    "", // an incomplete line
	} {
		conn := startServer(t)()
		go func() {
			io.WriteString(conn, line)
			if !strings.HasSuffix(line, "\n") && len(line) < maxLineBytes {
				conn.Close()
			}
		}()
		got, _ := io.ReadAll(conn) // a read fails if this side has closed the pipe
		if string(got) != want {
			t.Errorf("command %.40q: response %q, want %q", line, got, want)
		}
	}
}

// Three times as many clients as the server admits connect and send no complete command. A client
// that sends a command must still get its response within a second.
func TestSilentClientsDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connect := startServer(t)
		for i := range 3 * maxOpenConns {
			conn := connect()
			if i%2 == 0 {
				go io.WriteString(conn, "show-")
			}
		}
		began := time.Now()
		conn := connect()
		go io.WriteString(conn, "ready\n")
		got, err := io.ReadAll(conn)
		if took := time.Since(began); string(got) != "SUCCESS ready\n" || err != nil || took > time.Second {
			t.Errorf("response %q, error %v after %v", got, err, took)
		}
	})
}

// The server closes the connection of a client that sends no command, or does not read the
// response, after a timeout.
func TestStalledConnectionsTimeOut(t *testing.T) {
	for name, line := range map[string]string{
		"silent":         "",
		"half a command": "show-",
		"not reading":    "show-stat\n",
	} {
		synctest.Test(t, func(t *testing.T) {
			conn := startServer(t)()
			go io.WriteString(conn, line)
			time.Sleep(commandTimeout + responseTimeout + time.Second)
			if got, err := io.ReadAll(conn); len(got) != 0 || err != nil {
				t.Errorf("%s: response %q, error %v", name, got, err)
			}
		})
	}
}

func TestParseCommandErrorsAreTyped(t *testing.T) {
	for line, want := range map[string]error{
		strings.Repeat("x", maxLineBytes+1): ErrLineTooLong,
		" ":                                 ErrNoCommand,
		"drain a":                           ErrUnknownCommand,
	} {
		if _, err := ParseCommand(line); !errors.Is(err, want) {
			t.Errorf("command %.20q: error %v, want %v", line, err, want)
		}
	}
	for line, want := range map[string]CommandName{
		"disable-server":    CommandDisableServer,
		"enable-server a b": CommandEnableServer,
		"ready now":         CommandReady,
	} {
		_, err := ParseCommand(line)
		var argumentErr *ArgumentError
		if !errors.As(err, &argumentErr) || argumentErr.Command != want {
			t.Errorf("command %q: error %v, want an ArgumentError of %s", line, err, want)
		}
	}
}

func FuzzParseCommand(f *testing.F) {
	for _, seed := range []string{"ready", "disable-server s-1", "enable-server  x ", "show-stat y", "\x00", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, line string) {
		c, err := ParseCommand(line)
		if err != nil {
			if text := string(failureResponse(err)); strings.Count(text, "\n") != 1 || !strings.HasPrefix(text, "FAILURE ") {
				t.Errorf("response %q is not one FAILURE line", text)
			}
			return
		}
		takesID := commandArguments[c.Name] == endpointID
		if takesID != (c.Endpoint != "") || strings.ContainsAny(c.Endpoint, " \t\r\n") {
			t.Errorf("parsed an invalid command %+v", c)
		}
		reparsed, err := ParseCommand(strings.TrimSpace(string(c.Name) + " " + c.Endpoint))
		if err != nil || reparsed != c {
			t.Errorf("%+v is parsed again as %+v, %v", c, reparsed, err)
		}
	})
}
