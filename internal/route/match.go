// Package route decides which route a request takes, and rejects paths that a server could read as
// another route's. It does no I/O, has no clock, and its tables are immutable.
package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Match is the condition under which a request takes a route. Empty fields match all requests.
type Match struct {
	Host    string            // "forms.example", or "*.example" for the names below it; lower case, without a port
	Path    string            // "/a/b", or "/a/*" for all below /a/
	Methods []string          // any of them
	Headers map[string]string // all of them, with exactly these values; names in canonical form
}

// Header returns the value of a request's header by its canonical name, or "" if there is none.
type Header func(name string) string

// Check returns an error if a host or path pattern is invalid.
func (m Match) Check() error {
	host := strings.TrimPrefix(m.Host, "*.")
	emptyWildcard := strings.HasPrefix(m.Host, "*.") && host == ""
	switch {
	case strings.ContainsAny(host, "*/: ") || host != strings.ToLower(host) || emptyWildcard:
		return fmt.Errorf(`host: %q is neither a name in lower case nor such as "*.example"`, m.Host)
	case m.Path == "":
		return nil
	case strings.Contains(strings.TrimSuffix(m.Path, "/*"), "*"):
		return fmt.Errorf(`path: %q has a star elsewhere than in a last "/*"`, m.Path)
	}
	return Check(strings.TrimSuffix(m.Path, "*"))
}

// Overlaps reports whether some request meets both conditions and neither is more specific.
func (m Match) Overlaps(other Match) bool {
	if m.Host != other.Host || m.pathPattern() != other.pathPattern() {
		return false // different patterns of the same length match no common request
	}
	if m.hasMethods() != other.hasMethods() || len(m.Headers) != len(other.Headers) {
		return false // one of them is more specific
	}
	sharesMethod := slices.ContainsFunc(m.Methods, func(name string) bool { return slices.Contains(other.Methods, name) })
	if m.hasMethods() && !sharesMethod {
		return false
	}
	for name, value := range m.Headers {
		if otherValue, ok := other.Headers[name]; ok && otherValue != value {
			return false
		}
	}
	return true
}

// pathPattern returns the path pattern, also if it is empty.
func (m Match) pathPattern() string { return cmp.Or(m.Path, "/*") }

func (m Match) hasMethods() bool { return len(m.Methods) > 0 }
