package hclfile

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"

	"rowancart/internal/experiment"
	"rowancart/internal/hcldecode"
)

// readLoad reads a block "load".
func (d *decoder) readLoad(b *hcl.Block) {
	l := &d.experiment.Load
	var rate hcldecode.Rate
	process := string(l.Process)
	ok := d.Body(b.Body, hcldecode.Fields{
		"rate":     &rate,
		"process":  &process,
		"recorded": &l.Recorded,
	}, hcldecode.Blocks{
		"step":    d.readStep,
		"clients": d.readClients,
	})
	l.Rate = float64(rate)
	l.Process = experiment.ArrivalProcess(process)
	hcldecode.OneOf(&d.Decoder, b.DefRange, "process", l.Process,
		experiment.Poisson, experiment.Steady, experiment.Recorded)
	switch {
	case !ok:
	case l.Process == experiment.Recorded && len(l.Recorded) == 0:
		d.Errorf(b.DefRange, "load: the process recorded needs a list in recorded")
	case l.Process != experiment.Recorded && l.Rate <= 0:
		d.Errorf(b.DefRange, "load: rate must be above 0")
	}
}

// readStep reads a block "step" of the load.
func (d *decoder) readStep(b *hcl.Block) {
	s := experiment.Step{Factor: 1}
	d.Body(b.Body, hcldecode.Fields{"at!": &s.At, "factor!": &s.Factor}, nil)
	d.experiment.Load.Steps = append(d.experiment.Load.Steps, s)
}

// readClients reads a block "clients" of the load.
func (d *decoder) readClients(b *hcl.Block) {
	c := &d.experiment.Load.Clients
	minPatience := hcldecode.Fraction(c.MinPatience)
	disconnect := hcldecode.Fraction(c.DisconnectRate)
	d.Body(b.Body, hcldecode.Fields{
		"patience_least": &minPatience,
		"retries":        &c.Retries,
		"retry_wait":     &c.RetryWait,
		"heed":           &c.HonorRetryAfter,
		"leave":          &disconnect,
	}, nil)
	c.MinPatience = float64(minPatience)
	c.DisconnectRate = float64(disconnect)
}

// readFault reads a block "fault".
func (d *decoder) readFault(b *hcl.Block) {
	e := d.experiment
	f := experiment.Fault{Kind: experiment.FaultKind(b.Labels[0]), Size: 1, Count: 1, Period: time.Second}
	if _, ok := experiment.FaultKinds[f.Kind]; !ok {
		kinds := slices.Sorted(maps.Keys(experiment.FaultKinds))
		d.Errorf(b.LabelRanges[0], "fault: %q is not one of %s", string(f.Kind), hcldecode.Join(kinds))
	}
	fraction := hcldecode.Fraction(1)
	d.Body(b.Body, hcldecode.Fields{
		"at!":    &f.At,
		"for":    &f.Duration,
		"tier":   &f.Tier,
		"part":   &fraction,
		"size":   &f.Size,
		"period": &f.Period,
		"count":  &f.Count,
	}, nil)
	f.Fraction = float64(fraction)
	if f.Tier != "" && e.Site.TierIndex(f.Tier) < 0 {
		d.Errorf(b.DefRange, "fault: tier %q is not defined before it", f.Tier)
	}
	d.checkFaultSize(b, f)
	e.Faults = append(e.Faults, f)
}

// checkFaultSize reports a size out of the range of the kind of fault.
func (d *decoder) checkFaultSize(b *hcl.Block, f experiment.Fault) {
	switch f.Kind {
	case experiment.FastErrors, experiment.BreakBeforeRequest, experiment.BreakAfterRequest, experiment.TruncateResponse,
		experiment.CorruptResponse, experiment.NoisyNeighbour, experiment.RollingDeploy:
		if f.Size > 1 || math.IsNaN(f.Size) {
			d.Errorf(b.DefRange, "fault: the size of %s is a fraction: %g is not between 0 and 1", f.Kind, f.Size)
		}
	case experiment.SharedSlowdown:
		if f.Size < 1 {
			d.Errorf(b.DefRange, "fault: the size of %s is a factor: %g is below 1", f.Kind, f.Size)
		}
	}
}
