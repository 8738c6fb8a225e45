package http1

import (
	"net/http"
	"net/textproto"
	"strings"
)

const version = "HTTP/1.1"

// specialFields are the fields that net/http interprets or changes, except Host and Content-Length.
var specialFields = map[string]bool{"Connection": true, "Transfer-Encoding": true, "Trailer": true, "Pragma": true}

// maxDigits is the maximum number of digits that parseDigits accepts, so that numbers fit an int.
const maxDigits = 9

// fields is the parsed fields of a head.
type fields struct {
	header        http.Header
	contentLength int // negative: there is no Content-Length

	values []string // preallocated space for the values of the remaining lines
}

// parseFields parses the field lines of a head (RFC 9112, section 5), up to and including its empty
// line. ok is false if one of them does not have the simplest form.
func parseFields(lines string) (f fields, ok bool) {
	if lines != "\r\n" && !strings.HasSuffix(lines, "\r\n\r\n") {
		return fields{}, false
	}
	n := strings.Count(lines, "\r\n") - 1
	f = fields{
		header:        make(http.Header, n),
		contentLength: -1,
		values:        make([]string, n), // one allocation for the values of all fields
	}
	for {
		line, rest, found := strings.Cut(lines, "\r\n")
		if !found {
			return fields{}, false
		}
		if line == "" {
			return f, rest == "" // nothing may follow the empty line
		}
		if !f.addLine(line) {
			return fields{}, false
		}
		lines = rest
	}
}

// addLine adds a field line. It reports false if the line does not have the simplest form.
func (f *fields) addLine(line string) bool {
	name, value, ok := parseField(line)
	if !ok {
		return false
	}
	if name == "Content-Length" && !f.setContentLength(value) {
		return false
	}
	if earlier := f.header[name]; earlier != nil {
		f.header[name] = append(earlier, value)
		return true
	}
	f.values[0] = value
	f.header[name] = f.values[:1:1]
	f.values = f.values[1:]
	return true
}

// setContentLength sets the value of Content-Length. It reports false if the value is not a
// number, or if Content-Length is repeated.
func (f *fields) setContentLength(value string) bool {
	if f.contentLength >= 0 {
		return false
	}
	length, ok := parseDigits(value)
	f.contentLength = length
	return ok
}

// parseField parses a field line and returns the name in canonical form. ok is false for one of
// specialFields, and for a line that does not have the simplest form.
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

// parseDigits parses a number of one to maxDigits decimal digits.
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

// tokenBytes are the characters of names and methods (RFC 9110, section 5.6.2).
var tokenBytes = func() (table [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		table[c] = true
	}
	return table
}()

// isToken reports whether a string is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return s != ""
}
