package hcldecode

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// Place is a position in a file. Its zero value is no position.
type Place struct {
	File         string
	Line, Column int // from 1
}

// PlaceOf returns the start of a range.
func PlaceOf(r hcl.Range) Place {
	return Place{File: r.Filename, Line: r.Start.Line, Column: r.Start.Column}
}

// String returns file:line:column.
func (p Place) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Fault is one error in a file.
type Fault struct {
	Place   Place // zero if the fault is of the file as a whole
	Message string
}

// Error returns the place and the message on one line.
func (f Fault) Error() string {
	if f.Place == (Place{}) {
		return f.Message
	}
	return f.Place.String() + ": " + f.Message
}

// FaultList is the error for a file: its faults in the file's order, each once.
type FaultList []Fault

// Error returns one line for each fault.
func (l FaultList) Error() string {
	var lines []string
	for _, f := range l {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l FaultList) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Unwrap returns the faults.
func (l FaultList) Unwrap() []error {
	var errs []error
	for _, f := range l {
		errs = append(errs, f)
	}
	return errs
}

// Faults returns the errors among the diagnostics.
func Faults(diags hcl.Diagnostics) FaultList {
	var errs []*hcl.Diagnostic
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			errs = append(errs, d)
		}
	}
	slices.SortStableFunc(errs, compareByOffset)
	var faults FaultList
	for _, d := range errs {
		if f := newFault(d); !slices.Contains(faults, f) {
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

// newFault returns the fault of a diagnostic, with a message of one line.
func newFault(d *hcl.Diagnostic) Fault {
	f := Fault{Message: d.Summary}
	if d.Detail != "" {
		f.Message += ": " + strings.ReplaceAll(d.Detail, "\n", " ")
	}
	if d.Subject != nil {
		f.Place = PlaceOf(*d.Subject)
	}
	return f
}
