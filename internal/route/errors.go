package route

import "fmt"

// SyntaxError is the error for an ambiguous or invalid path, and for an invalid host or path
// pattern.
type SyntaxError struct {
	Field   string // FieldHost or FieldPath
	Problem string
}

// The values of SyntaxError.Field.
const (
	FieldHost = "host"
	FieldPath = "path"
)

// Error implements error.
func (e *SyntaxError) Error() string { return e.Field + ": " + e.Problem }

// hostError returns a *SyntaxError for a host pattern.
func hostError(format string, args ...any) error {
	return &SyntaxError{Field: FieldHost, Problem: fmt.Sprintf(format, args...)}
}

// pathError returns a *SyntaxError for a path or a path pattern.
func pathError(format string, args ...any) error {
	return &SyntaxError{Field: FieldPath, Problem: fmt.Sprintf(format, args...)}
}
