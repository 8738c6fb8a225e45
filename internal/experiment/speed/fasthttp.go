package speed

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"rowancart/internal/platform"
)

const (
	fastHTTPMaxConns    = 512              // to each endpoint
	fastHTTPIdleTimeout = 27 * time.Second // of connections to endpoints
	fastHTTPTimeout     = 5 * time.Second  // for one request
	fastHTTPMaxBody     = 64 << 10         // bytes of a request's body
)

// ServeFastHTTP runs the fasthttp baseline until ctx ends. It forwards requests with fasthttp's
// LBClient, which sends to the endpoint with the fewest requests in flight.
func ServeFastHTTP(ctx context.Context, listen string, endpoints []string) error {
	var lb fasthttp.LBClient
	for _, addr := range endpoints {
		lb.Clients = append(lb.Clients, &fasthttp.HostClient{Addr: addr, MaxConns: fastHTTPMaxConns,
			MaxIdleConnDuration: fastHTTPIdleTimeout})
	}
	forward := func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == platform.HealthPath {
			c.SetBodyString("ok\n")
			return
		}
		c.Request.Header.Del("Connection")
		if err := lb.DoTimeout(&c.Request, &c.Response, fastHTTPTimeout); err != nil {
			c.Error("failed", fasthttp.StatusBadGateway)
		}
	}
	server := &fasthttp.Server{MaxRequestBodySize: fastHTTPMaxBody, NoDefaultServerHeader: true, Handler: forward}
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
