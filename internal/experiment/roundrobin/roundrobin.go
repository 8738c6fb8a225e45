// Package roundrobin is the baseline on sockets: net/http/httputil's ReverseProxy, sending to the endpoints in turn. It is
// told and serves as DEPLOY describes, so that the lab can start it in the sidecar's place.
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

type endpoint struct {
	ID    string `json:"id"`
	Addr  string `json:"addr"`
	State string `json:"state"`
}

type endpointList struct {
	Version int64      `json:"version"`
	Full    bool       `json:"full"`
	Servers []endpoint `json:"servers"`
}

// endpoints is the list of endpoints and whose turn it is.
type endpoints struct {
	mu      sync.Mutex
	ready   []endpoint
	last    int
	version int64
}

func (e *endpoints) apply(m endpointList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.Full {
		e.ready = nil
	}
	for _, s := range m.Servers {
		e.ready = slices.DeleteFunc(e.ready, func(o endpoint) bool { return o.ID == s.ID })
		if s.State == "Ready" {
			e.ready = append(e.ready, s)
		}
	}
	e.version = m.Version
}

func (e *endpoints) next() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.ready) == 0 {
		return ""
	}
	e.last++
	return e.ready[e.last%len(e.ready)].Addr
}

// Serve serves by the configuration in the file at path until ctx ends.
func Serve(ctx context.Context, path string, logger *slog.Logger) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	var config struct {
		Listen, Discovery string
		Known             endpointList
		Settings          struct{ Permissions struct{ ConnIdleUs int64 } }
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	t := &endpoints{}
	config.Known.Full = true
	t.apply(config.Known)
	idle := time.Duration(config.Settings.Permissions.ConnIdleUs) * time.Microsecond
	proxy := &httputil.ReverseProxy{
		Director: func(r *http.Request) {
			r.URL = &url.URL{Scheme: "http", Host: t.next(), Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: idle * 9 / 10,
			DialContext: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext},
		ErrorLog: log.New(io.Discard, "", 0), // its errors are the lab's to count
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/_health", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.Handle("/", proxy)
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second}
	var watch sync.WaitGroup
	watch.Go(func() { t.keepWatching(ctx, config.Discovery, logger) })
	defer watch.Wait()
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown(context.WithoutCancel(ctx)) })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// keepWatching keeps a watch of the discovery service until ctx ends.
func (e *endpoints) keepWatching(ctx context.Context, addr string, logger *slog.Logger) {
	for ctx.Err() == nil {
		if err := e.watch(ctx, addr); err != nil && ctx.Err() == nil {
			logger.Warn("watch ended", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (e *endpoints) watch(ctx context.Context, addr string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/catalog/members?watch=1&after=%d", addr, e.version), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 4<<20)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var m endpointList
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return err
		}
		e.apply(m)
	}
	return lines.Err()
}
