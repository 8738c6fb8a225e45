// Package hcldecode reads the bodies of HCL files into values, with units where they are wanted, and collects all that is
// wrong: one line for each fault, with file, line, column and reason.
package hcldecode

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// Reader reads bodies into values and collects what is wrong with them.
type Reader struct {
	Vars   *hcl.EvalContext
	Diags  hcl.Diagnostics
	Places map[any]hcl.Range // where the value behind each pointer stands in the file
}

// Fields maps the attributes of a body to where their values go. A name that ends in ! must be there.
type Fields map[string]any

// Blocks maps the types of a body's blocks to what reads them. "kind name" takes a label.
type Blocks map[string]func(b *hcl.Block)

// Fault adds one.
func (r *Reader) Fault(at hcl.Range, format string, args ...any) {
	r.Diags = append(r.Diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at})
}

// Body reads a body. What it does not know is a fault of the file. It tells whether all was well: what does not add up
// after a fault is mostly the fault's echo.
func (r *Reader) Body(body hcl.Body, f Fields, b Blocks) bool {
	before := len(r.Diags)
	var schema hcl.BodySchema
	for name := range f {
		name, required := strings.CutSuffix(name, "!")
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name, Required: required})
	}
	for name := range b {
		kind, label, labelled := strings.Cut(name, " ")
		block := hcl.BlockHeaderSchema{Type: kind}
		if labelled {
			block.LabelNames = []string{label}
		}
		schema.Blocks = append(schema.Blocks, block)
	}
	content, diags := body.Content(&schema)
	r.Diags = append(r.Diags, diags...)
	if content == nil {
		return false
	}
	var names []string
	for name := range f {
		names = append(names, name)
	}
	slices.Sort(names) // faults are told in the same order each time
	for _, name := range names {
		if a := content.Attributes[strings.TrimSuffix(name, "!")]; a != nil {
			if r.Places == nil {
				r.Places = map[any]hcl.Range{}
			}
			r.Places[f[name]] = a.Range
			r.value(a, f[name])
		}
	}
	for _, block := range content.Blocks {
		for name, read := range b {
			if kind, _, _ := strings.Cut(name, " "); kind == block.Type {
				read(block)
			}
		}
	}
	return len(r.Diags) == before
}

// Rate is a number of times a second, written with its unit: "50/s" or "3000/min".
type Rate float64

// Share is a number from 0 to 1.
type Share float64

// Size is a number of bytes, written with its unit: "64KiB", "128MiB" or "2GiB".
type Size int64

var sizeUnits = map[string]float64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

func (r *Reader) size(name string, at hcl.Range, v cty.Value, to *Size) {
	text, ok := r.text(name, at, v, `a size with its unit, such as "128MiB"`)
	if !ok {
		return
	}
	digits := strings.TrimRight(text, "KMGiB")
	x, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
	unit := sizeUnits[text[len(digits):]]
	if err != nil || unit == 0 || x < 0 {
		r.Fault(at, `%s: %q is no size; write such as "64KiB" or "128MiB"`, name, text)
		return
	}
	*to = Size(x * unit)
}

// value reads one attribute into a pointer.
func (r *Reader) value(a *hcl.Attribute, to any) {
	v, diags := a.Expr.Value(r.Vars)
	r.Diags = append(r.Diags, diags...)
	if diags.HasErrors() || v.IsNull() || !v.IsWhollyKnown() {
		return
	}
	at := a.Expr.Range()
	switch to := to.(type) {
	case *time.Duration:
		r.duration(a.Name, at, v, to)
	case *Size:
		r.size(a.Name, at, v, to)
	case *Rate:
		text, ok := r.text(a.Name, at, v, `a rate with its unit, such as "50/s"`)
		if !ok {
			return
		}
		n, unit, _ := strings.Cut(text, "/")
		per := map[string]float64{"s": 1, "min": 60, "h": 3600}[unit]
		x, err := strconv.ParseFloat(strings.TrimSpace(n), 64)
		if err != nil || per == 0 || x < 0 {
			r.Fault(at, `%s: %q is no rate; write such as "50/s" or "3000/min"`, a.Name, text)
			return
		}
		*to = Rate(x / per)
	case *Share:
		x, ok := r.number(a.Name, at, v)
		if ok && (x < 0 || x > 1) {
			r.Fault(at, "%s: %g is no share: it is not from 0 to 1", a.Name, x)
			ok = false
		}
		if ok {
			*to = Share(x)
		}
	case *float64:
		if x, ok := r.number(a.Name, at, v); ok {
			if x < 0 {
				r.Fault(at, "%s: %g is below 0", a.Name, x)
				return
			}
			*to = x
		}
	case *int:
		if x, ok := r.number(a.Name, at, v); ok {
			if x != float64(int(x)) || x < 0 {
				r.Fault(at, "%s: %g is no whole number from 0 up", a.Name, x)
				return
			}
			*to = int(x)
		}
	case *bool:
		if b, err := convert.Convert(v, cty.Bool); err == nil {
			*to = b.True()
		} else {
			r.Fault(at, "%s: true or false is wanted", a.Name)
		}
	case *string:
		if text, ok := r.text(a.Name, at, v, "a text in quotes"); ok {
			*to = text
		}
	case *[]uint64:
		r.each(a.Name, at, v, func(v cty.Value) {
			if x, ok := r.number(a.Name, at, v); ok {
				*to = append(*to, uint64(x))
			}
		})
	case *[]float64:
		r.each(a.Name, at, v, func(v cty.Value) {
			if x, ok := r.number(a.Name, at, v); ok {
				*to = append(*to, x)
			}
		})
	case *[]time.Duration:
		r.each(a.Name, at, v, func(v cty.Value) {
			var d time.Duration
			r.duration(a.Name, at, v, &d)
			*to = append(*to, d)
		})
	case *[]string:
		r.each(a.Name, at, v, func(v cty.Value) {
			if s, err := convert.Convert(v, cty.String); err == nil {
				*to = append(*to, s.AsString())
			} else {
				r.Fault(at, "%s: plain values are wanted", a.Name)
			}
		})
	default:
		panic(fmt.Sprintf("hclbody: no way to read a %T", to))
	}
}

