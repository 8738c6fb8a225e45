package platform

import "errors"

// errMissing says that a field is not there, or empty.
var errMissing = errors.New("missing")

// FieldError says which field of a message, or of the settings, is invalid. It names the field as
// it stands on the wire.
type FieldError struct {
	Field string
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }
