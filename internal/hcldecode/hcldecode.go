// Package hcldecode decodes the bodies of HCL files into Go values. It collects all errors of a
// file in an ErrorList instead of stopping at the first, except for syntax errors. Durations, sizes
// and rates must be written with their units.
package hcldecode

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Decoder decodes bodies into values and collects the errors that it finds. The zero value is ready
// to use.
type Decoder struct {
	Vars   *hcl.EvalContext  // variables and functions that expressions may use; nil: none
	Diags  hcl.Diagnostics   // the diagnostics collected so far
	Ranges map[any]hcl.Range // range of the attribute that set a value, by pointer to the value
}

// Fields maps the names of a body's attributes to pointers to the values that they set. A name that
// ends in "!" marks a required attribute. Decoder.Body lists the supported types.
type Fields map[string]any

// Blocks maps the types of a body's blocks to the functions that decode them. For blocks with a
// label, the key is the type, a space and a name for the label, as in "listener name".
type Blocks map[string]func(b *hcl.Block)

// Parse parses the text of a file. Name is the file name in error messages. The error is an
// ErrorList that holds only the first syntax error, because others are usually caused by the first.
func Parse(text []byte, name string) (hcl.Body, error) {
	file, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if err := NewErrorList(diags[:min(len(diags), 1)]).Err(); err != nil {
		return nil, err
	}
	return file.Body, nil
}

// Body decodes a body. An attribute or block that is in neither fields nor blocks is an error. Body
// returns true if there is no error, neither in the body itself nor in its blocks. If it returns
// false, callers should not validate the values, because most further errors would be caused by the
// first.
//
// Fields must hold values of type *time.Duration, *Size, *Rate, *Fraction, *float64, *int, *bool or
// *string, or pointers to slices of uint64, float64, time.Duration or string. Body panics if the
// file sets a field of another type.
func (d *Decoder) Body(body hcl.Body, fields Fields, blocks Blocks) bool {
	errorsBefore := len(d.Diags)
	schema, decoders := newSchema(fields, blocks)
	content, diags := body.Content(schema)
	d.Diags = append(d.Diags, diags...)
	if content == nil {
		return false
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) { // sorted, so that errors are always found in the same order
		if a := content.Attributes[strings.TrimSuffix(name, "!")]; a != nil {
			if d.Ranges == nil {
				d.Ranges = map[any]hcl.Range{}
			}
			d.Ranges[fields[name]] = a.Range
			d.attribute(a, fields[name])
		}
	}
	for _, block := range content.Blocks {
		decoders[block.Type](block)
	}
	return len(d.Diags) == errorsBefore
}

// newSchema returns the schema of a body, and the function that decodes each type of block.
func newSchema(fields Fields, blocks Blocks) (*hcl.BodySchema, map[string]func(*hcl.Block)) {
	var schema hcl.BodySchema
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		name, required := strings.CutSuffix(name, "!")
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name, Required: required})
	}
	decoders := map[string]func(*hcl.Block){}
	for _, key := range slices.Sorted(maps.Keys(blocks)) {
		kind, label, labelled := strings.Cut(key, " ")
		header := hcl.BlockHeaderSchema{Type: kind}
		if labelled {
			header.LabelNames = []string{label}
		}
		schema.Blocks = append(schema.Blocks, header)
		decoders[kind] = blocks[key]
	}
	return &schema, decoders
}

// Errorf adds an error at a range of the file.
func (d *Decoder) Errorf(at hcl.Range, format string, args ...any) {
	d.Diags = append(d.Diags, &hcl.Diagnostic{
		Severity: hcl.DiagError,
		Summary:  fmt.Sprintf(format, args...),
		Subject:  &at,
	})
}

// OneOf adds an error if value is not one of the allowed values of the named attribute.
func OneOf[T ~string](d *Decoder, at hcl.Range, name string, value T, allowed ...T) {
	if !slices.Contains(allowed, value) {
		d.Errorf(at, "%s: %q is not one of %s", name, string(value), Join(allowed))
	}
}

// Join returns the values as a comma-separated list, for error messages.
func Join[T ~string](values []T) string {
	var texts []string
	for _, v := range values {
		texts = append(texts, string(v))
	}
	return strings.Join(texts, ", ")
}
