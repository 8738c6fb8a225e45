package route

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestFind(t *testing.T) {
	table := []Match{
		0:  {},
		1:  {Path: "/a/*"},
		2:  {Path: "/a/b/*"},
		3:  {Path: "/a/b"},
		4:  {Path: "/a/b", Methods: []string{"POST"}},
		5:  {Path: "/a/b", Methods: []string{"GET"}, Headers: map[string]string{"X-Tier": "gold"}},
		6:  {Host: "*.example"},
		7:  {Host: "*.forms.example", Path: "/a/*"},
		8:  {Host: "forms.example", Path: "/only"},
		9:  {Host: "strict.test", Path: "/x", Methods: []string{"PUT", "GET"}},
		10: {Host: "strict.test", Path: "/x", Methods: []string{"DELETE"}},
	}
	gold := func(name string) string { return map[string]string{"X-Tier": "gold"}[name] }
	plain := func(string) string { return "" }
	for _, row := range []struct {
		host, path, method string
		header             Header
		want               int
	}{
		{"", "/", "GET", plain, 0},
		{"other:80", "/a", "GET", plain, 0},
		{"other", "/a/", "GET", plain, 1},
		{"other", "/a/c/d/e", "GET", plain, 1},
		{"other", "/a/b/", "GET", plain, 2},
		{"other", "/a/b", "GET", plain, 3},
		{"other", "/a/b", "POST", plain, 4},
		{"other", "/a/b", "POST", gold, 4},
		{"other", "/a/b", "GET", gold, 5},
		{"FORMS.example.:8080", "/only", "GET", plain, 8},
		{"forms.example", "/a/b", "GET", plain, 6}, // matches none of the host's own routes
		{"x.forms.example", "/a/b", "GET", plain, 7},
		{"y.x.forms.example", "/b", "GET", plain, 6},
		{"example", "/b", "GET", plain, 0},
		{"[::1]:80", "/b", "GET", plain, 0},
	} {
		got := New(table).Find(Request{row.host, row.path, row.method, row.header})
		if got.Index != row.want || got.Allowed != nil {
			t.Errorf("%s %s%s: %+v, want index %d", row.method, row.host, row.path, got, row.want)
		}
	}
	other := New(table[8:]).Find(Request{"strict.test", "/x", "POST", plain})
	if other.Index != noMatch || !slices.Equal(other.Allowed, []string{"DELETE", "GET", "PUT"}) {
		t.Errorf("request with a method that is not allowed: %+v", other)
	}
	unknown := New(table[8:]).Find(Request{"strict.test", "/y", "POST", plain})
	if unknown.Index != noMatch || len(unknown.Allowed) != 0 {
		t.Errorf("unknown path: %+v", unknown)
	}
}

// drawMatch draws a match from few possible values, so that many matches apply to the same
// requests.
func drawMatch(t *rapid.T) Match {
	return Match{
		Host:    rapid.SampledFrom([]string{"", "a.b", "*.b", "*.a.b"}).Draw(t, "host"),
		Path:    rapid.SampledFrom([]string{"", "/*", "/x", "/x/*", "/x/y", "/x/y/*"}).Draw(t, "path"),
		Methods: rapid.SampledFrom([][]string{nil, {"GET"}, {"POST"}, {"GET", "POST"}}).Draw(t, "methods"),
		Headers: rapid.SampledFrom([]map[string]string{nil, {"A": "1"}, {"A": "2"}, {"B": "1"}, {"A": "1", "B": "1"}}).
			Draw(t, "headers"),
	}
}

// matches reports whether a request meets the condition of a match. Unlike a table, it uses no
// lookup.
func matches(m Match, r Request) bool {
	if !matchesHost(m.Host, r.Host) || !matchesPath(m.pathPattern(), r.Path) {
		return false
	}
	for name, value := range m.Headers {
		if r.Header(name) != value {
			return false
		}
	}
	return len(m.Methods) == 0 || slices.Contains(m.Methods, r.Method)
}

// matchesHost reports whether a host matches a pattern, which may be empty.
func matchesHost(pattern, host string) bool {
	suffix, isWildcard := strings.CutPrefix(pattern, "*")
	return pattern == "" || pattern == host || isWildcard && strings.HasSuffix(host, suffix)
}

// matchesPath reports whether a path matches a pattern.
func matchesPath(pattern, path string) bool {
	prefix, isPrefix := strings.CutSuffix(pattern, "*")
	if isPrefix {
		return strings.HasPrefix(path, prefix)
	}
	return path == pattern
}

// isMoreSpecific reports whether x is more specific than y. Both must match the same request.
func isMoreSpecific(x, y Match) bool {
	rank := func(m Match) []int {
		host, path := 3*len(m.Host), 3*len(m.pathPattern())
		if !strings.HasPrefix(m.Host, "*") {
			host += 1000 * min(len(m.Host), 1)
		}
		if !strings.HasSuffix(m.pathPattern(), "*") {
			path += 1000
		}
		return []int{host, path, min(len(m.Methods), 1), len(m.Headers)}
	}
	return slices.Compare(rank(x), rank(y)) > 0
}

