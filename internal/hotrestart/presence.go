package hotrestart

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Each running process owns one presence file, named by its status and its stamp:
//
//	registering --locked--> starting --MarkServing--> serving
//
// The owner holds an exclusive flock on the file for as long as it lives: the kernel releases the
// lock at its death, however it dies, and no child inherits the descriptor. Peers therefore take a
// file that they can lock for that of a dead process. Peers ignore the status registering, in which
// the lock is not held yet.
//
// The owner removes its file in Unregister. The file of a process that was killed is removed by the
// first peer that finds it unlocked.

// status is the phase of a process, as the prefix of its presence file's name. Processes of
// different versions meet in the directory, so these values must not change.
type status string

const (
	statusRegistering status = "entering-"
	statusStarting    status = "starting-"
	statusServing     status = "serving-"
)

// startDigits is the width of the start time in a stamp, such that stamps sort by time.
const startDigits = 20

// newStamp returns the identity of this process among its peers. Stamps sort by start time.
func newStamp(started time.Time) string {
	return fmt.Sprintf("%0*d-%d", startDigits, started.UnixNano(), os.Getpid())
}

// isStamp reports whether newStamp can have returned the text. Foreign files must not count as
// processes.
func isStamp(text string) bool {
	started, pid, ok := strings.Cut(text, "-")
	_, startedErr := strconv.ParseUint(started, 10, 64)
	_, pidErr := strconv.ParseUint(pid, 10, 32)
	return ok && startedErr == nil && pidErr == nil && len(started) == startDigits
}

// parsePresenceName splits the name of a presence file. It reports false for other files, and for
// those of processes that are still registering.
func parsePresenceName(name string) (s status, stamp string, ok bool) {
	for _, s := range []status{statusServing, statusStarting} {
		if stamp, ok := strings.CutPrefix(name, string(s)); ok {
			return s, stamp, isStamp(stamp)
		}
	}
	return "", "", false
}

// Presence makes this process visible to the other processes of the sidecar. Its methods must not
// be called concurrently.
type Presence struct {
	dir   *SharedDir
	stamp string
	file  *os.File // holds the lock
	path  string   // of file, under its current name
}

// Register makes this process visible to the others, until it calls Unregister or ends. Processes
// are ordered by the time at which they started.
func (d *SharedDir) Register(started time.Time) (*Presence, error) {
	p := &Presence{dir: d, stamp: newStamp(started)}
	path := p.pathFor(statusRegistering)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, wrapError(err)
	}
	if err := tryLock(file); err != nil {
		file.Close()
		return nil, wrapError(err)
	}
	p.file, p.path = file, path
	if err := p.setStatus(statusStarting); err != nil {
		p.Unregister()
		return nil, err
	}
	return p, nil
}

// MarkServing lets the others see that this process serves requests.
func (p *Presence) MarkServing() error { return p.setStatus(statusServing) }

func (p *Presence) pathFor(s status) string {
	return filepath.Join(p.dir.path, string(s)+p.stamp)
}

// setStatus renames the presence file. The lock is on the open file and stays.
func (p *Presence) setStatus(s status) error {
	path := p.pathFor(s)
	if err := os.Rename(p.path, path); err != nil {
		return wrapError(err)
	}
	p.path = path
	return nil
}

// Unregister removes the presence file and releases its lock.
func (p *Presence) Unregister() {
	_ = os.Remove(p.path) // where that fails, a peer removes it once it finds it unlocked
	p.file.Close()
}

// Peers says which other processes of the sidecar are running.
type Peers struct {
	Alive     bool // there is one
	Successor bool // there is one that started later than this process, and serves
}

// Peers reads the shared directory. It removes the files of processes that have ended.
func (p *Presence) Peers() (Peers, error) {
	var peers Peers
	files, err := os.ReadDir(p.dir.path)
	if err != nil {
		return peers, wrapError(err)
	}
	for _, file := range files {
		status, stamp, ok := parsePresenceName(file.Name())
		if !ok || stamp == p.stamp || !p.dir.isAlive(file.Name()) {
			continue
		}
		peers.Alive = true
		if status == statusServing && stamp > p.stamp {
			peers.Successor = true
		}
	}
	return peers, nil
}

// isAlive reports whether the process of a presence file is running. It removes the file if not.
// Where two peers check the file of a dead process at once, one of them takes it for running in
// this call.
func (d *SharedDir) isAlive(name string) bool {
	path := filepath.Join(d.path, name)
	file, err := os.OpenFile(path, os.O_RDWR|syscall.O_CLOEXEC, 0)
	if err != nil {
		return false // it was removed or renamed meanwhile: the next call of Peers sees which
	}
	defer file.Close() // releases the lock, if this process got it
	if tryLock(file) != nil {
		return true
	}
	_ = os.Remove(path) // where that fails, the next call of Peers tries again
	return false
}

// tryLock takes an exclusive lock on a file, or fails at once if another process has it.
func tryLock(file *os.File) error {
	return syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
}
