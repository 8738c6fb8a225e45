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

// entry is a route and its number. The entries of one path are in order, the most specific first.
type entry struct {
	Match
	number int
}

// New returns a table of matches, which must have passed Check and must not overlap. Find returns
// their indices.
func New(matches []Match) *Table {
	t := &Table{hosts: map[string]*hostRoutes{}}
	for number, m := range matches {
		routes := t.hosts[m.Host]
		if routes == nil {
			routes = &hostRoutes{exact: map[string][]entry{}, prefix: map[string][]entry{}}
			t.hosts[m.Host] = routes
		}
		path, byPath := m.pathPattern(), routes.exact
		if strings.HasSuffix(path, "/*") {
			path, byPath = strings.TrimSuffix(path, "*"), routes.prefix
		}
		byPath[path] = append(byPath[path], entry{m, number})
	}
	for _, routes := range t.hosts {
		sortEntries(routes.exact)
		sortEntries(routes.prefix)
	}
	return t
}

// sortEntries sorts the entries of each path: those with methods first, then by the number of
// headers.
func sortEntries(byPath map[string][]entry) {
	for _, entries := range byPath {
		slices.SortStableFunc(entries, func(x, y entry) int {
			if x.hasMethods() != y.hasMethods() {
				if x.hasMethods() {
					return -1
				}
				return 1
			}
			return cmp.Compare(len(y.Headers), len(x.Headers))
		})
	}
}

// Find returns the index of the most specific match: by host first, an exact one before the longest
// pattern; then by path, an exact one before the longest prefix; then one with methods before one
// without; then by the number of headers. It returns a number below 0 if there is none. If the
// request would match with another method, allowed has the methods.
func (t *Table) Find(host, path, method string, header Header) (number int, allowed []string) {
	host = normalizeHost(host)
	if host != "" {
		if n := t.hosts[host].find(path, method, header, &allowed); n >= 0 {
			return n, nil
		}
	}
	for parent := host; ; {
		_, after, ok := strings.Cut(parent, ".")
		if !ok {
			break
		}
		parent = after
		if n := t.hosts["*."+parent].find(path, method, header, &allowed); n >= 0 {
			return n, nil
		}
	}
	if n := t.hosts[""].find(path, method, header, &allowed); n >= 0 {
		return n, nil
	}
	slices.Sort(allowed)
	return -1, slices.Compact(allowed)
}

// normalizeHost returns a Host without its port and trailing dot, in lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") { // not of an IPv6 address
		host = host[:i]
	}
	return strings.TrimSuffix(strings.ToLower(host), ".")
}

// find is Table.Find among the routes of one host pattern, of which there may be none. It appends
// the methods of entries that would match with another method to allowed.
func (r *hostRoutes) find(path, method string, header Header, allowed *[]string) int {
	if r == nil {
		return -1
	}
	if n := firstMatch(r.exact[path], method, header, allowed); n >= 0 {
		return n
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if n := firstMatch(r.prefix[path[:end+1]], method, header, allowed); n >= 0 {
			return n
		}
	}
	return -1
}

// firstMatch returns the number of the first entry that matches method and headers, or -1. It
// appends the methods of entries before it that do not match the method alone to allowed.
func firstMatch(entries []entry, method string, header Header, allowed *[]string) int {
	for i := range entries {
		e := &entries[i]
		switch {
		case !e.matchesHeaders(header):
		case !e.hasMethods() || slices.Contains(e.Methods, method):
			return e.number
		default:
			*allowed = append(*allowed, e.Methods...)
		}
	}
	return -1
}

func (e *entry) matchesHeaders(header Header) bool {
	for name, value := range e.Headers {
		if header(name) != value {
			return false
		}
	}
	return true
}
