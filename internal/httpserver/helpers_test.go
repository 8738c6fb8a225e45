package httpserver

import "rowancart/internal/testpeer"

// Short names for helpers of package testpeer.
const (
	waitTimeout = testpeer.WaitTimeout
	okResponse  = testpeer.OKResponse
)

var (
	startEndpoint = testpeer.StartEndpoint
	waitUntil     = testpeer.WaitUntil
)
