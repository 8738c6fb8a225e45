package http1

import (
	"errors"
	"fmt"
	"strings"
)

// The errors of CheckTarget wrap these.
var (
	errTargetForm     = errors.New("request target does not begin with a slash")
	errTargetByte     = errors.New("request target has a byte that no target may have")
	errTargetEncoding = errors.New("request target has % without two hexadecimal digits")
)

// CheckTarget returns an error unless a request target is in origin form (RFC 9112, section 3.2.1)
// and every byte of it is valid (RFC 3986, sections 3.3 and 3.4). Servers decode, encode or reject
// invalid targets differently, so a target that is not valid must not be forwarded.
func CheckTarget(target string) error {
	if !strings.HasPrefix(target, "/") {
		return errTargetForm
	}
	path, query, _ := strings.Cut(target, "?")
	if err := checkTargetBytes(path, &pathBytes); err != nil {
		return err
	}
	return checkTargetBytes(query, &queryBytes)
}

// checkTargetBytes returns an error unless all bytes of a part of a target are allowed and its
// percent-encodings are complete.
func checkTargetBytes(part string, allowed *[256]bool) error {
	for i := range len(part) {
		switch c := part[i]; {
		case c == '%' && !startsWithHexDigits(part[i+1:]):
			return fmt.Errorf("%w: %.3q", errTargetEncoding, part[i:])
		case c != '%' && !allowed[c]:
			return fmt.Errorf("%w: %q", errTargetByte, c)
		}
	}
	return nil
}

// startsWithHexDigits reports whether a text starts with two hexadecimal digits.
func startsWithHexDigits(text string) bool {
	if len(text) < 2 {
		return false
	}
	_, isFirst := hexDigit(text[0])
	_, isSecond := hexDigit(text[1])
	return isFirst && isSecond
}

// unescapedBytes are the characters that may occur in a path without an encoding: unreserved,
// sub-delims, ":" and "@" of RFC 3986, and the slash.
const unescapedBytes = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~!$&'()*+,;=:@/"

// pathBytes and queryBytes are the bytes that may occur in the path and in the query of a target.
// The brackets are an exception from RFC 3986: browsers send them in queries as they are.
var (
	pathBytes  = byteSet(unescapedBytes)
	queryBytes = byteSet(unescapedBytes + "?[]")
)

// byteSet returns the set of the bytes of a text.
func byteSet(text string) (set [256]bool) {
	for i := range len(text) {
		set[text[i]] = true
	}
	return set
}
