// Package hotrestart is what the processes of one sidecar share while one takes over from another: who is there, which endpoints the
// operators have taken out, and what was learned. Each fact is a file of its own in one folder, so that writers can't undo each other and
// a process that is killed leaves nothing half done.
package hotrestart

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	bansName    = "bans"
	learnedName = "learned"
	starting    = "starting-"
	serving     = "serving-"
	entering    = "entering-" // not locked yet
	mostID      = 120         // bytes of an endpoint's id: its ban has to fit a file's name
)

// SharedDir is where the processes of one sidecar meet.
type SharedDir struct{ path string }

// OpenSharedDir makes sure of the folder of the sidecar of that name, within one that its processes have in common.
func OpenSharedDir(within, name string) (*SharedDir, error) {
	f := &SharedDir{filepath.Join(within, "rowancart-"+url.PathEscape(name))}
	if err := os.MkdirAll(filepath.Join(f.path, bansName), 0o700); err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	return f, nil
}

// SnapshotPath is the path of the snapshot of what was learned.
func (f *SharedDir) SnapshotPath() string { return filepath.Join(f.path, learnedName) }

// ban is the file that stands for a ban.
func (f *SharedDir) ban(id string) string {
	return filepath.Join(f.path, bansName, hex.EncodeToString([]byte(id)))
}

// Disable notes that an endpoint is taken out.
func (f *SharedDir) Disable(id string) error {
	if len(id) > mostID {
		return fmt.Errorf("upgrade: an id of more than %d bytes", mostID)
	}
	b, err := os.OpenFile(f.ban(id), os.O_CREATE|os.O_WRONLY|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	return b.Close()
}

// Enable notes that an endpoint is back.
func (f *SharedDir) Enable(id string) error {
	if err := os.Remove(f.ban(id)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("upgrade: %w", err)
	}
	return nil
}

// Disabled gives the endpoints that are out, and the names of files that stand for none.
func (f *SharedDir) Disabled() (ids, foreign []string, err error) {
	files, err := os.ReadDir(filepath.Join(f.path, bansName))
	if err != nil {
		return nil, nil, fmt.Errorf("upgrade: %w", err)
	}
	for _, file := range files {
		id, err := hex.DecodeString(file.Name())
		if err != nil || len(id) == 0 {
			foreign = append(foreign, file.Name())
			continue
		}
		ids = append(ids, string(id))
	}
	return ids, foreign, nil
}

// Presence is this process among those of the sidecar.
type Presence struct {
	folder *SharedDir
	stamp  string // orders processes by their start
	file   *os.File
	path   string
}

// Register shows this process to the others, from now on until it leaves or ends.
func (f *SharedDir) Register(started time.Time) (*Presence, error) {
	p := &Presence{folder: f, stamp: fmt.Sprintf("%020d-%d", started.UnixNano(), os.Getpid())}
	path := filepath.Join(f.path, entering+p.stamp)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		return nil, fmt.Errorf("upgrade: %w", err)
	}
	p.file, p.path = file, path
	if err := p.show(starting); err != nil {
		p.Unregister()
		return nil, err
	}
	return p, nil
}

// MarkServing shows that this process serves.
func (p *Presence) MarkServing() error { return p.show(serving) }

func (p *Presence) show(as string) error {
	path := filepath.Join(p.folder.path, as+p.stamp)
	if err := os.Rename(p.path, path); err != nil {
		return fmt.Errorf("upgrade: %w", err)
	}
	p.path = path
	return nil
}

// Unregister takes this process away.
func (p *Presence) Unregister() {
	_ = os.Remove(p.path) // the others clear it away when they find that nobody holds it
	p.file.Close()
}

// Peers is who is there beside this process.
type Peers struct {
	Alive     bool // somebody is
	Successor bool // somebody that started later, and serves
}

// Peers looks round. What processes that have ended left behind is cleared away.
func (p *Presence) Peers() (Peers, error) {
	var o Peers
	files, err := os.ReadDir(p.folder.path)
	if err != nil {
		return o, fmt.Errorf("upgrade: %w", err)
	}
	for _, file := range files {
		stamp, serves := strings.CutPrefix(file.Name(), serving)
		if !serves {
			var starts bool
			if stamp, starts = strings.CutPrefix(file.Name(), starting); !starts {
				continue
			}
		}
		if stamp == p.stamp || !wellFormed(stamp) || !p.folder.held(file.Name()) {
			continue
		}
		o.Alive = true
		o.Successor = o.Successor || serves && stamp > p.stamp
	}
	return o, nil
}

// wellFormed tells whether a stamp is one of ours: what is foreign must count for nobody.
func wellFormed(stamp string) bool {
	at, pid, ok := strings.Cut(stamp, "-")
	_, errAt := strconv.ParseUint(at, 10, 64)
	_, errPid := strconv.ParseUint(pid, 10, 32)
	return ok && errAt == nil && errPid == nil && len(at) == 20
}

// held tells whether the process that a file stands for lives.
func (f *SharedDir) held(name string) bool {
	path := filepath.Join(f.path, name)
	file, err := os.OpenFile(path, os.O_RDWR|syscall.O_CLOEXEC, 0)
	if err != nil {
		return false // it has just gone, or goes by its next name
	}
	defer file.Close()
	if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		return true
	}
	_ = os.Remove(path) // tried again at the next look
	return false
}
