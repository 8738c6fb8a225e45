// Command review-2 runs one case of the second review: it starts the project's own programs as
// separate processes, plays their clients, endpoints and platform on loopback addresses, and checks
// one rule. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseLimit is the longest time that a case may take.
const caseLimit = 115 * time.Second

var cases = map[string]func(*run) error{
	"stop-with-hung": stopWithHung,
	"memory":         memory,
	"silent-peers":   silentPeers,
	"improper-peers": improperPeers,
	"upgrade":        upgrade,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	r, err := newRun(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		os.Exit(2)
	}
	os.Exit(r.execute(cases[os.Args[1]]))
}

// execute runs a case and returns the exit code.
func (r *run) execute(play func(*run) error) int {
	done := make(chan error, 1)
	go func() {
		defer func() {
			if value := recover(); value != nil { // the processes must be ended all the same
				done <- fmt.Errorf("panic: %v", value)
			}
		}()
		done <- play(r)
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var err error
	select {
	case err = <-done:
	case s := <-stopped:
		err = fmt.Errorf("ended by a signal: %v", s)
	case <-time.After(caseLimit):
		err = fmt.Errorf("the case took longer than %v", caseLimit)
	}
	r.stopAll()
	defer r.close()
	switch {
	case err != nil:
		r.logf("could not run: %v", err)
		return 2
	case len(r.violations()) > 0:
		for _, v := range r.violations() {
			r.logf("RULE BROKEN: %s", v)
		}
		r.logf("result: broken, %d times", len(r.violations()))
		return 1
	}
	r.logf("result: held")
	return 0
}

// newRun prepares a run whose record is written to the folder.
func newRun(folder string) (*run, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	scratch, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &run{
		root:    filepath.Dir(filepath.Dir(folder)),
		scratch: scratch,
		trouble: os.Getenv("TROUBLE") != "0",
		record:  record,
		started: time.Now(),
	}, nil
}
