package sidecar

import (
	"errors"
	"syscall"
	"time"
)

const (
	startRetryInterval = 20 * time.Millisecond // between two attempts of a call
	startRetryTimeout  = 3 * time.Second       // after which the error of the last attempt is returned
)

// transientErrors are the system call errors that are retried at start-up: a lack of descriptors or
// memory, an address that is still in use or not available yet, an interrupted call, or a file
// system failure.
var transientErrors = []error{
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EAGAIN, syscall.EINTR, syscall.EIO,
}

// isTransient reports whether a call that failed with this error may soon succeed.
func isTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// retryTransient calls a function until it succeeds, fails with an error that is not transient, or
// has been retried for startRetryTimeout.
func retryTransient[T any](call func() (T, error)) (T, error) {
	for start := time.Now(); ; time.Sleep(startRetryInterval) {
		result, err := call()
		if err == nil || !isTransient(err) || time.Since(start) >= startRetryTimeout {
			return result, err
		}
	}
}
