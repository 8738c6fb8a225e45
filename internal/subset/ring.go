// Package subset chooses, for one instance of a fleet, the endpoints that it sends to, so that it holds few connections and
// each endpoint gets about as many instances as any other. It is pure: no I/O, no clock, and no instance asks another.
//
// Ready endpoints stand on a ring in the order of their hashes, evenly apart, however unevenly the hashes fall. An instance
// has a place on the ring and takes the endpoints that follow it. Places come from the instance's number by a sequence of low
// discrepancy, which spreads the instances evenly whatever their number, and leaves them where they are when more come. An
// instance without a number has its place from its name. The idea is that of Ward, Wankadia and Guliani, "Reinventing Backend
// Subsetting at Google" (ACM Queue 20(5), 2022).
package subset

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Place is a place on the ring: a share of its length, in units of 2^-64.
type Place uint64

// PlaceOf is the place of the instance with a number, from 0: the van der Corput sequence in base 2, in which any number of
// first members is spread evenly.
func PlaceOf(index int) Place { return Place(bits.Reverse64(uint64(index))) }

// PlaceNamed is the place of an instance that knows no number: instances are spread at random then.
func PlaceNamed(name string) Place { return Place(xxhash.Sum64String(name)) }

// Ring is a set of endpoints. Its zero value is empty and ready for use.
type Ring struct{ members []member }

type member struct {
	hash uint64
	id   string
}

func (m member) compare(o member) int {
	return cmp.Or(cmp.Compare(m.hash, o.hash), cmp.Compare(m.id, o.id))
}

func (r *Ring) find(id string) (m member, at int, found bool) {
	m = member{xxhash.Sum64String(id), id}
	at, found = slices.BinarySearchFunc(r.members, m, member.compare)
	return m, at, found
}

// Add adds an endpoint, and tells whether it is new.
func (r *Ring) Add(id string) bool {
	m, at, found := r.find(id)
	if !found {
		r.members = slices.Insert(r.members, at, m)
	}
	return !found
}

// Remove takes an endpoint away, and tells whether it was there.
func (r *Ring) Remove(id string) bool {
	_, at, found := r.find(id)
	if found {
		r.members = slices.Delete(r.members, at, at+1)
	}
	return found
}

// Len is how many endpoints there are.
func (r *Ring) Len() int { return len(r.members) }

// From gives size endpoints, all if there are no more, from a place on.
func (r *Ring) From(p Place, size int) []string {
	return r.Keep(p, size, func(string) bool { return false }, func(string) bool { return false })
}

// Keep is like From for an instance that holds some endpoints already: it keeps those that have not moved far, half of size
// at most, past either end. Each endpoint that comes or goes moves all that stand behind it by a place, and without this every
// instance would go along, though it makes no difference to an even spread. What is fresh is taken by all whose turn it is, so
// that a new endpoint has as many instances as any other.
func (r *Ring) Keep(p Place, size int, held, fresh func(id string) bool) []string {
	n := len(r.members)
	if size = min(size, n); size == 0 {
		return nil
	}
	slack := min(size/2, (n-size)/2)
	first, _ := bits.Mul64(uint64(p), uint64(n)) // the whole part of p times n
	type candidate struct {
		id         string
		rank, away int // rank: what goes first; away: twice the distance from the middle
	}
	var all []candidate
	for i := -slack; i < size+slack; i++ {
		id := r.members[(int(first)+i+n)%n].id
		c := candidate{id: id, away: max(2*i-size+1, size-1-2*i)}
		core := i >= 0 && i < size
		switch {
		case core && fresh(id):
		case held(id):
			c.rank = 1
		case core:
			c.rank = 2
		default:
			continue
		}
		all = append(all, c)
	}
	slices.SortStableFunc(all, func(x, y candidate) int { return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.away, y.away)) })
	out := make([]string, 0, size)
	for _, c := range all[:size] {
		out = append(out, c.id)
	}
	return out
}
