package http1

import (
	"net/http"
	"net/url"
	"strings"
)

// ParseRequest parses the complete head of a request, including its empty line, as http.ReadRequest
// would. The request has no body. ParseRequest returns nil if the head does not have the simplest
// form; it may still be valid.
func ParseRequest(head []byte) *http.Request {
	line, fieldLines, ok := strings.Cut(string(head), "\r\n")
	if !ok {
		return nil
	}
	method, target, ok := parseRequestLine(line)
	if !ok {
		return nil
	}
	f, ok := parseFields(fieldLines)
	if !ok || len(f.header["Host"]) != 1 {
		return nil
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil
	}
	host := f.header["Host"][0]
	delete(f.header, "Host")
	return &http.Request{
		Method:        method,
		URL:           u,
		Proto:         version,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        f.header,
		Body:          http.NoBody,
		ContentLength: int64(max(f.contentLength, 0)),
		Host:          host,
		RequestURI:    target,
	}
}

// parseRequestLine parses a request line (RFC 9112, section 3) whose target is in origin form.
func parseRequestLine(line string) (method, target string, ok bool) {
	method, targetAndProto, found := strings.Cut(line, " ")
	if !found {
		return "", "", false
	}
	target, proto, found := strings.Cut(targetAndProto, " ")
	if !found || proto != version || !isToken(method) || !strings.HasPrefix(target, "/") {
		return "", "", false
	}
	return method, target, true
}
