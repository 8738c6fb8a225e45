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

// reservedDescriptors is how many file descriptors the process needs in addition to those of
// connections.
const reservedDescriptors = 64

// Errors of Reload, in addition to those of reading the configuration and opening its listeners.
var (
	errStopping   = errors.New("the daemon is stopping")
	errAdminMoved = errors.New("the listener cannot be moved without a restart")
)

// configSource is the file from which a daemon reads its configuration.
type configSource struct {
	path      string
	lookupEnv func(string) (string, bool)
}

// load reads, decodes and validates the configuration file.
func (s configSource) load() (*config.Config, error) { return config.Load(s.path, s.lookupEnv) }

// fileEquals reports whether the current content of the file is text.
func (s configSource) fileEquals(text []byte) bool {
	current, err := os.ReadFile(s.path)
	return err == nil && bytes.Equal(current, text)
}

// ReloadStatus counts reloads and describes the latest.
type ReloadStatus struct {
	Succeeded int       `json:"good"`
	Failed    int       `json:"bad"`
	LastAt    time.Time `json:"last_at"`
	LastError string    `json:"last_error,omitempty"` // why the latest reload failed; empty if it succeeded
}

// record records the result of a reload: err is nil if it succeeded.
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
	reloadRequested   reloadReason = iota // reloads the file even if it has not changed
	reloadFileChanged                     // skipped if the text is in force already, as after a requested reload
)

// Reload reads the configuration file and, if it is valid, puts it in force at once. An invalid
// file changes nothing.
func (d *Daemon) Reload() error { return d.reloadFor(reloadRequested) }

// reloadFor reloads the configuration, and records the result in the log and the status.
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

// isFileInForce reports whether the current content of the configuration file is in force. The
// caller must hold d.reloadMu.
func (d *Daemon) isFileInForce() bool {
	return d.reloads.LastError == "" && d.source.fileEquals(d.current.config.Text)
}

// reload puts the configuration file in force. The caller must hold d.reloadMu, so that d.current
// does not change meanwhile.
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
	if d.runCtx != nil { // otherwise Run starts the listeners
		for _, l := range opened {
			d.startListener(l)
		}
	}
	changes := strings.Join(old.Compare(c), ", ")
	d.log.Info("configuration reloaded", logkey.Generation, d.current.number, "changes", changes)
	return nil
}

// logWarnings logs the configuration's warnings about valid but probably mistaken settings. It adds
// one if the connection limits need more file descriptors than this process may open.
func (d *Daemon) logWarnings(c *config.Config) {
	need := maxDescriptors(c)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && need > limit.Cur {
		c.Warnings = append(c.Warnings, fmt.Sprintf(
			"%s: the connection limits need up to %d file descriptors, but this process may open only %d",
			c.File, need, limit.Cur))
	}
	for _, warning := range c.Warnings {
		d.log.Warn("configuration warning", "warning", warning)
	}
}

// maxDescriptors returns how many file descriptors the process needs when all connection limits of
// a configuration are reached.
func maxDescriptors(c *config.Config) uint64 {
	n := uint64(c.Limits.MaxConns + reservedDescriptors)
	for _, p := range c.Pools {
		n += uint64(p.MaxConns)
	}
	return n
}
