// Package route finds the route of a request, and rejects ambiguous paths: those that an endpoint
// could interpret as the path of a different route. It does no I/O and uses no clock, and its
// tables are immutable.
package route

import (
	"cmp"
	"slices"
	"strings"
)

// Match is the condition that a request must meet to use a route. An empty field matches all
// requests.
type Match struct {
	Host    string            // "forms.example", or "*.example" for the names below it; lower case, without a port
	Path    string            // "/a/b", or "/a/*" for all paths below /a/
	Methods []string          // the method must be one of them
	Headers map[string]string // all are required, with exactly these values; names in canonical form
}

// Header returns the value of a request's header by its canonical name, or "" if there is none.
type Header func(name string) string

// Check returns a *SyntaxError if a host or path pattern is invalid.
func (m Match) Check() error {
	if !isHostPattern(m.Host) {
		return hostError(`%q is neither a lower-case host name nor a pattern such as "*.example"`, m.Host)
	}
	if m.Path == "" {
		return nil
	}
	if strings.Contains(strings.TrimSuffix(m.Path, "/*"), "*") {
		return pathError(`%q contains "*" in a place other than a final "/*"`, m.Path)
	}
	return CheckPath(strings.TrimSuffix(m.Path, "*"))
}

// isHostPattern reports whether a pattern is empty, a name in lower case, or "*." and such a name.
func isHostPattern(pattern string) bool {
	name, isWildcard := strings.CutPrefix(pattern, "*.")
	isEmptyWildcard := isWildcard && name == ""
	return !isEmptyWildcard && !strings.ContainsAny(name, "*/: ") && name == strings.ToLower(name)
}

// Overlaps reports whether some request meets both conditions and neither is more specific.
func (m Match) Overlaps(other Match) bool {
	if m.Host != other.Host || m.pathPattern() != other.pathPattern() {
		return false // one is more specific or, with the same length, no request matches both
	}
	if m.hasMethods() != other.hasMethods() || len(m.Headers) != len(other.Headers) {
		return false // one condition is more specific
	}
	return m.hasCommonMethod(other) && !m.hasContradictingHeader(other)
}

// hasCommonMethod reports whether some method meets both conditions. Both must list methods, or
// neither.
func (m Match) hasCommonMethod(other Match) bool {
	isInOther := func(method string) bool { return slices.Contains(other.Methods, method) }
	return !m.hasMethods() || slices.ContainsFunc(m.Methods, isInOther)
}

// hasContradictingHeader reports whether the conditions require different values of one header.
func (m Match) hasContradictingHeader(other Match) bool {
	for name, value := range m.Headers {
		if otherValue, ok := other.Headers[name]; ok && otherValue != value {
			return true
		}
	}
	return false
}

// pathPattern returns the path pattern. An empty Path is equivalent to "/*".
func (m Match) pathPattern() string { return cmp.Or(m.Path, "/*") }

func (m Match) hasMethods() bool { return len(m.Methods) > 0 }
