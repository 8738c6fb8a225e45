package http1

import (
	"net/http"
	"net/url"
	"strings"
)

// ParseRequest parses the complete head of a request, including its empty line, as http.ReadRequest
// would. The request has no body. ParseRequest returns nil if the head does not have the simplest
// form; it may be valid all the same.
func ParseRequest(head []byte) *http.Request {
	line, fieldLines, ok := strings.Cut(string(head), "\r\n")
	if !ok {
		return nil
	}
	method, target, ok := parseRequestLine(line)
	if !ok {
		return nil
	}
	h, contentLength := parseFields(fieldLines)
	if h == nil || len(h["Host"]) != 1 {
		return nil
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil
	}
	host := h["Host"][0]
	delete(h, "Host")
	return &http.Request{
		Method:        method,
		URL:           u,
		Proto:         version,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        h,
		Body:          http.NoBody,
		ContentLength: int64(max(contentLength, 0)),
		Host:          host,
		RequestURI:    target,
	}
}

// parseRequestLine parses a request line (RFC 9112, 3) whose target is in origin form.
func parseRequestLine(line string) (method, target string, ok bool) {
	method, rest, found := strings.Cut(line, " ")
	if !found {
		return "", "", false
	}
	target, proto, found := strings.Cut(rest, " ")
	if !found || proto != version || !isToken(method) || !strings.HasPrefix(target, "/") {
		return "", "", false
	}
	return method, target, true
}
