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

// Each running process owns one presence file, whose name consists of its status and its stamp:
//
//	registering --locked--> starting --MarkServing--> serving
//
// The owner holds an exclusive flock on the file until it exits. The kernel releases the lock when
// the process exits, even after SIGKILL, and child processes do not inherit the descriptor. A file
// that another process can lock therefore belongs to a process that has exited. In the status
// registering the lock may not be held yet, so peer processes ignore such a file, except that
// Register includes it when it orders processes by start time.
//
// The owner removes its file in Unregister. The file of a killed process is removed by the first
// peer process that finds it unlocked.

// status is the start-up phase of a process, stored as the prefix of the name of its presence file.
// Processes of different versions share the directory, so these values must not change.
type status string

const (
	statusRegistering status = "entering-"
	statusStarting    status = "starting-"
	statusServing     status = "serving-"
)

// A process removes its presence file during shutdown, so the retries must not take long.
const (
	removeAttempts      = 5
	removeRetryInterval = 5 * time.Millisecond
)

// startDigits is the number of digits of the start time in a stamp. It is fixed so that stamps sort
// by start time.
const startDigits = 20

// newStamp returns the stamp that identifies this process among the processes of its sidecar. It
// consists of the start time that Register has chosen, in nanoseconds of Unix time, and the process
// ID. Stamps sort by start time.
func newStamp(started uint64) string {
	return fmt.Sprintf("%0*d-%d", startDigits, started, os.Getpid())
}

// parseStamp returns the start time of a stamp. It returns false for a text that newStamp can't
// have returned, so that a foreign file is not counted as a process.
func parseStamp(text string) (started uint64, ok bool) {
	digits, pid, ok := strings.Cut(text, "-")
	started, startedErr := strconv.ParseUint(digits, 10, 64)
	_, pidErr := strconv.ParseUint(pid, 10, 32)
	return started, ok && startedErr == nil && pidErr == nil && len(digits) == startDigits
}

// presenceName is the name of a presence file.
type presenceName struct {
	status status
	stamp  string
}

// String returns the name as it is on disk.
func (n presenceName) String() string { return string(n.status) + n.stamp }

// parsePresenceName parses the name of a presence file. It returns false for other files.
func parsePresenceName(name string) (presenceName, bool) {
	for _, s := range []status{statusServing, statusStarting, statusRegistering} {
		if stamp, ok := strings.CutPrefix(name, string(s)); ok {
			_, ok = parseStamp(stamp)
			return presenceName{status: s, stamp: stamp}, ok
		}
	}
	return presenceName{}, false
}

// Presence makes this process visible to its peer processes. Its methods must not be called
// concurrently.
type Presence struct {
	dir   *SharedDir
	stamp string
	file  *os.File // open for as long as the lock is held
	path  string   // current path of file
}

// Register makes this process visible to its peer processes until it calls Unregister or exits.
// Processes are ordered by the start time in their stamps. If started is not later than all start
// times in the shared directory, for example because the clock was set back, the stamp gets the
// latest of them plus 1 ns. A process that registers is therefore the successor of all processes
// that registered before it.
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
	p.file = file
	p.path = path
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

// latestStart returns the latest start time of the presence files, or 0 if there are none. It
// includes the files of exited processes: they do no harm, and checking their locks could fail.
func (d *SharedDir) latestStart() (uint64, error) {
	files, err := os.ReadDir(d.path)
	if err != nil {
		return 0, wrapError(err)
	}
	var latest uint64
	for _, file := range files {
		if name, ok := parsePresenceName(file.Name()); ok {
			started, _ := parseStamp(name.stamp)
			latest = max(latest, started)
		}
	}
	return min(latest, math.MaxUint64-1), nil
}

// MarkServing tells the peer processes that this process serves requests.
func (p *Presence) MarkServing() error { return p.setStatus(statusServing) }

func (p *Presence) pathFor(s status) string {
	return filepath.Join(p.dir.path, presenceName{status: s, stamp: p.stamp}.String())
}

// setStatus renames the presence file. The lock belongs to the open file and is kept.
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
	for range removeAttempts { // if all fail, a peer process removes the file once it is unlocked
		if err := p.dir.files.remove(p.path); err == nil || errors.Is(err, fs.ErrNotExist) {
			break
		}
		time.Sleep(removeRetryInterval)
	}
	p.file.Close()
}

// PeerProcesses describes the peer processes of this process.
type PeerProcesses struct {
	Running         bool // at least one is running, whether or not it serves requests
	SuccessorServes bool // at least one is running, is a successor of this process, and serves requests
}

// PeerProcesses reads the shared directory and removes the files of processes that have exited. If
// it returns an error, the state of the peer processes is unknown: a local failure must not be
// mistaken for the exit of a process.
func (p *Presence) PeerProcesses() (PeerProcesses, error) {
	files, err := os.ReadDir(p.dir.path)
	if err != nil {
		return PeerProcesses{}, wrapError(err)
	}
	var peers PeerProcesses
	for _, file := range files {
		name, ok := parsePresenceName(file.Name())
		if !ok || !p.isPeer(name) {
			continue
		}
		running, err := p.dir.isRunning(name)
		if err != nil {
			return PeerProcesses{}, wrapError(err)
		}
		if !running {
			continue
		}
		peers.Running = true
		if p.isServingSuccessor(name) {
			peers.SuccessorServes = true
		}
	}
	return peers, nil
}

// isPeer reports whether a presence file belongs to a process other than this one that had locked
// it. The process may have exited since.
func (p *Presence) isPeer(name presenceName) bool {
	return name.status != statusRegistering && name.stamp != p.stamp
}

// isServingSuccessor reports whether a presence file belongs to a successor of this process that
// serves requests.
func (p *Presence) isServingSuccessor(name presenceName) bool {
	return name.status == statusServing && name.stamp > p.stamp
}

// isRunning reports whether the owner of a presence file is running. If it is not, isRunning
// removes the file. If two processes check the file of an exited process at the same time, one of
// them can find it locked by the other, and then returns true.
func (d *SharedDir) isRunning(name presenceName) (bool, error) {
	path := filepath.Join(d.path, name.String())
	file, err := os.OpenFile(path, os.O_RDWR|syscall.O_CLOEXEC, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil // removed or renamed in the meantime; the next call finds out which
	}
	if err != nil {
		return false, err
	}
	defer file.Close() // releases the lock if this process has acquired it
	switch err := d.files.lock(file); {
	case errors.Is(err, syscall.EWOULDBLOCK):
		return true, nil
	case err != nil:
		return false, err
	}
	_ = os.Remove(path) // if this fails, the next call tries again
	return false, nil
}

// tryLock takes an exclusive lock on a file without blocking. It returns EWOULDBLOCK if another
// process holds the lock.
func tryLock(file *os.File) error {
	for {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
