package daemon

import (
	"fmt"
	"sync/atomic"
)

// requestIDs generates ids for requests that come without one. It is safe for concurrent use.
type requestIDs struct {
	prefix uint64 // random, so that the ids of two processes differ
	serial atomic.Uint64
}

// next returns an id that it has not returned before.
func (ids *requestIDs) next() string { return fmt.Sprintf("%016x-%x", ids.prefix, ids.serial.Add(1)) }
