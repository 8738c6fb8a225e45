package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// pieceSource is a Source that returns a text in pieces, with a timeout before each.
type pieceSource struct {
	text     string // the part that has not arrived
	nextSize func() int
	buf      []byte
	timedOut bool
}

func (s *pieceSource) Buffered() []byte { return s.buf }
func (s *pieceSource) Discard(n int)    { s.buf = s.buf[n:] }

func (s *pieceSource) Fill() error {
	if s.timedOut = !s.timedOut; s.timedOut {
		return os.ErrDeadlineExceeded
	}
	if s.text == "" {
		return io.EOF
	}
	n := min(max(s.nextSize(), 1), len(s.text))
	s.buf, s.text = append(s.buf, s.text[:n]...), s.text[n:]
	return nil
}

func (s *pieceSource) Read(p []byte) (int, error) {
	if len(s.buf) == 0 {
		if err := s.Fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.buf)
	s.Discard(n)
	return n, nil
}

// readBody reads a body that arrives in pieces, and returns it and the text after it. That text is
// empty if the body could not be read.
func readBody(text string, length int64, nextSize func() int) (body, rest string, err error) {
	s := &pieceSource{text: text, nextSize: nextSize}
	b := NewBody(s, length)
	var out bytes.Buffer
	p := make([]byte, 7)
	for {
		n, err := b.Read(p)
		out.Write(p[:n])
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
		case err == io.EOF:
			return out.String(), string(s.buf) + s.text, nil
		case err != nil:
			return out.String(), "", err
		}
	}
}

func TestBody(t *testing.T) {
	endlessExtensions := "1;" + strings.Repeat("x", maxChunkLine) + "\r\nx\r\n0\r\n\r\n"
	endlessTrailers := "0\r\n" + strings.Repeat("a: b\r\n", maxTrailers) + "\r\n"
	for name, row := range map[string]struct {
		text    string
		length  int64
		body    string
		rest    string // the text after the body; empty for an error
		wantErr error
	}{
		"length":                          {"hello, next", 5, "hello", ", next", nil},
		"length 0":                        {"next", 0, "", "next", nil},
		"length, incomplete":              {"hell", 5, "hell", "", io.ErrUnexpectedEOF},
		"until close":                     {"hello", UntilClose, "hello", "", nil},
		"until close, empty":              {"", UntilClose, "", "", nil},
		"chunks":                          {"5\r\nhello\r\n2\r\n!!\r\n0\r\n\r\nnext", Chunked, "hello!!", "next", nil},
		"hexadecimal size":                {"00000A\r\n0123456789\r\n0\r\n\r\n", Chunked, "0123456789", "", nil},
		"last chunk only":                 {"0\r\n\r\nnext", Chunked, "", "next", nil},
		"chunk extensions":                {"5;a=b;c=\"d e\"\r\nhello\r\n0 ;x\r\n\r\n", Chunked, "hello", "", nil},
		"trailer fields":                  {"1\r\nx\r\n0\r\nA: b\r\nC:\r\n\r\nnext", Chunked, "x", "next", nil},
		"incomplete chunk":                {"5\r\nhel", Chunked, "hel", "", io.ErrUnexpectedEOF},
		"no last chunk":                   {"5\r\nhello\r\n", Chunked, "hello", "", io.ErrUnexpectedEOF},
		"incomplete trailer section":      {"5\r\nhello\r\n0\r\n", Chunked, "hello", "", io.ErrUnexpectedEOF},
		"no size":                         {"\r\nhello", Chunked, "", "", ErrFraming},
		"sign before size":                {"+5\r\nhello\r\n0\r\n\r\n", Chunked, "", "", ErrFraming},
		"prefix before size":              {"0x5\r\nhello\r\n0\r\n\r\n", Chunked, "", "", ErrFraming},
		"space before size":               {" 5\r\nhello\r\n0\r\n\r\n", Chunked, "", "", ErrFraming},
		"space after size":                {"5 \r\nhello\r\n0\r\n\r\n", Chunked, "", "", ErrFraming},
		"leading zeros":                   {"0000000000000005\r\nhello\r\n0\r\n\r\n", Chunked, "hello", "", nil},
		"too many digits":                 {"00000000000000005\r\nhello\r\n0\r\n\r\n", Chunked, "", "", ErrFraming},
		"too large a size":                {"fffffffffffffff5\r\nhello\r\n0\r\n\r\n", Chunked, "", "", ErrFraming},
		"bare LF after size":              {"5\nhello\r\n0\r\n\r\n", Chunked, "", "", ErrFraming},
		"bare CR after size":              {"5\rhello\r\n0\r\n\r\n", Chunked, "", "", ErrFraming},
		"bare LF after data":              {"5\r\nhello\n0\r\n\r\n", Chunked, "hello", "", ErrFraming},
		"data longer than size":           {"5\r\nhello!\r\n0\r\n\r\n", Chunked, "hello", "", ErrFraming},
		"no CRLF after data":              {"1\r\naX0\r\n\r\n", Chunked, "a", "", ErrFraming},
		"bare LF at the end":              {"0\r\n\n", Chunked, "", "", ErrFraming},
		"bare LF in extensions":           {"1;a\nx\r\n0\r\n\r\n", Chunked, "", "", ErrFraming},
		"control character in extensions": {"1;a\x00\r\nx\r\n0\r\n\r\n", Chunked, "", "", ErrFraming},
		"trailer field without name":      {"0\r\n: b\r\n\r\n", Chunked, "", "", ErrFraming},
		"folded trailer field":            {"0\r\nA: b\r\n c\r\n\r\n", Chunked, "", "", ErrFraming},
		"trailer line without colon":      {"0\r\nAb\r\n\r\n", Chunked, "", "", ErrFraming},
		"endless extensions":              {endlessExtensions, Chunked, "", "", ErrFraming},
		"endless trailer fields":          {endlessTrailers, Chunked, "", "", ErrFraming},
	} {
		for _, size := range []int{1, 3, 1 << 20} {
			t.Run(fmt.Sprintf("%s in pieces of %d bytes", name, size), func(t *testing.T) {
				body, rest, err := readBody(row.text, row.length, func() int { return size })
				if body != row.body || rest != row.rest || !errors.Is(err, row.wantErr) {
					t.Errorf("%q, then %q, %v; want %q, then %q, %v", body, rest, err, row.body, row.rest, row.wantErr)
				}
			})
		}
	}
}

