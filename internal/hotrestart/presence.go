package hotrestart

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
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
// the lock is not held yet; only the order of processes goes by it as well.
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

// A presence file is removed at the end of its process, when there is little time.
const (
	removeTries         = 5
	removeRetryInterval = 5 * time.Millisecond
)

// startDigits is the width of the start time in a stamp, such that stamps sort by time.
const startDigits = 20

// newStamp returns the identity of this process among its peers. Stamps sort by start time, which
// is in ns of Unix time.
func newStamp(started uint64) string {
	return fmt.Sprintf("%0*d-%d", startDigits, started, os.Getpid())
}

// parseStamp returns the start time of a stamp. It reports false for what newStamp can't have
// returned: foreign files must not count as processes.
func parseStamp(text string) (started uint64, ok bool) {
	digits, pid, ok := strings.Cut(text, "-")
	started, startedErr := strconv.ParseUint(digits, 10, 64)
	_, pidErr := strconv.ParseUint(pid, 10, 32)
	return started, ok && startedErr == nil && pidErr == nil && len(digits) == startDigits
}

// parsePresenceName splits the name of a presence file. It reports false for other files.
func parsePresenceName(name string) (s status, stamp string, ok bool) {
	for _, s := range []status{statusServing, statusStarting, statusRegistering} {
		if stamp, ok := strings.CutPrefix(name, string(s)); ok {
			_, ok = parseStamp(stamp)
			return s, stamp, ok
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
// are ordered by the time at which they started, and a process that registers comes after all that
// have registered before, even if the clock was set back meanwhile.
func (d *SharedDir) Register(started time.Time) (*Presence, error) {
	latest, err := d.latestStart()
	if err != nil {
		return nil, err
	}
	p := &Presence{dir: d, stamp: newStamp(max(uint64(started.UnixNano()), latest+1))}
	path := p.pathFor(statusRegistering)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, wrapError(err)
	}
	p.file, p.path = file, path
	if err := d.files.lock(file); err != nil {
		p.Unregister()
		return nil, wrapError(err)
	}
	if err := p.setStatus(statusStarting); err != nil {
		p.Unregister()
		return nil, err
	}
	return p, nil
}

// latestStart returns the latest start time of the presence files, 0 if there is none. Those of
// dead processes count as well: they do no harm, and a look at their locks could fail.
func (d *SharedDir) latestStart() (uint64, error) {
	files, err := os.ReadDir(d.path)
	if err != nil {
		return 0, wrapError(err)
	}
	var latest uint64
	for _, file := range files {
		if _, stamp, ok := parsePresenceName(file.Name()); ok {
			started, _ := parseStamp(stamp)
			latest = max(latest, started)
		}
	}
	return min(latest, math.MaxUint64-1), nil
}

// MarkServing lets the others see that this process serves requests.
func (p *Presence) MarkServing() error { return p.setStatus(statusServing) }

func (p *Presence) pathFor(s status) string {
	return filepath.Join(p.dir.path, string(s)+p.stamp)
}

// setStatus renames the presence file. The lock is on the open file and stays.
func (p *Presence) setStatus(s status) error {
	path := p.pathFor(s)
	if err := p.dir.files.rename(p.path, path); err != nil {
		return wrapError(err)
	}
	p.path = path
	return nil
}

// Unregister removes the presence file and releases its lock.
func (p *Presence) Unregister() {
	for range removeTries { // where all fail, a peer removes it once it finds it unlocked
		if err := p.dir.files.remove(p.path); err == nil || errors.Is(err, fs.ErrNotExist) {
			break
		}
		time.Sleep(removeRetryInterval)
	}
	p.file.Close()
}

// Peers says which other processes of the sidecar are running.
type Peers struct {
	Alive     bool // there is one
	Successor bool // there is one that started later than this process, and serves
}

// Peers reads the shared directory. It removes the files of processes that have ended. With an
// error nothing is known: a failure of this machine must not pass for the death of a process.
func (p *Presence) Peers() (Peers, error) {
	files, err := os.ReadDir(p.dir.path)
	if err != nil {
		return Peers{}, wrapError(err)
	}
	var peers Peers
	for _, file := range files {
		status, stamp, ok := parsePresenceName(file.Name())
		if !ok || status == statusRegistering || stamp == p.stamp {
			continue
		}
		alive, err := p.dir.isAlive(file.Name())
		if err != nil {
			return Peers{}, wrapError(err)
		}
		peers.Alive = peers.Alive || alive
		peers.Successor = peers.Successor || alive && status == statusServing && stamp > p.stamp
	}
	return peers, nil
}

// isAlive reports whether the process of a presence file is running. It removes the file if not.
// Where two peers check the file of a dead process at once, one of them takes it for running in
// this call.
func (d *SharedDir) isAlive(name string) (bool, error) {
	path := filepath.Join(d.path, name)
	file, err := os.OpenFile(path, os.O_RDWR|syscall.O_CLOEXEC, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil // it was removed or renamed meanwhile: the next call of Peers sees which
	}
	if err != nil {
		return false, err
	}
	defer file.Close() // releases the lock, if this process got it
	switch err := d.files.lock(file); {
	case errors.Is(err, syscall.EWOULDBLOCK):
		return true, nil
	case err != nil:
		return false, err
	}
	_ = os.Remove(path) // where that fails, the next call of Peers tries again
	return false, nil
}

// tryLock takes an exclusive lock on a file, or fails at once: with EWOULDBLOCK if another process
// has it.
func tryLock(file *os.File) error {
	for {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
