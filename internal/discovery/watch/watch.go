package watch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"rowancart/internal/logkey"
	"rowancart/internal/platform"
)

// A watch has the phases below. A watchdog timer limits the duration of each phase. When the
// watchdog expires, it cancels the watch, and Run starts the next one.
//
//	phase      ends with                       time limit
//	listing    the complete list               responseTimeout; only if no version is known
//	opening    the first byte of the response  responseTimeout; includes connecting
//	receiving  the end of a message or line    responseTimeout, from its first byte
//	idle       the first byte of the next one  idleTimeout
//
// If the watchdog expires just as data arrives, the next watch starts after the latest version that
// was applied. No change is missed; the cost is one more call.

// watchStart is where a watch begins.
type watchStart struct {
	addr    string // of discovery
	version *int64 // after which the watch begins; nil: the complete list has to be fetched before
}

// startWatch returns the context of a new watch, its cancel function, and where it begins. It reads
// that and registers the cancel function in one critical section, so that any later SetAddress or
// Adopt cancels the context.
func (c *Client) startWatch(ctx context.Context) (context.Context, context.CancelFunc, watchStart) {
	ctx, cancel := context.WithCancel(ctx)
	c.listMu.Lock()
	defer c.listMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addrChanged {
		c.addrChanged = false
		c.version = nil
	}
	c.cancelWatch = cancel
	return ctx, cancel, watchStart{addr: c.addr, version: c.version}
}

// watch runs one watch until it ends. If no version is known, it fetches the complete list first.
// It reports whether the watch delivered a message or an empty line, and returns the error that
// ended the watch, which is never nil.
func (c *Client) watch(ctx context.Context) (received bool, err error) {
	ctx, cancel, start := c.startWatch(ctx)
	defer cancel()
	watchdog := time.AfterFunc(c.timing.responseTimeout, cancel)
	defer watchdog.Stop()
	if start.version == nil {
		if start.version, err = c.fetchList(ctx, start.addr); err != nil {
			return false, err
		}
		watchdog.Reset(c.timing.responseTimeout)
	}
	body, err := c.get(ctx, start.addr, "?"+platform.WatchQuery(*start.version))
	if err != nil {
		return false, err
	}
	defer body.Close()
	stream := newMessageReader(body, func() { watchdog.Reset(c.timing.responseTimeout) })
	for {
		message, err := stream.next()
		if err != nil {
			return received, fmt.Errorf("watch: %w", err)
		}
		watchdog.Reset(c.timing.idleTimeout)
		if len(message) > 0 {
			if _, err := c.applyMessage(ctx, start.addr, message); err != nil {
				return received, err
			}
		}
		received = true
		if c.onCurrent != nil {
			c.onCurrent()
		}
	}
}

// fetchList fetches and applies the complete list, and returns its version.
func (c *Client) fetchList(ctx context.Context, addr string) (version *int64, err error) {
	body, err := c.get(ctx, addr, "")
	if err != nil {
		return nil, err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxMessageBytes))
	if err != nil {
		return nil, fmt.Errorf("endpoint list: %w", err)
	}
	return c.applyMessage(ctx, addr, text)
}

// StatusError reports that discovery responded with a status other than 200.
type StatusError struct {
	Query  string // with its question mark; empty: the request was for the complete list
	Status string
}

// Error implements error.
func (e *StatusError) Error() string {
	return platform.EndpointListPath + e.Query + ": " + e.Status
}

// get calls discovery and returns the body of a response with status 200, which the caller must
// close. The error for any other status is a *StatusError.
func (c *Client) get(ctx context.Context, addr, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+platform.EndpointListPath+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &StatusError{Query: query, Status: resp.Status}
	}
	return resp.Body, nil
}

// applyMessage validates a message from discovery at addr, passes it to onUpdate, adopts its
// version and returns it. After an invalid message, or one with changes of a version older than the
// known one, changes may have been missed. The known version is then discarded, so that the
// complete list is fetched before the next watch. The version is set only together with a call of
// onUpdate, or by Adopt: a known version is always that of the list in force. A message of a watch
// that was canceled meanwhile is not applied, since the list in force may be a later one.
func (c *Client) applyMessage(ctx context.Context, addr string, text []byte) (version *int64, err error) {
	list, err := platform.ParseEndpointList(text)
	c.listMu.Lock()
	defer c.listMu.Unlock()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err == nil {
		err = c.checkVersion(list)
	}
	if err != nil {
		c.version = nil
		return nil, fmt.Errorf("malformed message: %w", err)
	}
	c.logRestart(addr, *list.Version)
	c.origin = c.origin.next(addr, *list.Version)
	c.version = list.Version
	c.onUpdate(list)
	c.logFirst(list)
	return list.Version, nil
}

// logRestart logs that versions have begun anew, if they have. They have at another address. At the
// same one discovery has lost its state, and its list is taken all the same.
func (c *Client) logRestart(addr string, version int64) {
	switch {
	case !c.origin.hasRestarted(addr, version):
	case addr != c.origin.Addr:
		c.log.Info("endpoint list from another address", logkey.Addr, addr, logkey.Version, version)
	default:
		c.log.Warn("version of the endpoint list went back", logkey.Version, version, "replaced", c.origin.Version)
	}
}

// logFirst logs the first message that was applied.
func (c *Client) logFirst(list platform.EndpointList) {
	if c.hasApplied {
		return
	}
	c.hasApplied = true
	c.log.Info("first endpoint list from discovery", logkey.Version, *list.Version, "complete", list.Complete,
		logkey.List, ProxyEndpointList(list))
}

// checkVersion returns an error if the list consists of changes and its version is older than the
// known one, or none is known.
func (c *Client) checkVersion(list platform.EndpointList) error {
	if list.Complete || c.version != nil && *list.Version >= *c.version {
		return nil
	}
	return &platform.FieldError{Field: "version",
		Err: fmt.Errorf("changes of version %d do not apply to the endpoint list in use", *list.Version)}
}