// A chunked body must be decoded to the data that was encoded, regardless of how it is split on
// arrival, and no byte after the body may be read.
func TestChunkedRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text, want bytes.Buffer
		for _, data := range rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 300), 0, 20).Draw(t, "chunks") {
			b := make([]byte, ChunkHeadSize+len(data)+ChunkTailSize)
			copy(b[ChunkHeadSize:], data)
			text.Write(FrameChunk(b, len(data)))
			want.Write(data)
		}
		text.WriteString(LastChunk + "next")
		body, rest, err := readBody(text.String(), Chunked, func() int { return rapid.IntRange(1, 50).Draw(t, "size") })
		if err != nil || body != want.String() || rest != "next" {
			t.Fatalf("%q, then %q, %v", body, rest, err)
		}
	})
}

// The standard library must decode each body that is accepted here to the same data. Otherwise an
// endpoint could interpret the body differently.
func FuzzChunks(f *testing.F) {
	for _, seed := range []string{"5\r\nhello\r\n0\r\n\r\n", "1;a=b\r\nx\r\n0\r\nA: b\r\n\r\n", "a\r\n", "0\r\n\r\n",
		"1\r\naX0\r\n\r\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		body, _, err := readBody(text, Chunked, func() int { return 5 })
		if err != nil {
			return
		}
		want, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(text)))
		if err != nil || string(want) != body {
			t.Errorf("%q is decoded to %q, by net/http to %q, %v", text, body, want, err)
		}
	})
}

// A completely received body must report its end as soon as its data has been read.
func TestCompleteBodyEndsWithItsData(t *testing.T) {
	s := &pieceSource{buf: []byte("2\r\nhi\r\n0\r\n\r\n")}
	b := NewBody(s, Chunked)
	p := make([]byte, 100)
	if n, err := b.Read(p); n != 2 || err != nil || !b.Ended() {
		t.Errorf("%d bytes, %v, ended %v", n, err, b.Ended())
	}
}
