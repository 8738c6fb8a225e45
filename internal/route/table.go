package route

import (
	"cmp"
	"slices"
	"strings"
)

// Table finds the route of a request. It is immutable and safe for concurrent use.
type Table struct{ hosts map[string]*hostRoutes } // by host pattern

// hostRoutes are the routes of one host pattern.
type hostRoutes struct {
	exact  map[string][]entry // by path
	prefix map[string][]entry // by the pattern without its final star
}

// entry is a match and its index. The entries of one path are sorted, with the most specific
// first.
type entry struct {
	Match
	index int
}

// Request is the part of a request that determines its route.
type Request struct {
	Host   string // as the client sent it, with or without a port
	Path   string // decoded
	Method string
	Header Header
}

// Result is the outcome of a search.
type Result struct {
	Index   int      // of the match; negative: there is none
	Allowed []string // without a match: the methods with which the request would match, sorted
}

// noMatch is the index that is used if no route matches.
const noMatch = -1

// New returns a table of matches, which must have passed Match.Check and must not overlap. Find
// returns an index into matches.
func New(matches []Match) *Table {
	t := &Table{hosts: map[string]*hostRoutes{}}
	for index, m := range matches {
		routes := t.hosts[m.Host]
		if routes == nil {
			routes = &hostRoutes{exact: map[string][]entry{}, prefix: map[string][]entry{}}
			t.hosts[m.Host] = routes
		}
		routes.add(entry{m, index})
	}
	for _, routes := range t.hosts {
		sortEntries(routes.exact)
		sortEntries(routes.prefix)
	}
	return t
}

// add adds an entry under its path pattern.
func (r *hostRoutes) add(e entry) {
	path := e.pathPattern()
	if prefix, isPrefix := strings.CutSuffix(path, "*"); isPrefix {
		r.prefix[prefix] = append(r.prefix[prefix], e)
		return
	}
	r.exact[path] = append(r.exact[path], e)
}

// sortEntries sorts the entries of each path by compareEntries.
func sortEntries(byPath map[string][]entry) {
	for _, entries := range byPath {
		slices.SortStableFunc(entries, compareEntries)
	}
}

// compareEntries orders the entries of one path: entries with methods come first, then those with
// more headers.
func compareEntries(x, y entry) int {
	switch {
	case x.hasMethods() && !y.hasMethods():
		return -1
	case y.hasMethods() && !x.hasMethods():
		return 1
	}
	return cmp.Compare(len(y.Headers), len(x.Headers))
}

// Find returns the most specific match of a request. It compares the hosts first: an exact host
// precedes a pattern, and a longer pattern precedes a shorter one. Then it compares the paths: an
// exact path precedes a prefix, and a longer prefix precedes a shorter one. Then a match with
// methods precedes one without, and a match with more headers precedes one with fewer.
func (t *Table) Find(r Request) Result {
	var allowed []string
	host := normalizeHost(r.Host)
	if host != "" {
		if index := t.hosts[host].find(&r, &allowed); index != noMatch {
			return Result{Index: index}
		}
	}
	_, parent, found := strings.Cut(host, ".")
	for found {
		if index := t.hosts["*."+parent].find(&r, &allowed); index != noMatch {
			return Result{Index: index}
		}
		_, parent, found = strings.Cut(parent, ".")
	}
	if index := t.hosts[""].find(&r, &allowed); index != noMatch {
		return Result{Index: index}
	}
	slices.Sort(allowed)
	return Result{Index: noMatch, Allowed: slices.Compact(allowed)}
}

// normalizeHost returns a Host in lower case, without its port and a trailing dot.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") { // not in an IPv6 address
		host = host[:i]
	}
	return strings.TrimSuffix(strings.ToLower(host), ".")
}

// find returns the index of the most specific match among the routes of one host pattern. r is nil
// if there are none. To allowed, it appends the methods of entries that would match with a
// different method.
func (r *hostRoutes) find(request *Request, allowed *[]string) (index int) {
	if r == nil {
		return noMatch
	}
	path := request.Path
	if index := firstMatch(r.exact[path], request, allowed); index != noMatch {
		return index
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if index := firstMatch(r.prefix[path[:end+1]], request, allowed); index != noMatch {
			return index
		}
	}
	return noMatch
}

// firstMatch returns the index of the first entry whose methods and headers match. To allowed, it
// appends the methods of the entries before it that would match with a different method.
func firstMatch(entries []entry, request *Request, allowed *[]string) (index int) {
	for i := range entries {
		e := &entries[i]
		switch {
		case !e.matchesHeaders(request.Header):
		case !e.hasMethods() || slices.Contains(e.Methods, request.Method):
			return e.index
		default:
			*allowed = append(*allowed, e.Methods...)
		}
	}
	return noMatch
}

func (e *entry) matchesHeaders(header Header) bool {
	for name, value := range e.Headers {
		if header(name) != value {
			return false
		}
	}
	return true
}
