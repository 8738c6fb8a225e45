package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"rowancart/internal/config"
	"rowancart/internal/logkey"
)

// reservedDescriptors is how many file descriptors the process needs beside those of connections.
const reservedDescriptors = 64

// Errors of Reload, beside those of reading the configuration and opening its listeners.
var (
	errStopping   = errors.New("the daemon is stopping")
	errAdminMoved = errors.New("the listener cannot be moved without a restart")
)

// configSource is where a daemon reads its configuration from.
type configSource struct {
	path      string
	lookupEnv func(string) (string, bool)
}

// load reads, decodes and validates the configuration.
func (s configSource) load() (*config.Config, error) { return config.Load(s.path, s.lookupEnv) }

// hasText reports whether the file has that text.
func (s configSource) hasText(text []byte) bool {
	current, err := os.ReadFile(s.path)
	return err == nil && bytes.Equal(current, text)
}

// ReloadStatus counts reloads and describes the latest.
type ReloadStatus struct {
	Succeeded int       `json:"good"`
	Failed    int       `json:"bad"`
	LastAt    time.Time `json:"last_at"`
	LastError string    `json:"last_error,omitempty"` // for which the file in its present form is not in force
}

// record counts a reload that ended with err, nil if it succeeded.
func (s *ReloadStatus) record(now time.Time, err error) {
	s.LastAt = now
	s.LastError = ""
	if err != nil {
		s.Failed++
		s.LastError = err.Error()
		return
	}
	s.Succeeded++
}

// reloadReason is the reason for a reload.
type reloadReason int

const (
	reloadRequested   reloadReason = iota // always puts the file in force again
	reloadFileChanged                     // skips a text that is in force: a requested reload may have come first
)

// Reload reads the configuration and, if it is valid, puts it in force at once. An invalid one
// changes nothing.
func (d *Daemon) Reload() error { return d.reloadFor(reloadRequested) }

// reloadFor reloads and records the result in the log and the status.
func (d *Daemon) reloadFor(reason reloadReason) error {
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	if reason == reloadFileChanged && d.isFileInForce() {
		return nil
	}
	err := d.reload()
	if err != nil {
		d.log.Error("configuration not reloaded", logkey.Err, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reloads.record(time.Now(), err)
	return err
}

// isFileInForce reports whether the configuration file as it is now is in force. The caller must
// hold d.reloadMu.
func (d *Daemon) isFileInForce() bool {
	return d.reloads.LastError == "" && d.source.hasText(d.current.config.Text)
}

// reload puts the file in force. The caller must hold d.reloadMu, under which alone d.current is
// written.
func (d *Daemon) reload() error {
	if d.stopping {
		return errStopping
	}
	c, err := d.source.load()
	if err != nil {
		return err
	}
	old := d.current.config
	if c.Admin != old.Admin {
		return fmt.Errorf("admin: %w, from %q to %q", errAdminMoved, old.Admin, c.Admin)
	}
	opened, err := d.openListeners(c)
	if err != nil {
		return err
	}
	d.logWarnings(c)
	d.apply(c, opened)
	if d.runCtx != nil { // otherwise Run starts them
		for _, l := range opened {
			d.startListener(l)
		}
	}
	changes := strings.Join(old.Compare(c), ", ")
	d.log.Info("configuration reloaded", logkey.Generation, d.current.number, "changes", changes)
	return nil
}

// logWarnings logs what is valid but probably a mistake, and adds a warning for limits that this
// process cannot reach.
func (d *Daemon) logWarnings(c *config.Config) {
	need := maxDescriptors(c)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && need > limit.Cur {
		c.Warnings = append(c.Warnings, fmt.Sprintf(
			"%s: clients and pools may open %d connections together, and the process has %d descriptors",
			c.File, need, limit.Cur))
	}
	for _, warning := range c.Warnings {
		d.log.Warn("configuration warning", "warning", warning)
	}
}

// maxDescriptors returns how many file descriptors a process needs that reaches all of a
// configuration's limits.
func maxDescriptors(c *config.Config) uint64 {
	n := uint64(c.Limits.MaxConns + reservedDescriptors)
	for _, p := range c.Pools {
		n += uint64(p.MaxConns)
	}
	return n
}
