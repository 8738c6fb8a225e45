package daemon

import (
	"fmt"
	"sync/atomic"
)

// requestIDs generates ids for requests that arrive without one. It is safe for concurrent use.
type requestIDs struct {
	prefix uint64 // random, so that ids of different processes differ
	serial atomic.Uint64
}

// next returns a new id.
func (ids *requestIDs) next() string { return fmt.Sprintf("%016x-%x", ids.prefix, ids.serial.Add(1)) }
