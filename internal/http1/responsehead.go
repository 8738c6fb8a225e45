package http1

import (
	"bytes"
	"net/http"
	"strings"
)

// ParseResponse parses the head of a response at the beginning of data. headSize is the size of the
// head in bytes, including its empty line, and bodyLength the length of the body behind it.
//
// It is not ok if the head is incomplete or does not have the simplest form, or if the body's
// length does not follow from Content-Length alone (RFC 9112, 6.3).
func ParseResponse(data []byte) (status int, h http.Header, headSize, bodyLength int, ok bool) {
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end < 0 {
		return 0, nil, 0, 0, false
	}
	headSize = end + len("\r\n\r\n")
	line, fieldLines, _ := strings.Cut(string(data[:headSize]), "\r\n")
	status, ok = parseStatusLine(line)
	if !ok || status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified {
		return 0, nil, 0, 0, false
	}
	if h, bodyLength = parseFields(fieldLines); h == nil || bodyLength < 0 {
		return 0, nil, 0, 0, false
	}
	return status, h, headSize, bodyLength, true
}

// parseStatusLine returns the status code of a status line (RFC 9112, 4).
func parseStatusLine(line string) (status int, ok bool) {
	line, ok = strings.CutPrefix(line, version+" ")
	if !ok || len(line) < 4 || line[3] != ' ' || !isText(line) {
		return 0, false
	}
	return parseDigits(line[:3])
}
