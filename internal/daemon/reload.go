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
)

// descriptorsBesideConns is how many file descriptors the process needs for all but connections.
const descriptorsBesideConns = 64

var errStopping = errors.New("the daemon is stopping")

// ReloadStatus counts reloads and describes the latest.
type ReloadStatus struct {
	Succeeded int       `json:"good"`
	Failed    int       `json:"bad"`
	LastAt    time.Time `json:"last_at"`
	LastError string    `json:"last_error,omitempty"` // why the file as it is now is not in force
}

// reloadCause says what a reload is for.
type reloadCause int

const (
	reloadRequested   reloadCause = iota // always puts the file in force anew
	reloadFileChanged                    // skips a text that is in force: a requested reload may have been quicker
)

// Reload reads the configuration and, if it is valid, puts it in force at once. An invalid one
// changes nothing.
func (d *Daemon) Reload() error { return d.reloadFor(reloadRequested) }

// reloadFor reloads and records the result in the log and the status.
func (d *Daemon) reloadFor(cause reloadCause) error {
	d.reloadMu.Lock()
	defer d.reloadMu.Unlock()
	text, err := os.ReadFile(d.configPath)
	inForce := err == nil && bytes.Equal(text, d.current.config.Text) && d.reloads.LastError == ""
	if inForce && cause == reloadFileChanged {
		return nil
	}
	err = d.reload()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reloads.LastAt = time.Now()
	if err != nil {
		d.reloads.Failed++
		d.reloads.LastError = err.Error()
		d.log.Error("reload: the old configuration stays", "err", err)
		return err
	}
	d.reloads.Succeeded++
	d.reloads.LastError = ""
	return nil
}

// reload puts the file in force. The caller must hold reloadMu, under which alone d.current is
// written.
func (d *Daemon) reload() error {
	if d.stopping {
		return errStopping
	}
	c, err := config.Load(d.configPath, d.lookupEnv)
	if err != nil {
		return err
	}
	old := d.current.config
	if c.Admin != old.Admin {
		return fmt.Errorf("admin: the listener cannot be moved from %q to %q without a restart", old.Admin, c.Admin)
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
	d.log.Info("reloaded", "generation", d.current.number, "changes", strings.Join(old.Compare(c), ", "))
	return nil
}

// logWarnings logs what is valid but probably not meant, and adds a warning for limits that this
// process cannot reach.
func (d *Daemon) logWarnings(c *config.Config) {
	need := uint64(c.Limits.MaxConns + descriptorsBesideConns)
	for _, p := range c.Pools {
		need += uint64(p.MaxConns)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && need > limit.Cur {
		c.Warnings = append(c.Warnings, fmt.Sprintf(
			"%s: clients and pools may open %d connections together, and the process has %d descriptors",
			c.File, need, limit.Cur))
	}
	for _, w := range c.Warnings {
		d.log.Warn(w)
	}
}
