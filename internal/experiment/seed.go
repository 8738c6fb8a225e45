package experiment

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Seed derives the seed of a component from the seed of a run and the component's name. So the
// random draws of a component do not depend on other components or on the order in which they are
// created.
func Seed(seed uint64, name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	h := xxhash.New()
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(name)
	return h.Sum64()
}

// Rand returns the random number generator of the component called name.
func Rand(seed uint64, name string) *rand.Rand {
	s := Seed(seed, name)
	return rand.New(rand.NewPCG(s, s^0x9e3779b97f4a7c15))
}
