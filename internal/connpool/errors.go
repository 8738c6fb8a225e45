package connpool

import (
	"errors"
	"fmt"
)

// FailureKind says what is known about a failed attempt.
type FailureKind int

// The kinds of failure. NotSent, ConnectFailed and Declined prove that the request has not run.
const (
	// NotSent: no byte was sent, or the request body could not be read completely from the client,
	// or not be sent by this attempt. It is not a failure of the endpoint.
	NotSent FailureKind = iota + 1
	// ConnectFailed: no connection was established, or it broke before the request was written
	// completely.
	ConnectFailed
	// Declined: the endpoint responded that it has not run the request, or it responded, other than
	// with a complete 200, before the request's last byte was written, and so can't have run it.
	Declined
	// ErrorStatus: the endpoint responded with a status that is not a success.
	ErrorStatus
	// TimedOut: the deadline passed before the response was complete.
	TimedOut
	// Reset: after the request was written completely, the connection broke or something other than
	// a response arrived.
	Reset
	// Canceled: the attempt was canceled, regardless of what else happened to it.
	Canceled
)

var failureKindNames = map[FailureKind]string{
	NotSent: "not sent", ConnectFailed: "connect failed", Declined: "declined", ErrorStatus: "error status",
	TimedOut: "timed out", Reset: "reset", Canceled: "canceled",
}

// String returns the kind's name.
func (k FailureKind) String() string {
	if name, ok := failureKindNames[k]; ok {
		return name
	}
	return fmt.Sprintf("FailureKind(%d)", int(k))
}

// Error says how an attempt failed. Its text is the text of Err.
type Error struct {
	Kind FailureKind
	Err  error // the cause
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// isEndpointFailure reports whether an attempt's error counts as a failure of the endpoint.
func isEndpointFailure(err error) bool {
	if err == nil {
		return false // avoids the allocation in errors.As for each success
	}
	var failure *Error
	return errors.As(err, &failure) && failure.Kind != Canceled && failure.Kind != NotSent
}

// StatusError is the cause of an Error for a response whose status is not a success.
type StatusError struct {
	Status int
	Early  bool // the response arrived before the request was written completely
}

// Error implements error.
func (e *StatusError) Error() string {
	if e.Early {
		return fmt.Sprintf("response status %d before the request was written completely", e.Status)
	}
	return fmt.Sprintf("response status %d", e.Status)
}

// errNoConnection says that no connection to the endpoint was attempted. That is not a failure of
// the endpoint.
var errNoConnection = errors.New("no connection was attempted")

// The reasons for errNoConnection.
var (
	errNotAccepting = fmt.Errorf("%w: endpoint accepts no new requests", errNoConnection)
	errConnLimit    = fmt.Errorf("%w: connection limit is reached and no connection is idle", errNoConnection)
)

// The causes of failed attempts.
var (
	errEndpointNotCurrent  = errors.New("endpoint removed, drained, disabled, moved or restarted before anything was sent")
	errRetryDeadlinePassed = errors.New("retry deadline passed before anything was sent")
	errClientDisconnected  = errors.New("client disconnected before anything was sent")
	errStaleConn           = errors.New("connection was closed, or received input, before anything was sent")
	errWriteFailed         = errors.New("connection broke before the request was written completely")
	errWriteTimedOut       = errors.New("endpoint did not read the request in time")
	errDeadlinePassed      = errors.New("deadline passed before anything was sent")
	errTooManyFields       = errors.New("response head has too many fields")
	errNoHeadMemory        = errors.New("there is no memory for the fields of the response head")
	errEarlyResponse       = errors.New("input arrived before the request was written completely")
	errBodyUnavailable     = errors.New("request body can't be sent by this attempt")
	errUploadFailed        = errors.New("request body could not be read completely from the client")
	errConnClosed          = errors.New("connection is closed")
	errDeclined            = errors.New("endpoint declined the request")
	errResponseTooLong     = errors.New("response is longer than the maximum")
	errTooManyInterim      = errors.New("too many interim responses")
	errStreamUnfinished    = errors.New("response stream was closed before the end of the response")
	errAttemptCanceled     = errors.New("attempt was canceled")
)
