package config

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/function"

	"rowancart/internal/hcldecode"
)

// Load reads and validates a file. It calls lookupEnv to resolve the environment variables that
// the file refers to. Relative paths of endpoint lists are relative to the file's directory.
func Load(path string, lookupEnv func(string) (string, bool)) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(text, path, lookupEnv)
	if err != nil {
		return nil, err
	}
	for i := range c.Pools {
		if f := &c.Pools[i].Source.File; *f != "" && !filepath.IsAbs(*f) {
			*f = filepath.Join(filepath.Dir(path), *f)
		}
	}
	return c, nil
}

// decoder decodes a file into a Config and collects its errors. A method that is named after a
// block, such as listener, decodes and validates that block.
type decoder struct {
	hcldecode.Decoder
	Config
	policies      map[string]*policyBlock // named policies, by name
	classPolicies map[string]reference    // policy that a class names, by name of the class
	defined       map[string]hcl.Range    // ranges of the blocks defined so far, by block key
	used          map[string]bool         // whether another block refers to a block, by block key
	addresses     map[string]hcl.Range    // where each listen address is set, by address
}

// reference is an attribute that names another block.
type reference struct {
	name string
	at   hcl.Range // range of the attribute
}

// Parse parses and validates the text of a file. Name is the file name in error messages.
func Parse(text []byte, name string, lookupEnv func(string) (string, bool)) (*Config, error) {
	body, err := hcldecode.Parse(text, name)
	if err != nil {
		return nil, err
	}
	d := newDecoder(text, name, lookupEnv)
	d.decode(body)
	if err := hcldecode.NewErrorList(d.Diags).Err(); err != nil {
		return nil, err
	}
	d.warnUnused()
	c := d.Config
	return &c, nil
}

func newDecoder(text []byte, name string, lookupEnv func(string) (string, bool)) *decoder {
	d := &decoder{
		Config: Config{
			File:  name,
			Text:  text,
			Fleet: Fleet{Instances: 1},
			Limits: Limits{
				Memory:          defaultMemory,
				MaxConns:        defaultMaxConns,
				StopTimeout:     defaultStopTimeout,
				HandoverTimeout: defaultHandoverTimeout,
			},
		},
		policies:      map[string]*policyBlock{},
		classPolicies: map[string]reference{},
		defined:       map[string]hcl.Range{},
		used:          map[string]bool{},
		addresses:     map[string]hcl.Range{},
	}
	d.Vars = &hcl.EvalContext{Functions: map[string]function.Function{"env": envFunction(lookupEnv)}}
	return d
}

// decode decodes and validates the whole file. Pools are decoded after the listeners, and routes
// last. The policies that classes name are resolved in between, because a policy may follow the
// class in the file.
func (d *decoder) decode(body hcl.Body) {
	var routes, pools []*hcl.Block
	decodeOnce := func(decode func(*hcl.Block)) func(*hcl.Block) {
		return func(b *hcl.Block) {
			if d.define(b, "") {
				decode(b)
			}
		}
	}
	d.Body(body, nil, hcldecode.Blocks{
		"admin":         decodeOnce(d.admin),
		"fleet":         decodeOnce(d.fleet),
		"limits":        decodeOnce(d.limits),
		"state":         decodeOnce(d.state),
		"listener name": d.listener,
		"class name":    d.class,
		"tenant name":   d.tenant,
		"pool name":     func(b *hcl.Block) { pools = append(pools, b) },
		"policy name":   d.namedPolicy,
		"route name":    func(b *hcl.Block) { routes = append(routes, b) },
	})
	for _, b := range pools { // after the listeners, because no endpoint may have a listener's address
		d.pool(b)
	}
	for _, c := range d.Classes {
		if policy, ok := d.classPolicies[c.Name]; ok {
			d.resolve(policy.at, "policy", policy.name)
		}
	}
	for _, b := range routes { // last, because routes refer to listeners, classes, pools and policies
		d.route(b)
	}
	start := hcl.Range{Filename: d.File, Start: hcl.InitialPos, End: hcl.InitialPos}
	if len(d.Listeners) == 0 {
		d.Errorf(start, "the file has no listener")
	}
	if len(routes) == 0 {
		d.Errorf(start, "the file has no route")
	}
	d.checkOverlaps()
}

// envFunction returns the function env(NAME), which files may call in expressions.
func envFunction(lookup func(string) (string, bool)) function.Function {
	return function.New(&function.Spec{
		Params: []function.Parameter{{Name: "name", Type: cty.String}},
		Type:   function.StaticReturnType(cty.String),
		Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
			name := args[0].AsString()
			v, ok := lookup(name)
			if !ok {
				return cty.UnknownVal(cty.String), function.NewArgErrorf(0, "%s is not set", name)
			}
			return cty.StringVal(v), nil
		},
	})
}

// blockKey returns the key of a block in a decoder's maps, which also identifies the block in
// messages. The label is empty for a block without one.
func blockKey(kind, label string) string {
	if label == "" {
		return kind
	}
	return fmt.Sprintf("%s %q", kind, label)
}

// define records that the file has a block of this type and label. If it already has one, define
// adds an error and returns false.
func (d *decoder) define(b *hcl.Block, label string) bool {
	key := blockKey(b.Type, label)
	if first, ok := d.defined[key]; ok {
		d.Errorf(b.DefRange, "%s: already defined at %s", key, hcldecode.PositionOf(first))
		return false
	}
	d.defined[key] = b.DefRange
	return true
}

// resolve records a reference to a block. If the file has no such block, resolve adds an error and
// returns false.
func (d *decoder) resolve(at hcl.Range, kind, label string) bool {
	key := fmt.Sprintf("%s %q", kind, label)
	if _, ok := d.defined[key]; !ok {
		d.Errorf(at, "%s is not defined", key)
		return false
	}
	d.used[key] = true
	return true
}
