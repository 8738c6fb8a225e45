package proxy

import (
	"errors"
)

// errNoConnection says that nothing was asked of the endpoint: it is not listed for new work any more, or all descriptors for
// connections are in use. That is no failure of the endpoint's and must not be reported as one.
var errNoConnection = errors.New("no connection could be tried")

var (
	errEndpointRemoved = errors.New("the endpoint was taken out before anything was sent")
	errClientGone      = errors.New("the caller left before anything was sent")
	errStaleConn       = errors.New("the connection was closed or written to before anything was sent")
	errWriteFailed     = errors.New("the connection broke before the request was written whole")
	errEarlyResponse   = errors.New("something came before the request was written whole")
	errUploadFailed    = errors.New("the caller's body broke off")
	errConnClosed      = errors.New("the connection is closed")
	errDeclined        = errors.New("it turned a request away")
	errResponseTooLong = errors.New("the answer is longer than any may be")
)
