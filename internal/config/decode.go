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

// Load reads and validates a file. LookupEnv resolves the environment variables that the file
// names. Relative paths of endpoint lists are relative to the file's folder.
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

// decoder collects the values of a file, and their places. Each method that is named after a block
// decodes and validates that block.
type decoder struct {
	hcldecode.Decoder
	Config
	policies      map[string]*policyBlock // by name
	classPolicies map[string]reference    // by class: the policy that it names
	defined       map[string]hcl.Range    // by block key
	used          map[string]bool         // by block key: another block refers to it
	addresses     map[string]hcl.Range    // at which the process listens
}

// reference is the name of a block in another block, and its place.
type reference struct {
	name string
	at   hcl.Range
}

// Parse reads and validates the text of a file that is called name in messages.
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

// decode decodes and validates the whole file. Blocks that refer to others are decoded after them.
func (d *decoder) decode(body hcl.Body) {
	var routes, pools []*hcl.Block
	once := func(decode func(*hcl.Block)) func(*hcl.Block) {
		return func(b *hcl.Block) {
			if d.define(b, "") {
				decode(b)
			}
		}
	}
	d.Body(body, nil, hcldecode.Blocks{
		"admin":         once(d.admin),
		"fleet":         once(d.fleet),
		"limits":        once(d.limits),
		"state":         once(d.state),
		"listener name": d.listener,
		"class name":    d.class,
		"tenant name":   d.tenant,
		"pool name":     func(b *hcl.Block) { pools = append(pools, b) },
		"policy name":   d.namedPolicy,
		"route name":    func(b *hcl.Block) { routes = append(routes, b) },
	})
	for _, b := range pools { // after the listeners, whose addresses no endpoint may have
		d.pool(b)
	}
	for _, c := range d.Classes {
		if policy, ok := d.classPolicies[c.Name]; ok {
			d.resolve(policy.at, "policy", policy.name)
		}
	}
	for _, b := range routes { // last: they refer to all the others
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

// envFunction returns the function env(NAME) of the language.
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

// blockKey identifies a block, in messages too. Label is empty for a block that has none.
func blockKey(kind, label string) string {
	if label == "" {
		return kind
	}
	return fmt.Sprintf("%s %q", kind, label)
}

// define records that a block with this label is in the file. For a second one it adds a fault and
// returns false.
func (d *decoder) define(b *hcl.Block, label string) bool {
	key := blockKey(b.Type, label)
	if first, ok := d.defined[key]; ok {
		d.Errorf(b.DefRange, "%s: already defined at %s", key, hcldecode.PositionOf(first))
		return false
	}
	d.defined[key] = b.DefRange
	return true
}

// resolve records a reference to a block. If there is no such block it adds a fault and returns
// false.
func (d *decoder) resolve(at hcl.Range, kind, label string) bool {
	key := fmt.Sprintf("%s %q", kind, label)
	if _, ok := d.defined[key]; !ok {
		d.Errorf(at, "%s is not defined", key)
		return false
	}
	d.used[key] = true
	return true
}
