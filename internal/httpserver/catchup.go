package httpserver

import "time"

// catchUp finds out whether everything that a client has sent has arrived. While reads find data
// waiting, or wait for it only as long as a held-back client takes to send more, the client may be
// held back by a full receive buffer. Once reads have waited for it for maxBurstGap in a row, it is
// not.
type catchUp struct {
	waited time.Duration // by the latest reads in a row that found no data waiting
	at     time.Time     // latest time at which everything had arrived; zero: none is known
}

// observeRead records a read that ended now, and whether no data was waiting when it began.
func (c *catchUp) observeRead(now time.Time, wasEmpty bool, took time.Duration) {
	if !wasEmpty {
		c.waited = 0
		return
	}
	c.waited += took
	if c.waited > maxBurstGap {
		c.at = now
	}
}
