package hcldecode

import (
	"errors"
	"slices"
	"testing"

	"github.com/hashicorp/hcl/v2"
)

// diagnosticAt returns a diagnostic of severity error in f.hcl, at a line and a byte offset.
func diagnosticAt(line, offset int, summary, detail string) *hcl.Diagnostic {
	return &hcl.Diagnostic{
		Severity: hcl.DiagError,
		Summary:  summary,
		Detail:   detail,
		Subject:  &hcl.Range{Filename: "f.hcl", Start: hcl.Pos{Line: line, Column: 3, Byte: offset}},
	}
}

func TestNewErrorList(t *testing.T) {
	warning := diagnosticAt(1, 0, "warning", "")
	warning.Severity = hcl.DiagWarning
	list := NewErrorList(hcl.Diagnostics{
		diagnosticAt(9, 90, "b", ""),
		warning,
		diagnosticAt(4, 40, "a", "two\nlines"),
		diagnosticAt(9, 90, "b", ""),
	})
	want := ErrorList{
		{Position: Position{File: "f.hcl", Line: 4, Column: 3}, Message: "a: two lines"},
		{Position: Position{File: "f.hcl", Line: 9, Column: 3}, Message: "b"},
	}
	if !slices.Equal(list, want) {
		t.Errorf("got %+v, want %+v", list, want)
	}
	if got, want := list.Error(), "f.hcl:4:3: a: two lines\nf.hcl:9:3: b"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestErrorWithoutPositionIsItsMessage(t *testing.T) {
	list := NewErrorList(hcl.Diagnostics{{Severity: hcl.DiagError, Summary: "a"}})
	if got := list.Error(); got != "a" {
		t.Errorf("got %q, want \"a\"", got)
	}
}

func TestEmptyErrorListIsNilError(t *testing.T) {
	if err := NewErrorList(nil).Err(); err != nil {
		t.Errorf("got %v, want no error", err)
	}
}

func TestErrorListUnwraps(t *testing.T) {
	_, err := Parse([]byte("x = "), "f.hcl")
	var list ErrorList
	if !errors.As(err, &list) || len(list) != 1 {
		t.Fatalf("got %T %v, want an ErrorList with one error", err, err)
	}
	var first Error
	if !errors.As(err, &first) || first != list[0] || first.Position != (Position{File: "f.hcl", Line: 1, Column: 5}) {
		t.Errorf("unwrapped to %+v, want the error at 1:5 of %+v", first, list)
	}
}
