package http1

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// heads are whole heads: those that are taken here, and those that net/http must see.
var heads = []struct {
	text string
	ours bool
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

var answers = []struct {
	text string
	ours bool
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

var unseen = cmpopts.IgnoreUnexported(http.Request{}, http.Response{})

// likeNetHTTP holds what is taken to net/http's reading of the same text.
func likeNetHTTP(t *testing.T, text string) (request, answer bool) {
	t.Helper()
	if r := ParseRequest([]byte(text)); r != nil {
		request = true
		want, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			t.Fatalf("%q is taken; net/http: %v", text, err)
		}
		want.Body, r.Body = nil, nil
		if d := cmp.Diff(want, r, unseen); d != "" {
			t.Fatalf("%q is read in another way than net/http's:\n%s", text, d)
		}
	}
	status, h, size, length, ok := ParseResponse([]byte(text))
	if ok {
		answer = true
		want, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			t.Fatalf("%q is taken; net/http: %v", text, err)
		}
		if d := cmp.Diff(want.Header, h); d != "" || want.StatusCode != status || want.ContentLength != int64(length) || want.Close {
			t.Fatalf("%q: %d with %d bytes, net/http: %d with %d, close %v; %s", text, status, length, want.StatusCode,
				want.ContentLength, want.Close, d)
		}
		if !strings.HasSuffix(text[:size], "\r\n\r\n") {
			t.Fatalf("%q: a head of %d bytes", text, size)
		}
	}
	return request, answer
}

func TestPlainHeadsAreReadAsNetHTTPReadsThem(t *testing.T) {
	for _, h := range heads {
		if got, _ := likeNetHTTP(t, h.text); got != h.ours {
			t.Errorf("%q: taken %v", h.text, got)
		}
	}
	for _, a := range answers {
		if _, got := likeNetHTTP(t, a.text); got != a.ours {
			t.Errorf("%q: taken %v", a.text, got)
		}
	}
}

func FuzzHead(f *testing.F) {
	for _, h := range heads {
		f.Add(h.text)
	}
	for _, a := range answers {
		f.Add(a.text)
	}
	f.Fuzz(func(t *testing.T, text string) { likeNetHTTP(t, text) })
}

func BenchmarkParse(b *testing.B) {
	request, response := []byte(heads[0].text), []byte(answers[0].text)
	b.Run("request", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			ParseRequest(request)
		}
	})
	b.Run("response", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			ParseResponse(response)
		}
	})
}

func BenchmarkChunkedBody(b *testing.B) {
	text := []byte("400\r\n" + strings.Repeat("x", 0x400) + "\r\n400;a=b\r\n" + strings.Repeat("y", 0x400) + "\r\n0\r\nA: b\r\n\r\n")
	buf := make([]byte, 4<<10)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		body := NewBody(&pieces{buf: text}, Chunked)
		for !body.Ended() {
			if _, err := body.Read(buf); err != nil && err != io.EOF {
				b.Fatal(err)
			}
		}
	}
}
