// Package http1 reads heads of HTTP/1.1 messages of the plainest form, the one that nearly all have: what it takes, it
// reads as net/http would, and whatever else there may be it leaves to net/http. It exists because reading heads is a tenth
// of what a request costs.
package http1

import (
	"bytes"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

const version = "HTTP/1.1"

// ParseRequest reads a request's head, whole and with its empty line, as http.ReadRequest would; the request has no body. It
// returns nil where the head is not of the plainest form: that tells nothing against it.
func ParseRequest(text []byte) *http.Request {
	s := string(text)
	line, rest, ok := strings.Cut(s, "\r\n")
	if !ok {
		return nil
	}
	method, line, ok := strings.Cut(line, " ")
	target, proto, also := strings.Cut(line, " ")
	if !ok || !also || proto != version || !isToken(method) || !strings.HasPrefix(target, "/") {
		return nil
	}
	h, length := fields(rest)
	if h == nil || len(h["Host"]) != 1 {
		return nil
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil
	}
	r := &http.Request{Method: method, URL: u, Proto: version, ProtoMajor: 1, ProtoMinor: 1, Header: h,
		Body: http.NoBody, ContentLength: int64(max(length, 0)), Host: h["Host"][0], RequestURI: target}
	delete(h, "Host")
	return r
}

// ParseResponse reads the head of an answer at the beginning of what has come. Size is how long the head is, its empty line
// included, and length how long the body behind it will be. It is not ok where no whole head has come, where the head is
// not of the plainest form, or where the body's length does not follow from Content-Length alone (RFC 9112, 6.3).
func ParseResponse(come []byte) (status int, h http.Header, size, length int, ok bool) {
	end := bytes.Index(come, []byte("\r\n\r\n"))
	if end < 0 {
		return 0, nil, 0, 0, false
	}
	size = end + len("\r\n\r\n")
	line, rest, _ := strings.Cut(string(come[:size]), "\r\n")
	line, ok = strings.CutPrefix(line, version+" ")
	if !ok || len(line) < 4 || line[3] != ' ' || !isText(line) {
		return 0, nil, 0, 0, false
	}
	for _, c := range []byte(line[:3]) {
		if c < '0' || c > '9' {
			return 0, nil, 0, 0, false
		}
		status = status*10 + int(c-'0')
	}
	if status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified {
		return 0, nil, 0, 0, false
	}
	if h, length = fields(rest); h == nil || length < 0 {
		return 0, nil, 0, 0, false
	}
	return status, h, size, length, true
}

// others are the fields of which net/http makes more than a name and a value.
var others = map[string]bool{"Connection": true, "Transfer-Encoding": true, "Trailer": true, "Pragma": true}

const maxLengthDigits = 9 // of a Content-Length

// fields reads the lines of a head up to and with its empty line, nil where one of them is not plain. The length is what
// Content-Length says, below 0 if it says nothing.
func fields(text string) (h http.Header, length int) {
	if text != "\r\n" && !strings.HasSuffix(text, "\r\n\r\n") {
		return nil, 0
	}
	n := strings.Count(text, "\r\n") - 1
	h, length = make(http.Header, n), -1
	values := make([]string, n) // one piece of memory for all values
	for {
		line, rest, ok := strings.Cut(text, "\r\n")
		if !ok {
			return nil, 0
		}
		if text = rest; line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) || !isText(value) {
			return nil, 0
		}
		name, value = textproto.CanonicalMIMEHeaderKey(name), strings.Trim(value, " \t")
		if others[name] {
			return nil, 0
		}
		if name == "Content-Length" {
			if length >= 0 {
				return nil, 0
			}
			if length, ok = digits(value); !ok {
				return nil, 0
			}
		}
		if have := h[name]; have != nil {
			h[name] = append(have, value)
			continue
		}
		values[0] = value
		h[name], values = values[:1:1], values[1:]
	}
	if text != "" {
		return nil, 0
	}
	return h, length
}

// digits reads a number that is nothing but digits.
func digits(s string) (n int, ok bool) {
	if s == "" || len(s) > maxLengthDigits {
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

// isText tells whether there are no control characters but tabs, and nothing beyond ASCII.
func isText(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c >= 0x7f {
			return false
		}
	}
	return true
}

// token are the characters of names and methods (RFC 9110, 5.6.2).
var token = func() (t [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		t[c] = true
	}
	return t
}()

func isToken(s string) bool {
	for i := range len(s) {
		if !token[s[i]] {
			return false
		}
	}
	return s != ""
}
