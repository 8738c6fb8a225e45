package httpserver

import "rowancart/internal/testpeer"

// The helpers of package testpeer that tests here use most.
const (
	patience = testpeer.Patience
	served   = testpeer.Served
)

var (
	newEndpoint = testpeer.New
	until       = testpeer.Until
)
