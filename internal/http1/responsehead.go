package http1

import (
	"bytes"
	"net/http"
	"strings"
)

// ResponseHead is the parsed head of a response whose body is framed by Content-Length.
type ResponseHead struct {
	Status     int
	Header     http.Header
	Size       int // of the head in bytes, including its empty line
	BodyLength int // in bytes
}

// ParseResponse parses the head of a response at the beginning of data.
//
// ok is false if the head is incomplete or does not have the simplest form, or if Content-Length
// alone does not determine the length of the body (RFC 9112, section 6.3).
func ParseResponse(data []byte) (head ResponseHead, ok bool) {
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end < 0 {
		return ResponseHead{}, false
	}
	head.Size = end + len("\r\n\r\n")
	line, fieldLines, _ := strings.Cut(string(data[:head.Size]), "\r\n")
	if head.Status, ok = parseStatusLine(line); !ok || !allowsBody(head.Status) {
		return ResponseHead{}, false
	}
	f, ok := parseFields(fieldLines)
	if !ok || f.contentLength < 0 {
		return ResponseHead{}, false
	}
	head.Header = f.header
	head.BodyLength = f.contentLength
	return head, true
}

// allowsBody reports whether a final response of this status may have a body.
func allowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// parseStatusLine returns the status code of a status line (RFC 9112, section 4).
func parseStatusLine(line string) (status int, ok bool) {
	line, ok = strings.CutPrefix(line, version+" ")
	if !ok || len(line) < len("200 ") || line[3] != ' ' || !isText(line) {
		return 0, false
	}
	return parseDigits(line[:3])
}
