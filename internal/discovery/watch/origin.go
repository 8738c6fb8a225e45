package watch

import "cmp"

// unknownVersion is the version of a list of which the version is not known.
const unknownVersion = -1

// Position says how recent an endpoint list is among all lists that the processes of one instance
// have had. Versions are compared only within an epoch.
type Position struct {
	// Epoch counts how often the versions may have begun anew: after discovery has moved to another
	// address or has lost its state.
	Epoch   int64 `json:"Epoch"`
	Version int64 `json:"Version"`
}

// Compare returns a negative number if p is older than q, and a positive number if it is newer.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Version, q.Version))
}

// Origin says where an endpoint list comes from.
//
// The JSON tags are the field names in stored lists.
type Origin struct {
	Addr string `json:"Discovery"` // of discovery
	Position
}

// UnknownOrigin returns the origin of a list of which nothing is known.
func UnknownOrigin() Origin { return Origin{Position: Position{Version: unknownVersion}} }

// IsKnown reports whether the version of the list is known.
func (o Origin) IsKnown() bool { return o.Version != unknownVersion }

// versionAt returns the version after which a watch at addr may begin, or nil if the complete list
// has to be fetched.
func (o Origin) versionAt(addr string) *int64 {
	if !o.IsKnown() || o.Addr != addr {
		return nil
	}
	return &o.Version
}

// hasRestarted reports whether the versions have begun anew if discovery at addr sends a version
// after the list of this origin.
func (o Origin) hasRestarted(addr string, version int64) bool {
	return o.IsKnown() && (addr != o.Addr || version < o.Version)
}

// next returns the origin of the list that follows when discovery at addr has sent a version.
func (o Origin) next(addr string, version int64) Origin {
	next := Origin{Addr: addr, Position: Position{Epoch: o.Epoch, Version: version}}
	if o.hasRestarted(addr, version) {
		next.Epoch++
	}
	return next
}
