// Package recentids remembers the ids of recent requests in memory of a fixed size, so that a
// request whose id comes again is recognized. Processes can share a set, through a file.
//
// The set holds a keyed fingerprint of each id instead of the id itself: an id is a part of the
// text of its request's head, which would stay in memory as a whole. An id that was never added is
// taken for a known one with a chance of about 6 in 100 billion.
package recentids

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"
)

// Guaranteed is how many of the ids that were added last are remembered, but for a chance of less
// than 1 in 10^15.
const Guaranteed = 16 << 10

// The layout of the set.
const (
	bucketCount = 1 << 10
	bucketSize  = 64 // slots; holds the ids whose hash selects the bucket
	slotCount   = bucketCount * bucketSize

	sequenceBits = 24 // of a slot: when its id was added; the other bits are the fingerprint
	sequenceMask = 1<<sequenceBits - 1
)

const (
	keySize = 16 // bytes
	// maxTextSize is the length up to which a key and an id are hashed without an allocation.
	maxTextSize = 512
)

// Set is a set of recently added ids. Its methods are safe for concurrent use.
//
// Each id has one of bucketCount buckets, and a new id replaces the oldest one of its bucket.
type Set struct {
	key      [keySize]byte // ids cannot be chosen such that they fall into one bucket
	sequence *uint64       // number of ids added so far
	slots    []uint64      // 0: empty
}

// New returns an empty set.
func New() *Set {
	s := &Set{sequence: new(uint64), slots: make([]uint64, slotCount)}
	_, _ = rand.Read(s.key[:]) // never fails, see its documentation
	return s
}

// Add adds an id and reports whether it was not in the set.
func (s *Set) Add(id string) bool {
	bucket, fingerprint := s.locate(id)
	if indexOf(bucket, fingerprint, -1) >= 0 {
		return false
	}
	value := fingerprint | atomic.AddUint64(s.sequence, 1)&sequenceMask
	i := replaceOldest(bucket, value)
	// The same id may have been added at the same time. Neither is new then, so that neither runs.
	if indexOf(bucket, fingerprint, i) >= 0 {
		atomic.CompareAndSwapUint64(&bucket[i], value, 0)
		return false
	}
	return true
}

// Remove removes an id, so that it can be added again.
func (s *Set) Remove(id string) {
	bucket, fingerprint := s.locate(id)
	for i := range bucket {
		if slot := atomic.LoadUint64(&bucket[i]); slot&^sequenceMask == fingerprint {
			atomic.CompareAndSwapUint64(&bucket[i], slot, 0)
		}
	}
}

// locate returns the bucket of an id and its fingerprint, which is not 0.
func (s *Set) locate(id string) (bucket []uint64, fingerprint uint64) {
	text := make([]byte, 0, maxTextSize)
	text = append(text, s.key[:]...)
	text = append(text, id...)
	hash := sha256.Sum256(text)
	start := binary.LittleEndian.Uint64(hash[:]) % bucketCount * bucketSize
	fingerprint = binary.LittleEndian.Uint64(hash[8:]) &^ sequenceMask
	if fingerprint == 0 {
		fingerprint = 1 << sequenceBits
	}
	return s.slots[start : start+bucketSize], fingerprint
}

// indexOf returns the index of the slot with a fingerprint other than the slot at except, or -1.
func indexOf(bucket []uint64, fingerprint uint64, except int) int {
	for i := range bucket {
		if atomic.LoadUint64(&bucket[i])&^sequenceMask == fingerprint && i != except {
			return i
		}
	}
	return -1
}

// replaceOldest puts a value into an empty slot of a bucket, or in place of the value that was
// added first, and returns its index.
func replaceOldest(bucket []uint64, value uint64) int {
	for {
		oldest, replaced := 0, uint64(0)
		maxAge := uint64(0)
		for i := range bucket {
			slot := atomic.LoadUint64(&bucket[i])
			age := (value - slot) & sequenceMask
			if slot == 0 {
				age = sequenceMask + 1 // an empty slot is replaced first
			}
			if age >= maxAge {
				oldest, replaced, maxAge = i, slot, age
			}
		}
		if atomic.CompareAndSwapUint64(&bucket[oldest], replaced, value) {
			return oldest
		}
	}
}
