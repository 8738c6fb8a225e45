package file

import "errors"

// blockName is the name of the configuration block for the file. It is the Path of errors in the
// document as a whole.
const blockName = "roster"

// Causes of FieldErrors.
var (
	ErrMissing      = errors.New("missing")
	ErrTrailingData = errors.New("data after the list")
)

// FieldError reports an invalid field of a document by its path, as in "endpoints[2].id".
type FieldError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FieldError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the reason why the field is invalid.
func (e *FieldError) Unwrap() error { return e.Err }
