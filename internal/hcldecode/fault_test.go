package hcldecode

import (
	"errors"
	"slices"
	"testing"

	"github.com/hashicorp/hcl/v2"
)

// diagnosticAt returns an error at a line and a byte of the file f.hcl.
func diagnosticAt(line, offset int, summary, detail string) *hcl.Diagnostic {
	return &hcl.Diagnostic{
		Severity: hcl.DiagError,
		Summary:  summary,
		Detail:   detail,
		Subject:  &hcl.Range{Filename: "f.hcl", Start: hcl.Pos{Line: line, Column: 3, Byte: offset}},
	}
}

func TestFaultsOfDiagnostics(t *testing.T) {
	warning := diagnosticAt(1, 0, "warning", "")
	warning.Severity = hcl.DiagWarning
	faults := NewErrorList(hcl.Diagnostics{
		diagnosticAt(9, 90, "b", ""),
		warning,
		diagnosticAt(4, 40, "a", "two\nlines"),
		diagnosticAt(9, 90, "b", ""),
	})
	want := ErrorList{
		{Position: Position{File: "f.hcl", Line: 4, Column: 3}, Message: "a: two lines"},
		{Position: Position{File: "f.hcl", Line: 9, Column: 3}, Message: "b"},
	}
	if !slices.Equal(faults, want) {
		t.Errorf("got %+v, want %+v", faults, want)
	}
	if got, want := faults.Error(), "f.hcl:4:3: a: two lines\nf.hcl:9:3: b"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestFaultWithoutPlaceIsItsMessage(t *testing.T) {
	faults := NewErrorList(hcl.Diagnostics{{Severity: hcl.DiagError, Summary: "a"}})
	if got := faults.Error(); got != "a" {
		t.Errorf("got %q", got)
	}
}

func TestNoFaultIsNoError(t *testing.T) {
	if err := NewErrorList(nil).Err(); err != nil {
		t.Errorf("got %v", err)
	}
}

func TestFaultListIsUnwrapped(t *testing.T) {
	_, err := Parse([]byte("x = "), "f.hcl")
	var list ErrorList
	if !errors.As(err, &list) || len(list) != 1 {
		t.Fatalf("got %T %v, want one fault", err, err)
	}
	var fault Error
	if !errors.As(err, &fault) || fault != list[0] || fault.Position != (Position{File: "f.hcl", Line: 1, Column: 5}) {
		t.Errorf("got %+v of %+v", fault, list)
	}
}
