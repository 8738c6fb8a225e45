package experiment

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Seed derives a seed from a run's own and a name. Named seeds keep a part's draws the same whatever other parts there
// are and in whatever order they were made.
func Seed(seed uint64, name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(name)
	return h.Sum64()
}

// Rand is a source of random numbers for the part of a run that name names.
func Rand(seed uint64, name string) *rand.Rand {
	s := Seed(seed, name)
	return rand.New(rand.NewPCG(s, s^0x9e3779b97f4a7c15))
}
