package httpserver

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"rowancart/internal/platform"
)

// listenBenchmark starts an endpoint that responds at once to each request of one connection, and
// returns its address.
func listenBenchmark(b *testing.B) string {
	b.Helper()
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { endpoint.Close() })
	go func() {
		nc, err := endpoint.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		respondToEach(nc, []byte(okResponse))
	}()
	return endpoint.Addr().String()
}

// respondToEach writes response after each request head that it has read, until the connection
// ends.
func respondToEach(nc net.Conn, response []byte) {
	buf, n := make([]byte, 4<<10), 0
	for {
		got, err := nc.Read(buf[n:])
		if err != nil {
			return
		}
		if n += got; !bytes.HasSuffix(buf[:n], []byte("\r\n\r\n")) {
			continue
		}
		n = 0
		if _, err := nc.Write(response); err != nil {
			return
		}
	}
}

func BenchmarkServe(b *testing.B) {
	for _, row := range []struct{ name, head, last string }{
		{"health", "GET " + platform.HealthPath + " HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\nok\n"},
		{"forwarded", "GET /form-lookup/a?b=c HTTP/1.1\r\nHost: h\r\n" + platform.RequestIDHeader + ": r00000000\r\n" +
			platform.DeadlineHeader + ": 5000\r\n" + platform.TenantHeader + ": x\r\n\r\n", "\r\n\r\nhi"},
		{"parsed by net/http", "GET " + platform.HealthPath + " HTTP/1.1\r\nHost: h\r\nPragma: no-cache\r\n\r\n",
			"\r\n\r\nok\n"},
	} {
		b.Run(row.name, func(b *testing.B) {
			client, _ := connectToServer(b, listenBenchmark(b))
			request := []byte(row.head)
			last := []byte(row.last)
			response := make([]byte, 4<<10)
			b.ReportAllocs()
			id := bytes.Index(request, []byte("00000000"))
			for n := 0; b.Loop(); n++ {
				if id >= 0 { // a repeated id would be rejected
					strconv.AppendInt(request[id:id], int64(10_000_000+n), 10)
				}
				client.SetDeadline(time.Now().Add(waitTimeout))
				if _, err := client.Write(request); err != nil {
					b.Fatal(err)
				}
				for n := 0; !bytes.HasSuffix(response[:n], last); {
					got, err := client.Read(response[n:])
					if err != nil {
						b.Fatal(err)
					}
					n += got
				}
			}
		})
	}
}

// BenchmarkReadBody reads request bodies from an in-memory connection.
func BenchmarkReadBody(b *testing.B) {
	text := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 20000)
	in := strings.NewReader(text)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	c := &conn{server: &Server{}, reader: connReader{Conn: &piecewiseConn{text: in, size: 16 << 10}}}
	for b.Loop() {
		in.Seek(0, io.SeekStart)
		head, err := c.reader.readHead()
		if err != nil {
			b.Fatal(err)
		}
		r, rejection := parseHead(head)
		if rejection != nil {
			b.Fatal(rejection.Message)
		}
		body, _ := c.readBody(r)
		if len(body.data) != 20000 {
			b.Fatal(len(body.data))
		}
		body.release()
	}
}
