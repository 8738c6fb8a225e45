package sidecar

import (
	"errors"
	"syscall"
	"time"
)

const (
	startRetryInterval = 20 * time.Millisecond // between two attempts of a call that a start needs
	startRetryTimeout  = 3 * time.Second       // after which the error of the last attempt ends the start
)

// transientErrors are the errors of system calls that a start retries: a lack of descriptors or
// memory, an address that is still in use or not available yet, a failure of the file system.
var transientErrors = []error{
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EAGAIN, syscall.EINTR, syscall.EIO,
}

// isTransient reports whether a call that has failed may succeed soon.
func isTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// retryTransient calls a function until it succeeds, fails with an error that is not transient, or
// startRetryTimeout has passed.
func retryTransient[T any](call func() (T, error)) (T, error) {
	for began := time.Now(); ; time.Sleep(startRetryInterval) {
		result, err := call()
		if err == nil || !isTransient(err) || time.Since(began) >= startRetryTimeout {
			return result, err
		}
	}
}
