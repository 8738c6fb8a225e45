package speed

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	responseText = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nhello, world"
	peerBuffer   = 16 << 10
)

// serverGroup answer every request at once with 12 bytes. They take well-formed requests for granted: the programs between are
// what is measured, and servers and clients must cost as little as they can.
type serverGroup struct {
	addrs     []string
	listeners []net.Listener
	conns     sync.WaitGroup
	mu        sync.Mutex
	open      map[net.Conn]bool
}

func newServerGroup(n int) (*serverGroup, error) {
	b := &serverGroup{open: map[net.Conn]bool{}}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.close()
			return nil, err
		}
		b.addrs, b.listeners = append(b.addrs, l.Addr().String()), append(b.listeners, l)
		b.conns.Go(func() {
			for {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				b.mu.Lock()
				b.open[nc] = true
				b.mu.Unlock()
				b.conns.Go(func() { b.serve(nc) })
			}
		})
	}
	return b, nil
}

func (g *serverGroup) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReaderSize(nc, peerBuffer)
	for {
		if _, err := skipMessage(in); err != nil {
			return
		}
		if _, err := io.WriteString(nc, responseText); err != nil {
			return
		}
	}
}

func (g *serverGroup) close() {
	for _, l := range g.listeners {
		l.Close()
	}
	g.mu.Lock()
	for nc := range g.open {
		nc.Close()
	}
	g.mu.Unlock()
	g.conns.Wait()
}

// skipMessage reads one message with a Content-Length, and returns its first line.
func skipMessage(in *bufio.Reader) (first string, err error) {
	length := 0
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return "", err
		}
		line = bytes.TrimRight(line, "\r\n")
		if first == "" {
			first = string(line)
		}
		if len(line) == 0 {
			break
		}
		if name, value, ok := bytes.Cut(line, []byte(":")); ok && bytes.EqualFold(name, []byte("Content-Length")) {
			if length, err = strconv.Atoi(string(bytes.TrimSpace(value))); err != nil {
				return "", err
			}
		}
	}
	_, err = in.Discard(length)
	return first, err
}

var clientSerial atomic.Int64

// runClient sends one request after the other over one connection, until the end.
func runClient(ctx context.Context, addr string, body int, end time.Time, place int) (sample, error) {
	t := sample{latency: newLatencyHistogram()}
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return t, err
	}
	defer nc.Close()
	if err := nc.SetDeadline(end.Add(10 * time.Second)); err != nil {
		return t, err
	}
	in := bufio.NewReaderSize(nc, peerBuffer)
	run, load := clientSerial.Add(1), bytes.Repeat([]byte("x"), body)
	for n := 0; ctx.Err() == nil && time.Now().Before(end); n++ {
		text := fmt.Appendf(nil, "GET /get/%d HTTP/1.1\r\n", n)
		if body > 0 {
			text = fmt.Appendf(nil, "POST /post/%d HTTP/1.1\r\nContent-Length: %d\r\n", n, body)
		}
		text = fmt.Appendf(text, "Host: box\r\nReq-Id: r%d-%d-%d\r\nReq-Owner: speed\r\nReq-Deadline-Ms: 5000\r\n\r\n", run, place, n)
		began := time.Now()
		if _, err := nc.Write(append(text, load...)); err != nil {
			return t, err
		}
		first, err := skipMessage(in)
		if err != nil {
			return t, err
		}
		if first != "HTTP/1.1 200 OK" {
			t.failed++
			continue
		}
		if err := t.latency.RecordValue(time.Since(began).Microseconds()); err != nil {
			return t, err
		}
	}
	return t, nil
}

// ServeFastHTTP serves as the baseline on fasthttp: a server and its LBClient, which sends to the endpoint with the fewest requests
// out, until ctx ends.
func ServeFastHTTP(ctx context.Context, listen string, endpoints []string) error {
	var lb fasthttp.LBClient
	for _, addr := range endpoints {
		lb.Clients = append(lb.Clients, &fasthttp.HostClient{Addr: addr, MaxConns: 512, MaxIdleConnDuration: 27 * time.Second})
	}
	server := &fasthttp.Server{MaxRequestBodySize: 64 << 10, NoDefaultServerHeader: true, Handler: func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == "/_health" {
			c.SetBodyString("ok\n")
			return
		}
		c.Request.Header.Del("Connection")
		if err := lb.DoTimeout(&c.Request, &c.Response, 5*time.Second); err != nil {
			c.Error("failed", fasthttp.StatusBadGateway)
		}
	}}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	if err := server.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
