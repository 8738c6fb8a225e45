// Package subset selects the endpoints to which one instance of a fleet sends requests, so that the
// instance has few connections and all endpoints receive requests from about the same number of
// instances. The package does no I/O, uses no clock, and needs no communication between instances.
//
// Ready endpoints are placed on a ring at equal distances, in the order of their hashes. Each
// instance has a position on the ring, and its subset consists of the endpoints that follow that
// position. A low-discrepancy sequence maps the instance's index to its position. It spreads any
// number of instances evenly, and does not move them when others are added. The position of an
// instance without an index is the hash of its name. The method is that of Ward, Wankadia and
// Guliani, "Reinventing Backend Subsetting at Google" (ACM Queue 20(5), 2022).
package subset

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Position is a position on the ring: a fraction of its length, in units of 2^-64.
type Position uint64

// PositionOf returns the position of the instance with the given index, which starts at 0. The
// positions are the van der Corput sequence in base 2: for any n, its first n members are spread
// evenly.
func PositionOf(index int) Position { return Position(bits.Reverse64(uint64(index))) }

// PositionOfName returns the position of an instance that has a name but no index. Such instances
// are spread randomly rather than evenly.
func PositionOfName(name string) Position { return Position(xxhash.Sum64String(name)) }

// Ring is the ring of endpoints. The zero value is an empty ring, ready for use.
type Ring struct {
	members []member // sorted by hash, and by id among equal hashes
}

type member struct {
	hash uint64
	id   string
}

func (m member) compare(other member) int {
	return cmp.Or(cmp.Compare(m.hash, other.hash), cmp.Compare(m.id, other.id))
}

// find returns the member for an endpoint, the index at which it is or would be inserted, and
// whether it is on the ring.
func (r *Ring) find(id string) (m member, index int, found bool) {
	m = member{xxhash.Sum64String(id), id}
	index, found = slices.BinarySearchFunc(r.members, m, member.compare)
	return m, index, found
}

// Add adds an endpoint. It reports whether the endpoint is new.
func (r *Ring) Add(id string) bool {
	m, index, found := r.find(id)
	if !found {
		r.members = slices.Insert(r.members, index, m)
	}
	return !found
}

// Remove removes an endpoint. It reports whether the endpoint was on the ring.
func (r *Ring) Remove(id string) bool {
	_, index, found := r.find(id)
	if found {
		r.members = slices.Delete(r.members, index, index+1)
	}
	return found
}

// Len returns the number of endpoints.
func (r *Ring) Len() int { return len(r.members) }

// From returns the endpoints that follow a position: size of them, or all if there are fewer.
func (r *Ring) From(p Position, size int) []string {
	none := func(string) bool { return false }
	return r.Select(p, size, none, none)
}

// candidate is an endpoint that may belong to a subset.
type candidate struct {
	id       string
	rank     rank
	distance int // twice the distance from the middle of the subset, in endpoints
}

// compareCandidates orders candidates by rank, and within a rank by distance.
func compareCandidates(x, y candidate) int {
	return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.distance, y.distance))
}

// rank orders the candidates for a subset: lower ranks come first.
type rank int

const (
	rankAdded    rank = iota // new on the ring, and in the range of the position (see Select)
	rankSelected             // in the earlier subset, and in the range or close to it
	rankInRange              // in the range
)

// Select is like From for an instance that already has a subset. The range of a position is the
// size endpoints that follow it. An endpoint of the earlier subset is preferred while it is outside
// that range by at most half of size, or at most half of the endpoints that are outside, if these
// are fewer. An endpoint that is added or removed shifts all endpoints after it by one. Without
// this tolerance every subset would change, and instances would not be spread more evenly.
//
// The function selected reports whether an endpoint is in the earlier subset, and added whether it
// is new on the ring. New endpoints in the range come first, so that they get as many instances as
// the others.
func (r *Ring) Select(p Position, size int, selected, added func(id string) bool) []string {
	size = min(size, len(r.members))
	if size == 0 {
		return nil
	}
	candidates := r.candidates(p, size, selected, added)
	slices.SortStableFunc(candidates, compareCandidates)
	ids := make([]string, 0, size)
	for _, c := range candidates[:size] {
		ids = append(ids, c.id)
	}
	return ids
}

// candidates returns the endpoints that may belong to a subset, in the order of the ring. There are
// at least size of them.
func (r *Ring) candidates(p Position, size int, selected, added func(id string) bool) []candidate {
	n := len(r.members)
	tolerance := min(size/2, (n-size)/2)
	first, _ := bits.Mul64(uint64(p), uint64(n)) // the integer part of p times n
	var candidates []candidate
	for i := -tolerance; i < size+tolerance; i++ {
		id := r.members[(int(first)+i+n)%n].id
		c := candidate{id: id, distance: max(2*i-size+1, size-1-2*i)}
		inRange := i >= 0 && i < size
		switch {
		case inRange && added(id):
			c.rank = rankAdded
		case selected(id):
			c.rank = rankSelected
		case inRange:
			c.rank = rankInRange
		default:
			continue
		}
		candidates = append(candidates, c)
	}
	return candidates
}
