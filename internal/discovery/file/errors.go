package file

import "errors"

// blockName is the name of the block that configures the file. Errors that concern the document and
// none of its fields begin with it.
const blockName = "roster"

// Causes of a FieldError.
var (
	ErrMissing      = errors.New("missing")
	ErrTrailingData = errors.New("data after the list")
)

// FieldError says which field of a document is invalid, by its path, as in "endpoints[2].id".
type FieldError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FieldError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }
