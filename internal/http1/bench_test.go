package http1

import (
	"io"
	"strings"
	"testing"
)

func BenchmarkParse(b *testing.B) {
	request, response := []byte(requests[0].text), []byte(responses[0].text)
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
	first, second := strings.Repeat("x", 0x400), strings.Repeat("y", 0x400)
	text := []byte("400\r\n" + first + "\r\n400;a=b\r\n" + second + "\r\n0\r\nA: b\r\n\r\n")
	buf := make([]byte, 4<<10)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		body := NewBody(&pieceSource{buf: text}, Chunked)
		for !body.Ended() {
			if _, err := body.Read(buf); err != nil && err != io.EOF {
				b.Fatal(err)
			}
		}
	}
}
