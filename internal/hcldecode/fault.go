package hcldecode

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// Position is a position in a file. Its zero value is no position.
type Position struct {
	File         string
	Line, Column int // from 1
}

// PositionOf returns the start of a range.
func PositionOf(r hcl.Range) Position {
	return Position{File: r.Filename, Line: r.Start.Line, Column: r.Start.Column}
}

// String returns file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Error is one error in a file.
type Error struct {
	Position Position // zero if the fault is of the file as a whole
	Message  string
}

// Error returns the place and the message on one line.
func (f Error) Error() string {
	if f.Position == (Position{}) {
		return f.Message
	}
	return f.Position.String() + ": " + f.Message
}

// ErrorList is the error for a file: its faults in the file's order, each once.
type ErrorList []Error

// Error returns one line for each fault.
func (l ErrorList) Error() string {
	var lines []string
	for _, f := range l {
		lines = append(lines, f.Error())
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

// Unwrap returns the faults.
func (l ErrorList) Unwrap() []error {
	var errs []error
	for _, f := range l {
		errs = append(errs, f)
	}
	return errs
}

// NewErrorList returns the errors among the diagnostics.
func NewErrorList(diags hcl.Diagnostics) ErrorList {
	var errs []*hcl.Diagnostic
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			errs = append(errs, d)
		}
	}
	slices.SortStableFunc(errs, compareByOffset)
	var faults ErrorList
	for _, d := range errs {
		if f := newError(d); !slices.Contains(faults, f) {
			faults = append(faults, f)
		}
	}
	return faults
}

// compareByOffset orders diagnostics by their places. One without a place is equal to all others.
func compareByOffset(a, b *hcl.Diagnostic) int {
	if a.Subject == nil || b.Subject == nil {
		return 0
	}
	return a.Subject.Start.Byte - b.Subject.Start.Byte
}

// newError returns the fault of a diagnostic, with a message of one line.
func newError(d *hcl.Diagnostic) Error {
	f := Error{Message: d.Summary}
	if d.Detail != "" {
		f.Message += ": " + strings.ReplaceAll(d.Detail, "\n", " ")
	}
	if d.Subject != nil {
		f.Position = PositionOf(*d.Subject)
	}
	return f
}
