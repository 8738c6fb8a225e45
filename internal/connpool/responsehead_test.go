package connpool

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"rowancart/internal/membudget"
)

// Guards against heads of answers that take many times their length in memory.
func TestResponseHeadIsReadUpToItsEmptyLine(t *testing.T) {
	long := "X: " + strings.Repeat("x", 3*unreservedBody) + "\r\n"
	for name, c := range map[string]struct {
		text, want string
		err        error
	}{
		"head and body": {"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", nil},
		"bare LF":       {"HTTP/1.1 200 OK\nA: b\n\nbody", "HTTP/1.1 200 OK\nA: b\n\n", nil},
		"a long line":   {"HTTP/1.1 200 OK\r\n" + long + "\r\n", "HTTP/1.1 200 OK\r\n" + long + "\r\n", nil},
		"an empty line": {"\r\nHTTP/1.1 200 OK\r\n\r\n", "\r\n", nil},
		"cut off":       {"HTTP/1.1 200 OK\r\nA: b\r\n", "", io.ErrUnexpectedEOF},
		"many fields":   {"HTTP/1.1 200 OK\r\n" + strings.Repeat("A:\r\n", maxHeadLines) + "\r\n", "", errTooManyFields},
	} {
		head, err := (&conn{reader: bufio.NewReader(strings.NewReader(c.text))}).readHeadText()
		if string(head) != c.want || !errors.Is(err, c.err) {
			t.Errorf("%s: %.40q, error %v; want %.40q, error %v", name, head, err, c.want, c.err)
		}
	}
}

// The lines of a body are not fields of the head before it.
func TestLinesOfHeadAreCounted(t *testing.T) {
	for text, want := range map[string]int{
		"HTTP/1.1 200 OK\r\n\r\n": 1,
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + strings.Repeat("a\r\n", 500): 2,
		"HTTP/1.1 200 OK\r\nA: b\r\n":                                    0,
	} {
		if got := headLines([]byte(text)); got != want {
			t.Errorf("%.40q: %d lines, want %d", text, got, want)
		}
	}
}

func TestResponseHeadNeedsMemoryForItsFields(t *testing.T) {
	budget := membudget.New(10 * fieldMemory)
	r := responseReader{memory: budget.NewAccount()}
	if err := r.reserveFields(unreservedFields + 10); err != nil {
		t.Errorf("a head for whose fields there is memory is rejected: %v", err)
	}
	if err := r.reserveFields(unreservedFields + 1); !errors.Is(err, errNoHeadMemory) {
		t.Errorf("a head for whose fields there is no memory is read, error %v", err)
	}
	if err := r.reserveFields(unreservedFields); err != nil {
		t.Errorf("a head with few fields needs memory: %v", err)
	}
}
