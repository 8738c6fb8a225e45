// Package subset selects the endpoints to which one instance of a fleet sends, so that it has few
// connections and all endpoints get about the same number of instances. It is pure: no I/O, no
// clock, and no communication between instances.
//
// Ready endpoints are on a ring in the order of their hashes, at equal distances. An instance has a
// position on the ring, and its subset is the endpoints that follow. Positions are computed from
// the instance's index by a low-discrepancy sequence, which spreads any number of instances evenly,
// and does not move them when others are added. The position of an instance without an index is the
// hash of its name. The method is that of Ward, Wankadia and Guliani,
// "Reinventing Backend Subsetting at Google" (ACM Queue 20(5), 2022).
package subset

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Position is a position on the ring: a fraction of its length, in units of 2^-64.
type Position uint64

// PositionOf returns the position of the instance with an index, from 0. It is the van der Corput
// sequence in base 2, of which any number of first members is spread evenly.
func PositionOf(index int) Position { return Position(bits.Reverse64(uint64(index))) }

// PositionOfName returns the position of an instance that has a name and no index. Such instances
// are spread at random.
func PositionOfName(name string) Position { return Position(xxhash.Sum64String(name)) }

// Ring is a set of endpoints. Its zero value is empty and ready for use.
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

// find returns the member for an endpoint, and the index at which it is or would be inserted.
func (r *Ring) find(id string) (m member, index int, found bool) {
	m = member{xxhash.Sum64String(id), id}
	index, found = slices.BinarySearchFunc(r.members, m, member.compare)
	return m, index, found
}

// Add adds an endpoint. It reports whether it is new.
func (r *Ring) Add(id string) bool {
	m, index, found := r.find(id)
	if !found {
		r.members = slices.Insert(r.members, index, m)
	}
	return !found
}

// Remove removes an endpoint. It reports whether it was on the ring.
func (r *Ring) Remove(id string) bool {
	_, index, found := r.find(id)
	if found {
		r.members = slices.Delete(r.members, index, index+1)
	}
	return found
}

// Len returns the number of endpoints.
func (r *Ring) Len() int { return len(r.members) }

// From returns the size endpoints that follow a position, or all if there are fewer.
func (r *Ring) From(p Position, size int) []string {
	none := func(string) bool { return false }
	return r.Select(p, size, none, none)
}

// candidate is an endpoint that may belong to a subset.
type candidate struct {
	id       string
	rank     rank
	distance int // twice the distance from the subset's middle, in endpoints
}

// compareCandidates orders candidates by rank, and within a rank by distance.
func compareCandidates(x, y candidate) int {
	return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.distance, y.distance))
}

// rank orders the candidates for a subset: lower ranks come first.
type rank int

const (
	rankAdded    rank = iota // new on the ring, and inside
	rankSelected             // in the subset before, and inside or close to it
	rankInside               // inside: one of the endpoints that follow the position
)

// Select is like From for an instance that already has a subset. Endpoints of that subset stay in
// it until they are more than half of size outside. An endpoint that is added or removed shifts all
// that follow it by one; without this tolerance every subset would change, and instances would be
// spread no more evenly. Selected and added report whether an endpoint is in the subset, and
// whether it is new on the ring: new endpoints come first, so that they get as many instances as
// others.
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

// candidates returns the endpoints that may belong to a subset, in the order of the ring. They are
// at least size.
func (r *Ring) candidates(p Position, size int, selected, added func(id string) bool) []candidate {
	n := len(r.members)
	tolerance := min(size/2, (n-size)/2)
	first, _ := bits.Mul64(uint64(p), uint64(n)) // the integer part of p times n
	var candidates []candidate
	for i := -tolerance; i < size+tolerance; i++ {
		id := r.members[(int(first)+i+n)%n].id
		c := candidate{id: id, distance: max(2*i-size+1, size-1-2*i)}
		inside := i >= 0 && i < size
		switch {
		case inside && added(id):
			c.rank = rankAdded
		case selected(id):
			c.rank = rankSelected
		case inside:
			c.rank = rankInside
		default:
			continue
		}
		candidates = append(candidates, c)
	}
	return candidates
}
