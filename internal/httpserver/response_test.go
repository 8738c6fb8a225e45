package httpserver

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
	"rowancart/internal/platform"
	"rowancart/internal/proxy"
	"rowancart/internal/testpeer"
)

// poolRouter routes all requests to one pool.
type poolRouter struct{ pool *proxy.Pool }

func (r poolRouter) Route(*http.Request) (Target, *Rejection) {
	return Target{Pool: r.pool, Class: "all", Idempotency: balancer.Idempotent, DefaultTimeout: waitTimeout,
		AnyMethod: true, DefaultID: "x"}, nil
}

// newPool returns a pool with one endpoint, whose attempts can be canceled.
func newPool(endpointAddr string) *proxy.Pool {
	return newPoolWith(balancer.Settings{CancelAllowed: true}, endpointAddr)
}

// newPoolWith returns a pool with one endpoint and the given settings, but for their classes.
func newPoolWith(settings balancer.Settings, endpointAddr string) *proxy.Pool {
	settings.Classes = []balancer.Class{{Name: "all"}}
	list := proxy.EndpointList{Complete: true, Endpoints: []proxy.Endpoint{{ID: "a", Addr: endpointAddr}}}
	return proxy.New(settings, list, proxy.Options{MaxConns: 9, PassThrough: true, Log: slog.New(slog.DiscardHandler),
		Subscribe: func() {}})
}

// connectToServer starts a server that forwards to one endpoint, and returns a client's connection
// to the server and the server's listener. The server and the connection are closed when the test
// ends.
func connectToServer(tb testing.TB, endpointAddr string) (net.Conn, *Listener) {
	tb.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	listener := NewListener(inner, 9)
	s := New(poolRouter{newPool(endpointAddr)}, "test", "h", slog.New(slog.DiscardHandler))
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	tb.Cleanup(func() {
		s.StartDraining()
		listener.Drain(0, time.Time{})
		if err := <-served; !errors.Is(err, net.ErrClosed) {
			tb.Error(err)
		}
	})
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { client.Close() })
	return client, listener
}

// serveFixedPath responds to /none with 204, to /same with 304 and to /big with a body of 9000
// bytes.
func serveFixedPath(nc net.Conn, r *http.Request, _ int) bool {
	response := map[string]string{
		"/none": "204 No Content\r\n\r\n",
		"/same": "304 Not Modified\r\nETag: \"1\"\r\n\r\n",
		"/big": "200 OK\r\nContent-Length: 9000\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n" +
			strings.Repeat("x", 9000),
	}[r.URL.Path]
	if r.Method == http.MethodHead {
		response, _, _ = strings.Cut(response, "\r\n\r\n")
		response += "\r\n\r\n"
	}
	io.WriteString(nc, "HTTP/1.1 "+response)
	return true
}

// expectContinue reads the interim response 100 and fails the test on any other.
func expectContinue(t *testing.T, in *bufio.Reader) {
	t.Helper()
	if line, err := in.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("%q, %v", line, err)
	}
	in.ReadString('\n')
}

func TestResponseFramingFitsRequest(t *testing.T) {
	client, listener := connectToServer(t, startEndpoint(t, serveFixedPath).Addr)
	in := bufio.NewReader(client)
	for i, row := range []struct {
		method, path, fields string
		status               int
		length               int64
		close                bool
	}{
		{"GET", "/big", "", 200, 9000, false},
		{"HEAD", "/big", "", 200, 9000, false},
		{"GET", "/none", "", 204, 0, false},
		{"GET", "/same", "", 304, 0, false},
		{"POST", "/big", "Expect: 100-continue\r\nContent-Length: 2\r\n", 200, 9000, false},
		{"GET", "/big", "Connection: close\r\n", 200, 9000, true},
	} {
		name, id := row.method+" "+row.path, "r"+string(rune('b'+i))
		io.WriteString(client, name+" HTTP/1.1\r\nHost: h\r\n"+platform.RequestIDHeader+": "+id+"\r\n"+row.fields+"\r\n")
		if strings.Contains(row.fields, "Expect") {
			expectContinue(t, in)
			io.WriteString(client, "hi")
		}
		resp, err := http.ReadResponse(in, &http.Request{Method: row.method})
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != row.status || resp.ContentLength != row.length || resp.Close != row.close ||
			resp.Header.Get("Date") == "" || row.method != "HEAD" && int64(len(body)) != row.length {
			t.Errorf("%s: status %d, length %d, %d bytes, close %v, %v", name, resp.StatusCode, resp.ContentLength, len(body),
				resp.Close, err)
		}
	}
	testpeer.WaitUntil(t, "the connection is closed", func() bool {
		open, _ := listener.Counts()
		return open == 0
	})
}
