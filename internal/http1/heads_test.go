package http1

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// requests are heads of requests. ParseRequest parses those that are marked simple.
var requests = []struct {
	text   string
	simple bool
}{
	{"GET /form-lookup/a?b=c%20d HTTP/1.1\r\nHost: forms.example\r\nReq-Id: 1\r\nreq-owner:  x \r\n\r\n", true},
	{"POST //a HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\nA: 1\r\nA: 2\r\nA: 3\r\n\r\n", true},
	{"GET / HTTP/1.1\r\nHost:\r\n\r\n", true},
	{"GET / HTTP/1.0\r\nHost: h\r\n\r\n", false},
	{"GET http://a/ HTTP/1.1\r\nHost: h\r\n\r\n", false},
	{"GET / HTTP/1.1\r\n\r\n", false},
	{"GET / HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", false},
	{"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false},
	{"GET / HTTP/1.1\r\nHost: h\r\nPragma: no-cache\r\n\r\n", false},
	{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\n", false},
	{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", false},
	{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", false},
	{"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", false},
	{"GET / HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n", false},
	{"GET / HTTP/1.1\r\nHost: h\r\nA: b\nC: d\r\n\r\n", false},
	{"GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n", false},
	{"G\u00e4T / HTTP/1.1\r\nHost: h\r\n\r\n", false},
	{"GET / HTTP/1.1\r\nHost: h\r\n", false},
	{"GET /  HTTP/1.1\r\nHost: h\r\n\r\n", false},
}

// responses are responses. ParseResponse parses the heads of those that are marked simple.
var responses = []struct {
	text   string
	simple bool
}{
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain\r\n\r\nokHTTP/1.1", true},
	{"HTTP/1.1 503 \r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", true},
	{"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", false},
	{"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", false},
	{"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n", false},
	{"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok", false},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", false},
	{"HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\nok", false},
	{"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", false},
}

var ignoreUnexported = cmpopts.IgnoreUnexported(http.Request{}, http.Response{})

// parsesRequest reports whether a text is parsed as a request, and checks that net/http parses it
// in the same way.
func parsesRequest(t *testing.T, text string) bool {
	t.Helper()
	r := ParseRequest([]byte(text))
	if r == nil {
		return false
	}
	want, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatalf("%q is parsed, but net/http returns the error %v", text, err)
	}
	want.Body = nil
	r.Body = nil
	if d := cmp.Diff(want, r, ignoreUnexported); d != "" {
		t.Fatalf("%q: net/http parses it differently:\n%s", text, d)
	}
	return true
}

// parsesResponse reports whether a text is parsed as a response, and checks that net/http parses it
// in the same way.
func parsesResponse(t *testing.T, text string) bool {
	t.Helper()
	head, ok := ParseResponse([]byte(text))
	if !ok {
		return false
	}
	want, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		t.Fatalf("%q is parsed, but net/http returns the error %v", text, err)
	}
	d := cmp.Diff(want.Header, head.Header)
	if d != "" || want.StatusCode != head.Status || want.ContentLength != int64(head.BodyLength) || want.Close {
		t.Fatalf("%q: status %d, %d bytes; net/http: status %d, %d bytes, close %v; %s", text, head.Status, head.BodyLength,
			want.StatusCode, want.ContentLength, want.Close, d)
	}
	if !strings.HasSuffix(text[:head.Size], "\r\n\r\n") {
		t.Fatalf("%q: a head of %d bytes does not end with an empty line", text, head.Size)
	}
	return true
}

func TestSimpleHeadsParseAsInNetHTTP(t *testing.T) {
	for _, row := range requests {
		if got := parsesRequest(t, row.text); got != row.simple {
			t.Errorf("%q: parsed %v, want %v", row.text, got, row.simple)
		}
		if parsesResponse(t, row.text) {
			t.Errorf("%q: parsed as a response", row.text)
		}
	}
	for _, row := range responses {
		if parsesRequest(t, row.text) {
			t.Errorf("%q: parsed as a request", row.text)
		}
		if got := parsesResponse(t, row.text); got != row.simple {
			t.Errorf("%q: parsed %v, want %v", row.text, got, row.simple)
		}
	}
}

func FuzzHead(f *testing.F) {
	for _, row := range requests {
		f.Add(row.text)
	}
	for _, row := range responses {
		f.Add(row.text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsesRequest(t, text)
		parsesResponse(t, text)
	})
}
