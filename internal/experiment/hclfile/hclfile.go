// Package hclfile reads experiment files: HCL that says what to run and what results are required.
// docs/lab.md describes the language. The error for an invalid file is an hcldecode.ErrorList, or
// wraps one.
package hclfile

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"

	"rowancart/internal/experiment"
	"rowancart/internal/hcldecode"
)

// Point is one of the experiments of a file: a file with a sweep has one for each value, others
// have one.
type Point struct {
	experiment.Experiment
	Value string // the sweep's variable and its value here, such as rate=50; empty without a sweep
}

// Load reads a file. Set holds values of variables that replace those of the file.
func Load(path string, set map[string]string) ([]Point, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(text, filepath.Base(path), filepath.Clean(path), set)
}

// Parse reads the text of a file that is called name in messages. Paths of included files are
// relative to the working directory.
func Parse(text []byte, name string, set map[string]string) ([]Point, error) {
	return parse(text, name, name, set)
}

// parse reads the text of the file at a path, which is called name in messages.
func parse(text []byte, name, path string, set map[string]string) ([]Point, error) {
	own, err := hcldecode.Parse(text, name)
	if err != nil {
		return nil, err
	}
	bodies, err := includedBodies(own, []string{path})
	if err != nil {
		return nil, err
	}
	body := hcl.MergeBodies(bodies)
	// The variables come first: all other blocks may refer to them.
	vars, err := readVariables(body, name, set)
	if err != nil {
		return nil, err
	}
	_, isSet := set[vars.sweep]
	if vars.sweep != "" && !isSet {
		return decodeSweep(body, name, vars)
	}
	p, err := decodePoint(body, name, vars.values)
	if err != nil {
		return nil, err
	}
	return []Point{p}, nil
}

// decodeSweep reads one experiment for each value of the sweep.
func decodeSweep(body hcl.Body, name string, vars *variables) ([]Point, error) {
	var out []Point
	for _, v := range vars.sweepValues {
		vars.values[vars.sweep] = cty.StringVal(v)
		p, err := decodePoint(body, name, vars.values)
		if err != nil {
			return nil, fmt.Errorf("with %s = %s: %w", vars.sweep, v, err)
		}
		p.Value = vars.sweep + "=" + v
		out = append(out, p)
	}
	return out, nil
}

// variables are the variables of a file and the sweep over one of them.
type variables struct {
	values      map[string]cty.Value
	sweep       string // the variable that is swept; empty: none
	sweepAt     hcl.Range
	sweepValues []string
}

// readVariables reads the variables and the sweep of the file called name. Set replaces values.
func readVariables(body hcl.Body, name string, set map[string]string) (*variables, error) {
	r := &hcldecode.Decoder{}
	vars := &variables{values: map[string]cty.Value{}}
	content, _, diags := body.PartialContent(&hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{
		{Type: "vars"},
		{Type: "sweep", LabelNames: []string{"variable"}},
	}})
	r.Diags = append(r.Diags, diags...)
	for _, b := range content.Blocks {
		switch b.Type {
		case "vars":
			vars.readValues(r, b)
		case "sweep":
			vars.readSweep(r, b)
		}
	}
	if _, ok := vars.values[vars.sweep]; vars.sweep != "" && !ok {
		r.Errorf(vars.sweepAt, "sweep: variable %q is not defined in vars", vars.sweep)
	}
	for _, k := range slices.Sorted(maps.Keys(set)) {
		if _, ok := vars.values[k]; !ok {
			return nil, fmt.Errorf("%s: --set %s: the file has no such variable; it has %s", name, k,
				joinOrNone(slices.Sorted(maps.Keys(vars.values))))
		}
		vars.values[k] = cty.StringVal(set[k])
	}
	return vars, hcldecode.NewErrorList(r.Diags).Err()
}

// readValues reads a block "vars".
func (vars *variables) readValues(r *hcldecode.Decoder, b *hcl.Block) {
	attrs, diags := b.Body.JustAttributes()
	r.Diags = append(r.Diags, diags...)
	for _, a := range attrs {
		value, diags := a.Expr.Value(nil)
		r.Diags = append(r.Diags, diags...)
		vars.values[a.Name] = value
	}
}

// readSweep reads a block "sweep".
func (vars *variables) readSweep(r *hcldecode.Decoder, b *hcl.Block) {
	if vars.sweep != "" {
		r.Errorf(b.DefRange, "sweep: variable %s is already swept", vars.sweep)
		return
	}
	vars.sweep = b.Labels[0]
	vars.sweepAt = b.DefRange
	r.Body(b.Body, hcldecode.Fields{"values!": &vars.sweepValues}, nil)
}

// joinOrNone returns names as a list for a message.
func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
