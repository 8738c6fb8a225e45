package route

import "strings"

// maxDecodings is how many times a server may decode a path before it removes the dot segments.
const maxDecodings = 2

// CheckPath returns a *SyntaxError if a path, as encoded in the request, is ambiguous: an endpoint
// might interpret it as the path of a route other than the one found for it.
//
// Ambiguous paths contain dot segments, empty segments, backslashes, encoded separators or encoded
// characters that need no encoding. RFC 3986 (6.2.2) defines some of these as equivalent to other
// forms, but servers disagree on all of them.
func CheckPath(escaped string) error {
	if err := checkSegments(escaped); err != nil {
		return err
	}
	if strings.Contains(escaped, "//") {
		return pathError("an empty segment")
	}
	if err := checkEncodedCharacters(escaped); err != nil {
		return err
	}
	if strings.ContainsRune(escaped, '\\') {
		return pathError("a backslash")
	}
	return nil
}

// checkEncodedCharacters returns an error if a separator is encoded, or a character that needs no
// encoding. The percent-encoding must be valid.
func checkEncodedCharacters(escaped string) error {
	_, encoded, found := strings.Cut(escaped, "%")
	for found {
		if c := decodeHex(encoded); isSeparator(c) || isUnreserved(c) {
			return pathError("%q must not be encoded as %%%s", string(rune(c)), encoded[:2])
		}
		_, encoded, found = strings.Cut(encoded[2:], "%")
	}
	return nil
}

// FirstSegment returns the first segment of a path, for routes that depend on that segment alone.
// It returns a *SyntaxError if the segment is ambiguous. The other segments are forwarded
// unchanged, so it also returns one if an endpoint could interpret them as a path outside of the
// first segment.
func FirstSegment(escaped string) (string, error) {
	if err := checkSegments(escaped); err != nil {
		return "", err
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(escaped, "/"), "/")
	if strings.ContainsAny(first, `%;\`) {
		return "", pathError("the first segment %.40q is not plain", first)
	}
	return first, nil
}

// checkSegments returns an error for an invalid path, and for dot segments in any encoding. Some
// servers remove dot segments, some do so after they have decoded the path once or twice, and some
// keep them.
func checkSegments(escaped string) error {
	if err := checkEncoding(escaped); err != nil {
		return err
	}
	text := escaped
	for range 1 + maxDecodings {
		if hasDotSegment(text) {
			return pathError("a dot segment")
		}
		if strings.ContainsAny(text, "\x00\r\n") {
			return pathError("an encoded control character")
		}
		text = percentDecode(text)
	}
	return nil
}

// hasDotSegment reports whether a segment is "." or "..", with or without parameters.
func hasDotSegment(path string) bool {
	for segment := range strings.FieldsFuncSeq(path, isSeparatorRune) {
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." {
			return true
		}
	}
	return false
}

// checkEncoding returns an error for a path that is not absolute, and for invalid percent-encoding.
func checkEncoding(escaped string) error {
	if !strings.HasPrefix(escaped, "/") {
		return pathError("it must begin with a slash")
	}
	for i := range len(escaped) {
		switch c := escaped[i]; {
		case c <= ' ' || c == 0x7f:
			return pathError("a control character")
		case c == '%' && !startsWithHex(escaped[i+1:]):
			return pathError("%% without two hexadecimal digits")
		}
	}
	return nil
}

// percentDecode decodes percent-encoded characters, and leaves other percent signs unchanged.
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

// isSeparator reports whether some servers take a character for a separator of segments.
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
