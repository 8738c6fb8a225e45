package http1

import (
	"net/http"
	"net/textproto"
	"strings"
)

const version = "HTTP/1.1"

// specialFields are the fields that net/http interprets or changes, apart from Host and
// Content-Length.
var specialFields = map[string]bool{"Connection": true, "Transfer-Encoding": true, "Trailer": true, "Pragma": true}

// maxDigits bounds the numbers that parseDigits accepts, so that they fit an int: Content-Length
// may have so many digits.
const maxDigits = 9

// parseFields parses the field lines of a head (RFC 9112, 5), up to and including its empty line.
// The header is nil if one of them does not have the simplest form. contentLength is below 0 if
// there is no Content-Length.
func parseFields(lines string) (h http.Header, contentLength int) {
	if lines != "\r\n" && !strings.HasSuffix(lines, "\r\n\r\n") {
		return nil, 0
	}
	n := strings.Count(lines, "\r\n") - 1
	h, contentLength = make(http.Header, n), -1
	values := make([]string, n) // one allocation for the values of all fields
	for {
		line, rest, ok := strings.Cut(lines, "\r\n")
		if !ok {
			return nil, 0
		}
		if lines = rest; line == "" {
			break
		}
		name, value, ok := parseField(line)
		if !ok {
			return nil, 0
		}
		if name == "Content-Length" {
			if contentLength >= 0 {
				return nil, 0
			}
			if contentLength, ok = parseDigits(value); !ok {
				return nil, 0
			}
		}
		if earlier := h[name]; earlier != nil {
			h[name] = append(earlier, value)
			continue
		}
		values[0] = value
		h[name], values = values[:1:1], values[1:]
	}
	if lines != "" {
		return nil, 0
	}
	return h, contentLength
}

// parseField parses a field line that net/http would not interpret. The name is in canonical form.
func parseField(line string) (name, value string, ok bool) {
	name, value, ok = strings.Cut(line, ":")
	if !ok || !isToken(name) || !isText(value) {
		return "", "", false
	}
	name = textproto.CanonicalMIMEHeaderKey(name)
	if specialFields[name] {
		return "", "", false
	}
	return name, strings.Trim(value, " \t"), true
}

// parseDigits parses a number that consists of one to maxDigits digits.
func parseDigits(s string) (n int, ok bool) {
	if s == "" || len(s) > maxDigits {
		return 0, false
	}
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = n*10 + int(s[i]-'0')
	}
	return n, true
}

// isText reports whether a string is ASCII without control characters other than tabs.
func isText(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c >= 0x7f {
			return false
		}
	}
	return true
}

// tokenBytes are the characters of names and methods (RFC 9110, 5.6.2).
var tokenBytes = func() (table [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		table[c] = true
	}
	return table
}()

// isToken reports whether a string is a token (RFC 9110, 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return s != ""
}
