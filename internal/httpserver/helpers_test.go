package httpserver

import "rowancart/internal/testpeer"

// The helpers of package testpeer that tests here use most.
const (
	patience = testpeer.WaitTimeout
	served   = testpeer.OKResponse
)

var (
	newEndpoint = testpeer.StartEndpoint
	until       = testpeer.WaitUntil
)