func (r *Reader) each(name string, at hcl.Range, v cty.Value, f func(cty.Value)) {
	if !v.CanIterateElements() || v.Type().IsMapType() || v.Type().IsObjectType() {
		r.Fault(at, "%s: a list in brackets is wanted", name)
		return
	}
	for it := v.ElementIterator(); it.Next(); {
		_, e := it.Element()
		f(e)
	}
}

func (r *Reader) text(name string, at hcl.Range, v cty.Value, want string) (string, bool) {
	if v.Type() != cty.String {
		r.Fault(at, "%s: %s is wanted", name, want)
		return "", false
	}
	return v.AsString(), true
}

// number takes numbers, and texts that are numbers: variables set on the command line are texts.
func (r *Reader) number(name string, at hcl.Range, v cty.Value) (float64, bool) {
	n, err := convert.Convert(v, cty.Number)
	if err != nil {
		r.Fault(at, "%s: a number is wanted", name)
		return 0, false
	}
	x, _ := n.AsBigFloat().Float64()
	return x, true
}

func (r *Reader) duration(name string, at hcl.Range, v cty.Value, to *time.Duration) {
	text, ok := r.text(name, at, v, `a time with its unit, such as "250ms"`)
	if !ok {
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		r.Fault(at, `%s: %q is no time; write such as "250ms" or "2.5s"`, name, text)
		return
	}
	*to = d
}

// OneOf reads a block's attribute that must be one of some words.
func OneOf[T ~string](r *Reader, at hcl.Range, name string, value T, words ...T) {
	if !slices.Contains(words, value) {
		r.Fault(at, "%s: %q is none of %s", name, string(value), Join(words))
	}
}

// Join lists words.
func Join[T ~string](words []T) string {
	var out []string
	for _, w := range words {
		out = append(out, string(w))
	}
	return strings.Join(out, ", ")
}

// Where words a range as file:line:column.
func Where(at hcl.Range) string {
	return fmt.Sprintf("%s:%d:%d", at.Filename, at.Start.Line, at.Start.Column)
}

// Faults turns diagnostics into one error of a line each, in the file's order.
func Faults(diags hcl.Diagnostics) error {
	var errs []*hcl.Diagnostic
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			errs = append(errs, d)
		}
	}
	if len(errs) == 0 {
		return nil
	}
	slices.SortStableFunc(errs, func(a, b *hcl.Diagnostic) int {
		if a.Subject == nil || b.Subject == nil {
			return 0
		}
		return a.Subject.Start.Byte - b.Subject.Start.Byte
	})
	var lines []string
	for _, d := range errs {
		line := d.Summary
		if d.Detail != "" {
			line += ": " + strings.ReplaceAll(d.Detail, "\n", " ")
		}
		if d.Subject != nil {
			line = Where(*d.Subject) + ": " + line
		}
		if !slices.Contains(lines, line) {
			lines = append(lines, line)
		}
	}
	return fmt.Errorf("%s", strings.Join(lines, "\n"))
}

// Parse reads the text of a file that is called name in messages.
func Parse(text []byte, name string) (hcl.Body, error) {
	file, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if err := Faults(diags[:min(len(diags), 1)]); err != nil { // what follows a slip of syntax is mostly its echo
		return nil, err
	}
	return file.Body, nil
}
