package connpool

import (
	"rowancart/internal/testpeer"
)

// What tests here use most.
const (
	patience = testpeer.Patience
	served   = testpeer.Served
)

var (
	newEndpoint = testpeer.New
	says        = testpeer.Says
	until       = testpeer.Until
)
