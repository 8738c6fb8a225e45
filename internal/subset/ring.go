// Package subset chooses, for one instance of a fleet, the endpoints that it sends to, so that it
// has few connections and each endpoint gets about as many instances as any other. It is pure: no
// I/O, no clock, and no instance asks another.
//
// Ready endpoints are on a ring in the order of their hashes, evenly apart, however unevenly the
// hashes fall. An instance has a place on the ring, and its subset are the endpoints that follow
// it. Places come from the instance's number by a low-discrepancy sequence, which spreads the
// instances evenly whatever their number, and does not move them when more come. An instance
// without a number has its place from its name. The idea is that of Ward, Wankadia and Guliani,
// "Reinventing Backend Subsetting at Google" (ACM Queue 20(5), 2022).
package subset

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Place is a position on the ring: a share of its length, in units of 2^-64.
type Place uint64

// PlaceOf returns the place of the instance with a number, from 0. It is the van der Corput
// sequence in base 2, of which any number of first members is spread evenly.
func PlaceOf(index int) Place { return Place(bits.Reverse64(uint64(index))) }

// PlaceNamed returns the place of an instance that has a name and no number. Such instances are
// spread at random.
func PlaceNamed(name string) Place { return Place(xxhash.Sum64String(name)) }

// Ring is a set of endpoints. Its zero value is empty and ready for use.
type Ring struct {
	members []member // sorted by hash, and by id among equal hashes
}

type member struct {
	hash uint64
	id   string
}

func (m member) compare(o member) int {
	return cmp.Or(cmp.Compare(m.hash, o.hash), cmp.Compare(m.id, o.id))
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

// From returns the size endpoints that follow a place, or all if there are no more.
func (r *Ring) From(p Place, size int) []string {
	none := func(string) bool { return false }
	return r.Select(p, size, none, none)
}

// candidate is an endpoint that may belong to a subset.
type candidate struct {
	id       string
	rank     rank
	distance int // twice the distance from the subset's middle, in endpoints
}

// rank orders the candidates for a subset: lower ranks come first.
type rank int

const (
	rankAdded    rank = iota // new on the ring, and follows the place: every instance whose turn it is takes it
	rankSelected             // in the subset before, and not far outside of it now
	rankInside               // follows the place
)

// Select is like From for an instance that has a subset already: endpoints of that which have moved
// out by no more than half of size stay in it. Each endpoint that comes or goes moves all behind it
// by one, and without this every instance would follow, though that does not make the spread more
// even. Selected and added report whether an endpoint is in the subset, and whether it is new on
// the ring: new endpoints are selected first, so that they get as many instances as others.
func (r *Ring) Select(p Place, size int, selected, added func(id string) bool) []string {
	n := len(r.members)
	if size = min(size, n); size == 0 {
		return nil
	}
	slack := min(size/2, (n-size)/2)
	first, _ := bits.Mul64(uint64(p), uint64(n)) // the integer part of p times n
	var candidates []candidate
	for i := -slack; i < size+slack; i++ {
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
	slices.SortStableFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.distance, y.distance))
	})
	ids := make([]string, 0, size)
	for _, c := range candidates[:size] {
		ids = append(ids, c.id)
	}
	return ids
}
