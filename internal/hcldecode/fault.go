package hcldecode

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// Position is a position in a file. The zero value means that the position is not known.
type Position struct {
	File         string
	Line, Column int // both start at 1
}

// PositionOf returns the position at which a range starts.
func PositionOf(r hcl.Range) Position {
	return Position{File: r.Filename, Line: r.Start.Line, Column: r.Start.Column}
}

// String formats the position as file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Error is one error that was found in a file.
type Error struct {
	Position Position // zero if the error concerns the file as a whole
	Message  string
}

// Error returns the position and the message on one line.
func (e Error) Error() string {
	if e.Position == (Position{}) {
		return e.Message
	}
	return e.Position.String() + ": " + e.Message
}

// ErrorList is the error for an invalid file. It holds the errors found in the file in the order of
// their positions, without duplicates.
type ErrorList []Error

// Error returns one line for each error of the list.
func (l ErrorList) Error() string {
	var lines []string
	for _, e := range l {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l ErrorList) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Unwrap returns the errors of the list, so that errors.As finds an Error.
func (l ErrorList) Unwrap() []error {
	var errs []error
	for _, e := range l {
		errs = append(errs, e)
	}
	return errs
}

// NewErrorList converts the diagnostics of severity error to an ErrorList, sorted by position and
// without duplicates. It omits warnings.
func NewErrorList(diags hcl.Diagnostics) ErrorList {
	var errs []*hcl.Diagnostic
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			errs = append(errs, d)
		}
	}
	slices.SortStableFunc(errs, compareByOffset)
	var list ErrorList
	for _, d := range errs {
		if e := newError(d); !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	return list
}

// compareByOffset orders diagnostics by their byte offsets. One without a position is equal to all
// others.
func compareByOffset(a, b *hcl.Diagnostic) int {
	if a.Subject == nil || b.Subject == nil {
		return 0
	}
	return a.Subject.Start.Byte - b.Subject.Start.Byte
}

// newError converts a diagnostic to an Error. It puts summary and detail on one line.
func newError(d *hcl.Diagnostic) Error {
	e := Error{Message: d.Summary}
	if d.Detail != "" {
		e.Message += ": " + strings.ReplaceAll(d.Detail, "\n", " ")
	}
	if d.Subject != nil {
		e.Position = PositionOf(*d.Subject)
	}
	return e
}
