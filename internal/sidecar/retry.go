package sidecar

import (
	"errors"
	"syscall"
	"time"
)

const (
	startRetryInterval = 20 * time.Millisecond // between two attempts at what a start needs
	startRetryTimeout  = 3 * time.Second       // after which the last error ends the start
)

// transientErrors are the errors of system calls at a start that may pass: a lack of descriptors or
// memory, an address that is still in use or not there yet, a file system that fails for a moment.
var transientErrors = []error{
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EAGAIN, syscall.EINTR, syscall.EIO,
}

// isTransient reports whether what has failed may succeed in a moment.
func isTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// retryTransient calls a function until it succeeds, fails for good or startRetryTimeout has
// passed.
func retryTransient[T any](call func() (T, error)) (T, error) {
	for began := time.Now(); ; time.Sleep(startRetryInterval) {
		result, err := call()
		if err == nil || !isTransient(err) || time.Since(began) >= startRetryTimeout {
			return result, err
		}
	}
}
