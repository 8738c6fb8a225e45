package route

import (
	"errors"
	"fmt"
	"strings"
)

// maxDecodings is how often servers are known to decode a path before they remove its dot segments.
const maxDecodings = 2

// Check returns an error for a path, as encoded in the request, that servers read in different
// ways: the route chosen by it might not be the one that a server runs. RFC 3986 (6.2.2) calls some
// of these forms equivalent, and servers disagree on all of them: dot segments, empty segments,
// backslashes, encoded separators and encoded letters.
func Check(escaped string) error {
	if err := checkSegments(escaped); err != nil {
		return err
	}
	if strings.Contains(escaped, "//") {
		return errors.New("path: an empty segment")
	}
	for rest := escaped; ; {
		_, after, found := strings.Cut(rest, "%")
		if !found {
			break
		}
		if c := decodeHex(after); isSeparator(c) || isUnreserved(c) {
			return fmt.Errorf("path: %q must not be encoded as %%%s", string(rune(c)), after[:2])
		}
		rest = after[2:]
	}
	if strings.ContainsRune(escaped, '\\') {
		return errors.New("path: a backslash")
	}
	return nil
}

// FirstSegment returns the first segment of a path whose route depends on that segment alone. The
// other segments are forwarded unchanged; it returns an error if a server could read them as
// leading out of the first one.
func FirstSegment(escaped string) (string, error) {
	if err := checkSegments(escaped); err != nil {
		return "", err
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(escaped, "/"), "/")
	if strings.ContainsAny(first, `%;\`) {
		return "", fmt.Errorf("path: the first segment %.40q is not plain", first)
	}
	return first, nil
}

// checkSegments returns an error for what is no path, and for dot segments in any encoding: some
// servers remove them, some after they have decoded the path once or twice, and some do not.
func checkSegments(escaped string) error {
	if err := checkEncoding(escaped); err != nil {
		return err
	}
	text := escaped
	for range 1 + maxDecodings {
		for segment := range strings.FieldsFuncSeq(text, isSeparatorRune) {
			name, _, _ := strings.Cut(segment, ";")
			if name == "." || name == ".." {
				return errors.New("path: a dot segment")
			}
		}
		if strings.ContainsAny(text, "\x00\r\n") {
			return errors.New("path: an encoded control character")
		}
		text = percentDecode(text)
	}
	return nil
}

// checkEncoding returns an error for what is no absolute path, and for wrong percent-encoding.
func checkEncoding(escaped string) error {
	if !strings.HasPrefix(escaped, "/") {
		return errors.New("path: it must begin with a slash")
	}
	for i := range len(escaped) {
		switch c := escaped[i]; {
		case c <= ' ' || c == 0x7f:
			return errors.New("path: a control character")
		case c == '%' && !startsWithHex(escaped[i+1:]):
			return errors.New("path: % without two hexadecimal digits")
		}
	}
	return nil
}

// percentDecode decodes what is percent-encoded, and leaves other percent signs as they are.
func percentDecode(text string) string {
	if !strings.Contains(text, "%") {
		return text
	}
	out := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && startsWithHex(text[i+1:]) {
			out = append(out, decodeHex(text[i+1:]))
			i += 2
			continue
		}
		out = append(out, text[i])
	}
	return string(out)
}

// isSeparator reports whether some server separates segments at a character.
func isSeparator(c byte) bool { return c == '/' || c == '\\' }

func isSeparatorRune(c rune) bool { return c < 0x80 && isSeparator(byte(c)) }

// isUnreserved reports whether a character needs no encoding anywhere (RFC 3986, 2.3).
func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
		strings.IndexByte("-._~", c) >= 0
}

// startsWithHex reports whether a text starts with two hexadecimal digits.
func startsWithHex(text string) bool {
	return len(text) >= 2 && isHexDigit(text[0]) && isHexDigit(text[1])
}

// decodeHex returns the byte that the first two hexadecimal digits of a text encode.
func decodeHex(text string) byte { return hexValue(text[0])<<4 | hexValue(text[1]) }

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(c byte) byte {
	switch {
	case c <= '9':
		return c - '0'
	case c <= 'F':
		return c - 'A' + 10
	}
	return c - 'a' + 10
}
