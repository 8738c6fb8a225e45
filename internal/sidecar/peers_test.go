package sidecar

import (
	"rowancart/internal/testpeer"
)

// What tests here use most.
const (
	testTimeout = testpeer.Patience
	okResponse  = testpeer.Served
)

var (
	newEndpoint      = testpeer.New
	respondWith      = testpeer.Says
	waitUntil        = testpeer.Until
	endpointListJSON = testpeer.Members
	endpointJSON     = testpeer.Member
)
