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
// The owner holds an exclusive flock on the file until it exits: the kernel releases the lock then,
// even after a SIGKILL, and no child process inherits the descriptor. A file that another process
// can lock therefore belongs to a process that has exited. In the status registering the lock may
// not be held yet, so peer processes ignore such a file, except that the order of processes counts
// it.
//
// The owner removes its file in Unregister. The file of a process that was killed is removed by the
// first peer process that finds it unlocked.

// status is how far the start of a process has come, as the prefix of its presence file's name.
// Processes of different versions share the directory, so these values must not change.
type status string

const (
	statusRegistering status = "entering-"
	statusStarting    status = "starting-"
	statusServing     status = "serving-"
)

// A presence file is removed during the shutdown of its process, which must not wait for long.
const (
	removeAttempts      = 5
	removeRetryInterval = 5 * time.Millisecond
)

// startDigits is the width of the start time in a stamp, such that stamps sort by time.
const startDigits = 20

// newStamp returns the identity of this process among the processes of its sidecar. Stamps sort by
// start time, which is in ns of Unix time.
func newStamp(started uint64) string {
	return fmt.Sprintf("%0*d-%d", startDigits, started, os.Getpid())
}

// parseStamp returns the start time of a stamp. It reports false for a text that newStamp can't
// have returned: a foreign file must not count as a process.
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

// parsePresenceName parses the name of a presence file. It reports false for other files.
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

// Register makes this process visible to its peer processes, until it calls Unregister or exits.
// Processes are ordered by the time at which they started, and a process that registers is the
// successor of all that have registered before, even if the clock was set back meanwhile.
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

// latestStart returns the latest start time of the presence files, 0 if there is none. Those of
// processes that have exited count as well: they do no harm, and checking their locks could fail.
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

// MarkServing lets the peer processes see that this process serves requests.
func (p *Presence) MarkServing() error { return p.setStatus(statusServing) }

func (p *Presence) pathFor(s status) string {
	return filepath.Join(p.dir.path, presenceName{status: s, stamp: p.stamp}.String())
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
	for range removeAttempts { // where all fail, a peer process removes the file once it is unlocked
		if err := p.dir.files.remove(p.path); err == nil || errors.Is(err, fs.ErrNotExist) {
			break
		}
		time.Sleep(removeRetryInterval)
	}
	p.file.Close()
}

// PeerProcesses says which peer processes this process has.
type PeerProcesses struct {
	Running         bool // at least one is running, serving or not
	SuccessorServes bool // at least one is running, is a successor of this process, and serves
}

// PeerProcesses reads the shared directory, and removes the files of processes that have exited.
// With an error nothing is known: a failure of this machine must not pass for the exit of a
// process.
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

// isPeer reports whether a presence file stands for a process other than this one.
func (p *Presence) isPeer(name presenceName) bool {
	return name.status != statusRegistering && name.stamp != p.stamp
}

// isServingSuccessor reports whether a presence file stands for a successor of this process that
// serves.
func (p *Presence) isServingSuccessor(name presenceName) bool {
	return name.status == statusServing && name.stamp > p.stamp
}

// isRunning reports whether the process of a presence file is running. It removes the file if not.
// Where two processes check the file of one that has exited at the same time, one of them takes it
// for running in this call.
func (d *SharedDir) isRunning(name presenceName) (bool, error) {
	path := filepath.Join(d.path, name.String())
	file, err := os.OpenFile(path, os.O_RDWR|syscall.O_CLOEXEC, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil // it was removed or renamed meanwhile: the next call finds out which
	}
	if err != nil {
		return false, err
	}
	defer file.Close() // releases the lock, if this process has got it
	switch err := d.files.lock(file); {
	case errors.Is(err, syscall.EWOULDBLOCK):
		return true, nil
	case err != nil:
		return false, err
	}
	_ = os.Remove(path) // where that fails, the next call tries again
	return false, nil
}

// tryLock takes an exclusive lock on a file without blocking. The error is EWOULDBLOCK if another
// process holds the lock.
func tryLock(file *os.File) error {
	for {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
