package hclfile

import (
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"

	"rowancart/internal/experiment"
	"rowancart/internal/hcldecode"
)

// decoder reads the blocks of one experiment. It collects the errors found in the file in Diags.
type decoder struct {
	hcldecode.Decoder
	experiment *experiment.Experiment
	seen       map[string]hcl.Range // positions of the top-level blocks that may occur only once, by block type
	expect     []expectation
}

// once returns a function that reads a block and reports a second block of the same type as an
// error. The map seen holds the positions of the blocks that have been read, by block type.
func (d *decoder) once(seen map[string]hcl.Range, read func(*hcl.Block)) func(*hcl.Block) {
	return func(b *hcl.Block) {
		if first, ok := seen[b.Type]; ok {
			d.Errorf(b.DefRange, "%s: already defined at %s", b.Type, hcldecode.PositionOf(first))
			return
		}
		seen[b.Type] = b.DefRange
		read(b)
	}
}

// decodePoint reads the experiment of the file called name. The argument vars holds the values of
// its variables.
func decodePoint(body hcl.Body, name string, vars map[string]cty.Value) (Point, error) {
	p := Point{Experiment: defaultExperiment(name)}
	e := &p.Experiment
	e.Settings = printableValues(vars)
	object := cty.EmptyObjectVal
	if len(vars) > 0 {
		object = cty.ObjectVal(vars)
	}
	d := &decoder{experiment: e, seen: map[string]hcl.Range{}}
	d.Vars = &hcl.EvalContext{Variables: map[string]cty.Value{"var": object}}

	alreadyRead := func(*hcl.Block) {}
	ok := d.Body(body, nil, hcldecode.Blocks{
		"vars":            alreadyRead,
		"sweep variable":  alreadyRead,
		"include path":    alreadyRead,
		"experiment name": d.once(d.seen, d.readExperiment),
		"site":            d.once(d.seen, d.readSite),
		"load":            d.once(d.seen, d.readLoad),
		"fault kind":      d.readFault,
		"arm name":        d.readVariant,
		"expect":          d.readExpectation,
	})
	if ok {
		d.checkRequiredBlocks(name)
	}
	if len(e.Variants) == 0 {
		e.Variants = []experiment.Variant{{Name: "design", Policy: experiment.DesignPolicy}}
	}
	d.checkExpectations()
	d.checkFaultKinds()
	return p, hcldecode.NewErrorList(d.Diags).Err()
}

// checkRequiredBlocks reports the required blocks that the file called name lacks.
func (d *decoder) checkRequiredBlocks(name string) {
	start := hcl.Range{Filename: name, Start: hcl.InitialPos, End: hcl.InitialPos}
	for _, required := range []string{"experiment", "site", "load"} {
		if _, found := d.seen[required]; !found {
			d.Errorf(start, "the file has no block %q", required)
		}
	}
}

// checkFaultKinds reports faults that an experiment in virtual time cannot inject.
func (d *decoder) checkFaultKinds() {
	if !d.experiment.Virtual {
		return
	}
	for _, f := range d.experiment.Faults {
		if virtual, known := experiment.FaultKinds[f.Kind]; known && !virtual {
			d.Errorf(d.seen["experiment"], "experiment: fault %s cannot be injected in virtual time", f.Kind)
		}
	}
}

// defaultExperiment returns an experiment with the defaults of all attributes. Its name is the
// file's name without the extension.
func defaultExperiment(fileName string) experiment.Experiment {
	return experiment.Experiment{
		Name:  strings.TrimSuffix(fileName, ".hcl"),
		Seeds: []uint64{1},
		Site: experiment.Site{
			Balancers:     1,
			NetworkDelay:  200 * time.Microsecond,
			NetworkJitter: 0.2,
			MaxAttempts:   5,
			Discovery:     experiment.Discovery{Delay: time.Second, Spread: 200 * time.Millisecond},
			Rules: experiment.Rules{
				ResponseSlack:       20 * time.Millisecond,
				DrainGrace:          time.Second,
				WarmupOverload:      4,
				OverloadWindow:      time.Second,
				ImproperPeerTimeout: 3 * time.Second,
			},
		},
		Load: experiment.Load{Process: experiment.Poisson, Clients: experiment.Clients{MinPatience: 1}},
	}
}

// printableValues returns the values of variables for reports. It omits variables that are neither
// strings nor numbers.
func printableValues(vars map[string]cty.Value) map[string]string {
	out := map[string]string{}
	for name, v := range vars {
		switch v.Type() {
		case cty.String:
			out[name] = v.AsString()
		case cty.Number:
			out[name] = v.AsBigFloat().Text('g', 10)
		}
	}
	return out
}

// readExperiment reads a block "experiment".
func (d *decoder) readExperiment(b *hcl.Block) {
	e := d.experiment
	e.Name = b.Labels[0]
	var seeds []uint64
	repeats := 0
	ok := d.Body(b.Body, hcldecode.Fields{
		"question!": &e.Question,
		"duration!": &e.Duration,
		"warmup":    &e.Warmup,
		"seeds":     &seeds,
		"repeats":   &repeats,
		"virtual":   &e.Virtual,
	}, nil)
	switch {
	case repeats > 0 && len(seeds) > 0:
		d.Errorf(b.DefRange, "experiment: seeds and repeats cannot be combined")
	case len(seeds) > 0:
		e.Seeds = seeds
	case repeats > 0:
		e.Seeds = nil
		for seed := range uint64(repeats) {
			e.Seeds = append(e.Seeds, seed+1)
		}
	}
	if ok && (e.Duration <= 0 || e.Warmup >= e.Duration) {
		d.Errorf(b.DefRange, "experiment: the duration must be longer than the warmup")
	}
}
