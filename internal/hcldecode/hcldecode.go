// Package hcldecode decodes the bodies of HCL files into values, with units where they are
// required, and collects all faults of a file: an ErrorList holds each with its place and message.
package hcldecode

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Decoder decodes bodies into values and collects their faults. Its zero value is ready
// for use.
type Decoder struct {
	Vars   *hcl.EvalContext // variables and functions of expressions; nil: none
	Diags  hcl.Diagnostics
	Ranges map[any]hcl.Range // by pointer to a value: the attribute that set it
}

// Fields maps the attributes of a body to pointers to their values. A name that ends in "!" marks a
// required attribute. See Decoder.Body for the types of values.
type Fields map[string]any

// Blocks maps the types of a body's blocks to functions that decode them. The key "type name" is
// for blocks with one label.
type Blocks map[string]func(b *hcl.Block)

// Parse parses the text of a file that is called name in messages. Its error is an ErrorList with
// the first syntax error only: others mostly follow from it.
func Parse(text []byte, name string) (hcl.Body, error) {
	file, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if err := NewErrorList(diags[:min(len(diags), 1)]).Err(); err != nil {
		return nil, err
	}
	return file.Body, nil
}

// Body decodes a body. Attributes and blocks that are not expected are faults. It reports whether
// there was no fault: after one the values need no further checks, which would mostly find its
// consequences.
//
// A value is a *time.Duration, *Size, *Rate, *Fraction, *float64, *int, *bool or *string, or a
// pointer to a slice of uint64, float64, time.Duration or string. Body panics if it is of another
// type.
func (r *Decoder) Body(body hcl.Body, fields Fields, blocks Blocks) bool {
	faultsBefore := len(r.Diags)
	schema, decoders := newSchema(fields, blocks)
	content, diags := body.Content(schema)
	r.Diags = append(r.Diags, diags...)
	if content == nil {
		return false
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) { // faults are found in the same order each time
		if a := content.Attributes[strings.TrimSuffix(name, "!")]; a != nil {
			if r.Ranges == nil {
				r.Ranges = map[any]hcl.Range{}
			}
			r.Ranges[fields[name]] = a.Range
			r.attribute(a, fields[name])
		}
	}
	for _, block := range content.Blocks {
		decoders[block.Type](block)
	}
	return len(r.Diags) == faultsBefore
}

// newSchema returns the schema of a body, and the decoders of its blocks by their types.
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

// Errorf adds a fault at a place in the file.
func (r *Decoder) Errorf(at hcl.Range, format string, args ...any) {
	r.Diags = append(r.Diags, &hcl.Diagnostic{
		Severity: hcl.DiagError,
		Summary:  fmt.Sprintf(format, args...),
		Subject:  &at,
	})
}

// OneOf adds a fault if the value of an attribute is not one of those allowed.
func OneOf[T ~string](r *Decoder, at hcl.Range, name string, value T, allowed ...T) {
	if !slices.Contains(allowed, value) {
		r.Errorf(at, "%s: %q is not one of %s", name, string(value), Join(allowed))
	}
}

// Join returns the values as a list for messages.
func Join[T ~string](values []T) string {
	var texts []string
	for _, v := range values {
		texts = append(texts, string(v))
	}
	return strings.Join(texts, ", ")
}
