package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	okStatusLine  = "HTTP/1.1 200 OK\r\n"
	chunkedHeader = "Transfer-Encoding: chunked\r\n"
)

// chunked returns text as a chunked body with chunk extensions and a trailer field.
func chunked(text string) string {
	var b strings.Builder
	for chunk := range slices.Chunk([]byte(text), 7777) {
		fmt.Fprintf(&b, "%X ;x=\"y\"\r\n%s\r\n", len(chunk), chunk)
	}
	return b.String() + "0\r\nT: v\r\n\r\n"
}

// framedResponse is a response in one of the framings that an endpoint may use.
type framedResponse struct {
	text      string
	body      string
	truncated bool // the client must be able to tell that the response is incomplete
}

// framedResponses returns responses in all framings, by name.
func framedResponses() map[string]framedResponse {
	long := strings.Repeat("0123456789", 20_000)
	chunkedHead := okStatusLine + chunkedHeader + "\r\n"
	lengthHead := func(n int) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", okStatusLine, n) }
	interim := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	cutChunks := strings.TrimSuffix(chunked(long), "\r\n")
	badChunk := strings.Replace(chunked(long), "\r\n0\r\n", "\r\n-1\r\n", 1)
	return map[string]framedResponse{
		"length":          {text: lengthHead(2) + "hi", body: "hi"},
		"chunks":          {text: chunkedHead + chunked("hi"), body: "hi"},
		"no body":         {text: chunkedHead + chunked(""), body: ""},
		"close":           {text: okStatusLine + "Connection: close\r\n\r\nhi", body: "hi"},
		"HTTP/1.0":        {text: "HTTP/1.0 200 OK\r\n\r\nhi", body: "hi"},
		"interim":         {text: interim + lengthHead(2) + "hi", body: "hi"},
		"long length":     {text: lengthHead(len(long)) + long, body: long},
		"long chunks":     {text: chunkedHead + chunked(long), body: long},
		"long close":      {text: okStatusLine + "\r\n" + long, body: long},
		"long, truncated": {text: lengthHead(len(long)+1) + long, truncated: true},
		"long cut chunk":  {text: chunkedHead + cutChunks, truncated: true},
		"long bad chunk":  {text: chunkedHead + badChunk, truncated: true},
	}
}

// Clients of HTTP/1.1 and HTTP/1.0 must get the correct body for every framing that an endpoint may
// use, and must see an error if the response is truncated.
func TestAllResponseFramings(t *testing.T) {
	responses := framedResponses()
	e := newEndpoint(t, func(conn net.Conn, r *http.Request, _ int) bool {
		text := responses[strings.ReplaceAll(r.URL.Query().Get("as"), "_", " ")].text
		io.WriteString(conn, text)
		return !strings.Contains(text, "close\r\n") && strings.Contains(text, "Content-Length: 2\r\n")
	})
	s := startSidecar(t, e.Addr)
	for name, want := range responses {
		for _, version := range []string{"1.1", "1.0"} {
			conn := s.dial(t)
			conn.SetDeadline(time.Now().Add(testTimeout))
			fmt.Fprintf(conn, "GET /look?as=%s HTTP/%s\r\nHost: h\r\nReq-Id: %s%s\r\nReq-Deadline-Ms: 60000\r\n\r\n",
				strings.ReplaceAll(name, " ", "_"), version, name, version)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("%s, HTTP/%s: %v", name, version, err)
			}
			body, err := io.ReadAll(resp.Body)
			conn.Close()
			if resp.StatusCode != http.StatusOK || (err != nil) != want.truncated ||
				!want.truncated && string(body) != want.body {
				t.Errorf("%s, HTTP/%s: status %d, %d bytes, error %v", name, version, resp.StatusCode, len(body), err)
			}
		}
	}
}

// Pipelined requests are told apart correctly, with every framing of bodies, an empty line before a
// request, and a client that expects 100 Continue.
func TestPipelinedRequestsOfAllFramings(t *testing.T) {
	var bodies []string
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		bodies = append(bodies, string(b))
		fmt.Fprint(w, len(bodies))
	}))
	t.Cleanup(e.Close)
	s := startSidecar(t, e.Listener.Addr().String())
	conn := s.dial(t)
	conn.SetDeadline(time.Now().Add(testTimeout))
	head := func(id string) string {
		return "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nReq-Deadline-Ms: 60000\r\n"
	}
	long := strings.Repeat("x", 100_000)
	var text bytes.Buffer
	text.WriteString(head("a") + "Content-Length: 2\r\n\r\nhi")
	text.WriteString("\r\n" + head("b") + chunkedHeader + "\r\n2\r\nho\r\n0\r\nA: b\r\n\r\n")
	text.WriteString(head("c") + "Transfer-Encoding: Chunked\r\n\r\n186A0\r\n" + long + "\r\n0\r\n\r\n")
	text.WriteString(head("d") + "Content-Length: 100000\r\n\r\n" + long)
	text.WriteString(head("e") + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	go io.Copy(conn, &text)
	in := bufio.NewReader(conn)
	for i := range 5 {
		resp, err := http.ReadResponse(in, nil)
		if err == nil && resp.StatusCode == http.StatusContinue {
			io.WriteString(conn, "end")
			resp, err = http.ReadResponse(in, nil)
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %d: %v, error %v", i+1, resp, err)
		}
		if b, err := io.ReadAll(resp.Body); err != nil || string(b) != fmt.Sprint(i+1) {
			t.Errorf("response %d: body %q, error %v", i+1, b, err)
		}
	}
	if want := []string{"hi", "ho", long, long, "end"}; !slices.Equal(bodies, want) {
		t.Errorf("the endpoint received %d bodies, which differ from the 5 that were sent", len(bodies))
	}
}
