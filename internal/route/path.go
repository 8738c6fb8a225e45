// Package route decides which route a request takes, and refuses paths that a server could read as another route's. It
// has no I/O, no clock and no state but its table.
package route

import (
	"errors"
	"fmt"
	"strings"
)

// Check refuses a path, as it stands in the request, that servers read in different ways: the route that we choose by it
// might not be the one that a server runs. RFC 3986 calls some of these forms equal (6.2.2), and servers disagree on all
// of them: dot segments, doubled slashes, backslashes, encoded separators and encoded letters.
func Check(escaped string) error {
	if err := readable(escaped); err != nil {
		return err
	}
	if strings.Contains(escaped, "//") {
		return errors.New("path: an empty segment")
	}
	for i := strings.IndexByte(escaped, '%'); i >= 0; {
		c := unhex(escaped[i+1])<<4 | unhex(escaped[i+2])
		if separates(c) || unreserved(c) {
			return fmt.Errorf("path: %q must not be encoded as %s", string(rune(c)), escaped[i:i+3])
		}
		next := strings.IndexByte(escaped[i+3:], '%')
		if next < 0 {
			break
		}
		i += 3 + next
	}
	if strings.ContainsRune(escaped, '\\') {
		return errors.New("path: a backslash")
	}
	return nil
}

// FirstSegment gives the first segment of a path that is chosen by it alone. What follows goes on as it came, as long as
// no server can find its way out of the first segment.
func FirstSegment(escaped string) (string, error) {
	if err := readable(escaped); err != nil {
		return "", err
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(escaped, "/"), "/")
	if strings.ContainsAny(first, `%;\`) {
		return "", fmt.Errorf("path: the first segment %.40q is not plain", first)
	}
	return first, nil
}

// readable refuses what is no path, and dot segments in whatever writing: servers take them away, some after they have
// decoded them, some twice, and some do not.
func readable(escaped string) error {
	if !strings.HasPrefix(escaped, "/") {
		return errors.New("path: it must begin with a slash")
	}
	for i := 0; i < len(escaped); i++ {
		switch c := escaped[i]; {
		case c <= ' ' || c == 0x7f:
			return errors.New("path: a control character")
		case c == '%' && (i+2 >= len(escaped) || !hex(escaped[i+1]) || !hex(escaped[i+2])):
			return errors.New("path: % without two hexadecimal digits")
		}
	}
	text := escaped
	for range 3 { // as it stands, decoded, and decoded twice
		for segment := range strings.FieldsFuncSeq(text, func(c rune) bool { return c < 0x80 && separates(byte(c)) }) {
			name, _, _ := strings.Cut(segment, ";")
			if name == "." || name == ".." {
				return errors.New("path: a dot segment")
			}
		}
		if strings.ContainsAny(text, "\x00\r\n") {
			return errors.New("path: an encoded control character")
		}
		text = decode(text)
	}
	return nil
}

// decode replaces what is percent-encoded, and leaves what is not in that form.
func decode(text string) string {
	if !strings.Contains(text, "%") {
		return text
	}
	out := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) && hex(text[i+1]) && hex(text[i+2]) {
			out = append(out, unhex(text[i+1])<<4|unhex(text[i+2]))
			i += 2
			continue
		}
		out = append(out, text[i])
	}
	return string(out)
}

func separates(c byte) bool { return c == '/' || c == '\\' }

// unreserved are the characters that need no encoding anywhere (RFC 3986, 2.3).
func unreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

func hex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

func unhex(c byte) byte {
	switch {
	case c <= '9':
		return c - '0'
	case c <= 'F':
		return c - 'A' + 10
	}
	return c - 'a' + 10
}
