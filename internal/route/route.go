package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Match is what a request must look like to take a route. Empty parts match all requests.
type Match struct {
	Host    string            // "forms.example", or "*.example" for the names below it; lower case, without a port
	Path    string            // "/a/b", or "/a/*" for all below /a/
	Methods []string          // any of them
	Headers map[string]string // all of them, with exactly these values; names in canonical form
}

// Header gives the value of a request's header by its canonical name, empty if there is none.
type Header func(name string) string

// Check says what is wrong with a match.
func (m Match) Check() error {
	host := strings.TrimPrefix(m.Host, "*.")
	switch {
	case strings.ContainsAny(host, "*/: ") || host != strings.ToLower(host) || strings.HasPrefix(m.Host, "*.") && host == "":
		return fmt.Errorf(`host: %q is neither a name in lower case nor such as "*.example"`, m.Host)
	case m.Path == "":
		return nil
	case strings.Contains(strings.TrimSuffix(m.Path, "/*"), "*"):
		return fmt.Errorf(`path: %q has a star elsewhere than in a last "/*"`, m.Path)
	}
	return Check(strings.TrimSuffix(m.Path, "*"))
}

// Overlaps tells whether some request fits both, and neither is the more specific one.
func (m Match) Overlaps(o Match) bool {
	if m.Host != o.Host || m.path() != o.path() || (len(m.Methods) == 0) != (len(o.Methods) == 0) || len(m.Headers) != len(o.Headers) {
		return false // two different patterns of one rank fit no common request
	}
	if len(m.Methods) > 0 && !slices.ContainsFunc(m.Methods, func(name string) bool { return slices.Contains(o.Methods, name) }) {
		return false
	}
	for name, value := range m.Headers {
		if other, ok := o.Headers[name]; ok && other != value {
			return false
		}
	}
	return true
}

func (m Match) path() string { return cmp.Or(m.Path, "/*") }

// Table finds routes. It is immutable and safe for concurrent use.
type Table struct{ hosts map[string]*paths }

// paths are the routes of one host pattern.
type paths struct {
	exact map[string][]entry
	below map[string][]entry // by the path up to and with the slash before the star
}

// entry is a route, known by its number. Entries of one path stand in order, the most specific first.
type entry struct {
	Match
	n int
}

// New makes a table of matches that have passed Check and do not overlap. A request is told the number of its match.
func New(matches []Match) *Table {
	t := &Table{hosts: map[string]*paths{}}
	for n, m := range matches {
		p := t.hosts[m.Host]
		if p == nil {
			p = &paths{exact: map[string][]entry{}, below: map[string][]entry{}}
			t.hosts[m.Host] = p
		}
		key, in := m.path(), p.exact
		if strings.HasSuffix(key, "/*") {
			key, in = strings.TrimSuffix(key, "*"), p.below
		}
		in[key] = append(in[key], entry{m, n})
	}
	for _, p := range t.hosts {
		for _, in := range []map[string][]entry{p.exact, p.below} {
			for _, list := range in {
				slices.SortStableFunc(list, func(x, y entry) int {
					return cmp.Or(cmp.Compare(min(len(y.Methods), 1), min(len(x.Methods), 1)), cmp.Compare(len(y.Headers), len(x.Headers)))
				})
			}
		}
	}
	return t
}

// Find gives the number of the most specific match: by host first, an exact one before the longest pattern, then by path,
// an exact one before the longest prefix, then one with methods before one without, then by the number of headers. Where
// only the method is at fault, allowed has those that would do, and the number is below 0.
func (t *Table) Find(host, path, method string, header Header) (n int, allowed []string) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	host = strings.TrimSuffix(strings.ToLower(host), ".")
	if n := t.hosts[host].find(path, method, header, &allowed); n >= 0 && host != "" {
		return n, nil
	}
	for rest := host; rest != ""; {
		_, after, ok := strings.Cut(rest, ".")
		if !ok {
			break
		}
		if n := t.hosts["*."+after].find(path, method, header, &allowed); n >= 0 {
			return n, nil
		}
		rest = after
	}
	if n := t.hosts[""].find(path, method, header, &allowed); n >= 0 {
		return n, nil
	}
	slices.Sort(allowed)
	return -1, slices.Compact(allowed)
}

func (p *paths) find(path, method string, header Header, allowed *[]string) int {
	if p == nil {
		return -1
	}
	if n := first(p.exact[path], method, header, allowed); n >= 0 {
		return n
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if n := first(p.below[path[:end+1]], method, header, allowed); n >= 0 {
			return n
		}
	}
	return -1
}

func first(list []entry, method string, header Header, allowed *[]string) int {
	for i := range list {
		e := &list[i]
		fits := true
		for name, value := range e.Headers {
			fits = fits && header(name) == value
		}
		switch {
		case !fits:
		case len(e.Methods) == 0 || slices.Contains(e.Methods, method):
			return e.n
		default:
			*allowed = append(*allowed, e.Methods...)
		}
	}
	return -1
}
