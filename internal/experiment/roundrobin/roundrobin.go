// Package roundrobin is the baseline for experiments on sockets: an httputil.ReverseProxy that
// sends requests to the endpoints in turn. It reads the platform's configuration file and endpoint
// list, in the formats of package platform (DEPLOY), so that experiments can start it in place of
// the sidecar.
package roundrobin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"slices"
	"sync"
	"time"

	"rowancart/internal/logkey"
	"rowancart/internal/platform"
)

const (
	maxIdleConns      = 64 // idle connections kept to each endpoint
	dialTimeout       = 250 * time.Millisecond
	readHeaderTimeout = 2 * time.Second
	watchRetryWait    = 200 * time.Millisecond // before a watch that has ended is opened again
	maxListSize       = 4 << 20                // largest discovery message, in bytes
)

// endpoints holds the endpoints that are ready, and selects the next one in turn.
type endpoints struct {
	mu       sync.Mutex
	ready    []platform.Endpoint
	requests int // number of requests for which an endpoint was chosen

	version int64 // of the latest discovery message; once the watching goroutine runs, only it uses this
}

// apply applies a discovery message, which is a complete endpoint list or a list of changes.
func (e *endpoints) apply(list platform.EndpointList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if list.Complete {
		e.ready = nil
	}
	for _, listed := range list.Endpoints {
		e.ready = slices.DeleteFunc(e.ready, func(other platform.Endpoint) bool { return other.ID == listed.ID })
		if listed.State == platform.StateReady {
			e.ready = append(e.ready, listed)
		}
	}
	if list.Version != nil {
		e.version = *list.Version
	}
}

// next returns the address of the next endpoint in turn, or an empty string if none is ready.
func (e *endpoints) next() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.ready) == 0 {
		return ""
	}
	e.requests++
	return e.ready[e.requests%len(e.ready)].Addr
}

// readConfig reads the configuration file at a path.
func readConfig(path string) (platform.ConfigFile, error) {
	var c platform.ConfigFile
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("read the configuration file that %s names: %w", platform.EnvConfig, err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("parse the configuration file %s: %w", path, err)
	}
	c.KnownEndpoints.Complete = true
	return c, nil
}

// Serve runs the proxy with the configuration file at path until ctx ends. One goroutine watches
// the endpoint list; it has ended when Serve returns.
func Serve(ctx context.Context, path string, logger *slog.Logger) error {
	config, err := readConfig(path)
	if err != nil {
		return err
	}
	e := &endpoints{}
	e.apply(config.KnownEndpoints)
	idleTimeout := time.Duration(config.Settings.Permissions.ConnIdleUs) * time.Microsecond
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: newHandler(e, idleTimeout), ReadHeaderTimeout: readHeaderTimeout}
	var watch sync.WaitGroup
	watch.Go(func() { e.watchUntilDone(ctx, config.Discovery, logger) })
	defer watch.Wait()
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown(context.WithoutCancel(ctx)) })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// newHandler returns a handler that responds to health checks and forwards all other requests.
func newHandler(e *endpoints, endpointIdleTimeout time.Duration) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.HealthPath, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n") // fails only if the client has disconnected
	})
	mux.Handle("/", newProxy(e, endpointIdleTimeout))
	return mux
}

// newProxy returns a proxy that sends requests to the endpoints in turn. It closes idle connections
// a little before the endpoints do, so that it does not send on a connection that is being closed.
func newProxy(e *endpoints, endpointIdleTimeout time.Duration) *httputil.ReverseProxy {
	return &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			in := r.In.URL
			r.Out.URL = &url.URL{
				Scheme:   "http",
				Host:     e.next(),
				Path:     in.Path,
				RawPath:  in.RawPath,
				RawQuery: in.RawQuery,
			}
			if client, _, err := net.SplitHostPort(r.In.RemoteAddr); err == nil {
				r.Out.Header.Set("X-Forwarded-For", client)
			}
		},
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     endpointIdleTimeout * 9 / 10,
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
		ErrorLog: log.New(io.Discard, "", 0), // experiments observe failures from outside
	}
}

// watchUntilDone watches the endpoint list until ctx ends. When a watch ends, it opens a new one
// after watchRetryWait.
func (e *endpoints) watchUntilDone(ctx context.Context, addr string, logger *slog.Logger) {
	for ctx.Err() == nil {
		if err := e.watch(ctx, addr); err != nil && ctx.Err() == nil {
			logger.Warn("endpoint list watch ended", logkey.Err, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryWait):
		}
	}
}

// watch opens a watch on the endpoint list at addr and applies all changes after e.version until
// the watch ends.
func (e *endpoints) watch(ctx context.Context, addr string) error {
	target := "http://" + addr + platform.EndpointListPath + "?" + platform.WatchQuery(e.version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxListSize)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 { // keepalive
			continue
		}
		var list platform.EndpointList
		if err := json.Unmarshal(lines.Bytes(), &list); err != nil {
			return err
		}
		e.apply(list)
	}
	return lines.Err()
}