// A table must find the same match as a search through all matches. If no matches overlap, one of
// those that apply to a request must always be more specific than the others.
func TestTableFindsMostSpecificMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Match
		for _, m := range rapid.SliceOfN(rapid.Custom(drawMatch), 1, 12).Draw(t, "matches") {
			if !slices.ContainsFunc(all, m.Overlaps) {
				all = append(all, m)
			}
		}
		host := rapid.SampledFrom([]string{"", "a.b", "c.b", "c.a.b", "z"}).Draw(t, "request host")
		path := rapid.SampledFrom([]string{"/", "/x", "/x/", "/x/y", "/x/y/z", "/q"}).Draw(t, "request path")
		method := rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "request method")
		values := rapid.SampledFrom([]map[string]string{{}, {"A": "1"}, {"A": "2", "B": "1"}, {"A": "1", "B": "1"}}).
			Draw(t, "request headers")
		request := Request{host, path, method, func(name string) string { return values[name] }}
		want := noMatch
		for n, m := range all {
			if matches(m, request) && (want < 0 || isMoreSpecific(m, all[want])) {
				want = n
			}
		}
		for n, m := range all {
			if n != want && matches(m, request) && !isMoreSpecific(all[want], m) {
				t.Fatalf("%+v and %+v are equally specific, but do not overlap", all[want], m)
			}
		}
		if got := New(all).Find(request); got.Index != want {
			t.Fatalf("%s %s%s %v: index %d, want %d of %+v", method, host, path, values, got.Index, want, all)
		}
	})
}

func TestMatchCheck(t *testing.T) {
	for _, m := range []Match{
		{Host: "A.example"}, {Host: "*"}, {Host: "*."}, {Host: "a.*.b"}, {Host: "a:80"},
		{Path: "a"}, {Path: "/a*"}, {Path: "/*/b"}, {Path: "/a/../b"}, {Path: "/a//b"}, {Path: "/%61"},
	} {
		if m.Check() == nil {
			t.Errorf("%+v is accepted", m)
		}
	}
	for _, m := range []Match{{}, {Host: "*.example", Path: "/*"}, {Host: "a", Path: "/a/%20b/*"}, {Path: "/a/"}} {
		if err := m.Check(); err != nil {
			t.Errorf("%+v: %v", m, err)
		}
	}
}

// ambiguousPaths are paths that servers interpret differently.
var ambiguousPaths = []string{
	"", "x", "*", "/a b",
	"/a/../b", "/a/./b", "/..", "/a/..;x=1/b", "/a/..\\b",
	"/a/%2e%2e/b", "/a/.%2E/b", "/a/%252e%252e/b", "/a/..%2fb", "/a/..%5cb",
	"/a/%00b", "/a%0d%0ab", "/a/%zz", "/a/%2",
}

func TestAmbiguousPathsAreRejected(t *testing.T) {
	for _, path := range append(ambiguousPaths, "//a", "/a//b", "/a%2Fb", "/a%5Cb", "/a\\b", "/%61", "/a%2Db", "/a/%7E") {
		var syntax *SyntaxError
		if err := CheckPath(path); !errors.As(err, &syntax) || syntax.Field != FieldPath {
			t.Errorf("%q: %v, want a SyntaxError of the path", path, err)
		}
	}
	for _, path := range []string{"/", "/a", "/a/", "/a.b/c..d/...", "/a/%20%C3%A4", "/a;v=1/b", "/~a/-_"} {
		if err := CheckPath(path); err != nil {
			t.Errorf("%q: %v", path, err)
		}
	}
	for _, path := range append(ambiguousPaths, "/form%2Dlookup/x", "/form;x/y", "/form\\..\\x") {
		if first, err := FirstSegment(path); err == nil {
			t.Errorf("%q is accepted as %q", path, first)
		}
	}
	for path, want := range map[string]string{
		"/": "", "//a": "", "/a/b%2Fc//d": "a", "/a": "a", "/a/": "a", "/a/%7Eb": "a",
	} {
		if first, err := FirstSegment(path); err != nil || first != want {
			t.Errorf("%q: %q, %v", path, first, err)
		}
	}
}

// Servers that decode a path, servers that remove dot segments, and servers that do neither must
// all interpret an accepted path in the same way.
func FuzzCheckPath(f *testing.F) {
	for _, path := range append(ambiguousPaths, "/a/b", "/a;b/%20") {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, path string) {
		if CheckPath(path) != nil {
			return
		}
		u, err := url.ParseRequestURI(path)
		if err != nil || strings.ContainsAny(path, "?#") {
			t.Skip()
		}
		cleaned := strings.TrimSuffix(u.JoinPath(".").EscapedPath(), "/")
		if cleaned != strings.TrimSuffix(u.EscapedPath(), "/") {
			t.Errorf("%q is also interpreted as %q", path, cleaned)
		}
		if strings.Count(u.Path, "/") != strings.Count(path, "/") {
			t.Errorf("%q has different segments when decoded: %q", path, u.Path)
		}
	})
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 10000} {
		var all []Match
		for i := range n {
			all = append(all, Match{Host: fmt.Sprintf("h%d.example", i%100), Path: fmt.Sprintf("/p%d/*", i)})
		}
		table := New(all)
		b.Run(fmt.Sprint(n, " routes"), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				table.Find(Request{all[i%n].Host, "/p1/a/b", "GET", nil})
			}
		})
	}
}
