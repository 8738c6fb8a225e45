// Package roundrobin is the baseline on sockets: net/http/httputil's ReverseProxy, which sends to
// the endpoints in turn. It has the configuration and the discovery of DEPLOY, so that experiments
// can start it in the sidecar's place.
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
)

const (
	maxIdleConns      = 64 // to each endpoint
	dialTimeout       = 250 * time.Millisecond
	readHeaderTimeout = 2 * time.Second
	watchRetryWait    = 200 * time.Millisecond
	maxListSize       = 4 << 20 // bytes of one message of discovery

	stateReady = "Ready" // in endpoint lists
)

// endpoint is an entry of an endpoint list.
type endpoint struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	State string `json:"state"`
}

// endpointList is one message of discovery: the complete list, or changes.
type endpointList struct {
	Version int64      `json:"version"`
	Full    bool       `json:"full"`
	Servers []endpoint `json:"servers"`
}

// endpoints holds the endpoints that are ready, and whose turn it is.
type endpoints struct {
	mu      sync.Mutex
	ready   []endpoint
	last    int   // number of requests so far
	version int64 // of the last message; used by the watch's goroutine only
}

// apply applies a message of discovery.
func (e *endpoints) apply(list endpointList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if list.Full {
		e.ready = nil
	}
	for _, s := range list.Servers {
		e.ready = slices.DeleteFunc(e.ready, func(other endpoint) bool { return other.ID == s.ID })
		if s.State == stateReady {
			e.ready = append(e.ready, s)
		}
	}
	e.version = list.Version
}

// next returns the address of the endpoint whose turn it is, empty if there is none.
func (e *endpoints) next() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.ready) == 0 {
		return ""
	}
	e.last++
	return e.ready[e.last%len(e.ready)].Addr
}

// config is what is used of the configuration file.
type config struct {
	Listen    string       `json:"listen"`
	Discovery string       `json:"discovery"`
	Known     endpointList `json:"known"`
	Settings  struct {
		Permissions struct {
			ConnIdleUs int64 `json:"ConnIdleUs"`
		} `json:"Permissions"`
	} `json:"settings"`
}

func readConfig(path string) (config, error) {
	var c config
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	c.Known.Full = true
	return c, nil
}

// Serve serves with the configuration file at path until ctx ends.
func Serve(ctx context.Context, path string, logger *slog.Logger) error {
	config, err := readConfig(path)
	if err != nil {
		return err
	}
	e := &endpoints{}
	e.apply(config.Known)
	mux := http.NewServeMux()
	mux.HandleFunc("/_health", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.Handle("/", newProxy(e, time.Duration(config.Settings.Permissions.ConnIdleUs)*time.Microsecond))
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
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

// newProxy returns a proxy that sends to the endpoints in turn. It closes idle connections a little
// before the endpoints do.
func newProxy(e *endpoints, endpointIdleTimeout time.Duration) *httputil.ReverseProxy {
	return &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			in := r.In.URL
			r.Out.URL = &url.URL{Scheme: "http", Host: e.next(), Path: in.Path, RawPath: in.RawPath, RawQuery: in.RawQuery}
			if client, _, err := net.SplitHostPort(r.In.RemoteAddr); err == nil {
				r.Out.Header.Set("X-Forwarded-For", client)
			}
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: endpointIdleTimeout * 9 / 10,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext},
		ErrorLog: log.New(io.Discard, "", 0), // experiments count its errors from outside
	}
}

// watchUntilDone watches the endpoint list until ctx ends. It opens a watch again when it has
// ended.
func (e *endpoints) watchUntilDone(ctx context.Context, addr string, logger *slog.Logger) {
	for ctx.Err() == nil {
		if err := e.watch(ctx, addr); err != nil && ctx.Err() == nil {
			logger.Warn("watch ended", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryWait):
		}
	}
}

// watch applies the changes after the present version until the watch ends.
func (e *endpoints) watch(ctx context.Context, addr string) error {
	target := fmt.Sprintf("http://%s/catalog/members?watch=1&after=%d", addr, e.version)
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
		var list endpointList
		if err := json.Unmarshal(lines.Bytes(), &list); err != nil {
			return err
		}
		e.apply(list)
	}
	return lines.Err()
}
