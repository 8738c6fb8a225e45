package platform

import "errors"

// errMissing means that a field is absent or empty.
var errMissing = errors.New("missing")

// FieldError reports an invalid field of a message or of the settings, by the field's name on the
// wire.
type FieldError struct {
	Field string
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the reason why the field is invalid.
func (e *FieldError) Unwrap() error { return e.Err }
