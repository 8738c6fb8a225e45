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
	prefix map[string][]entry // by the path up to and including the slash before the star
}

// entry is a match and its index. The entries of one path are in order, the most specific first.
type entry struct {
	Match
	index int
}

// Request is what the route of a request depends on.
type Request struct {
	Host   string // as the client names it, with or without a port
	Path   string // decoded
	Method string
	Header Header
}

// Result is the outcome of a search.
type Result struct {
	Index   int      // of the match; below 0: there is none
	Allowed []string // the methods with which the request would match, in order, if there is no match
}

// noMatch is the index of no match.
const noMatch = -1

// New returns a table of matches, which must have passed Check and must not overlap. Find returns
// indices of them.
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

// add adds an entry.
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

// compareEntries orders entries of one path: those with methods first, then by the number of
// headers, the most first.
func compareEntries(x, y entry) int {
	switch {
	case x.hasMethods() && !y.hasMethods():
		return -1
	case y.hasMethods() && !x.hasMethods():
		return 1
	}
	return cmp.Compare(len(y.Headers), len(x.Headers))
}

// Find returns the most specific match: by host first, an exact one before the longest pattern;
// then by path, an exact one before the longest prefix; then one with methods before one without;
// then by the number of headers.
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

// normalizeHost returns a Host without its port and trailing dot, in lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") { // not of an IPv6 address
		host = host[:i]
	}
	return strings.TrimSuffix(strings.ToLower(host), ".")
}

// find is Table.Find among the routes of one host pattern, of which there may be none. It appends
// the methods of entries that would match with a different method to allowed.
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

// firstMatch returns the index of the first entry whose methods and headers match. It appends the
// methods of entries before it of which only the method does not match to allowed.
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
