package hclfile

import (
	"slices"

	"github.com/hashicorp/hcl/v2"

	"rowancart/internal/experiment"
	"rowancart/internal/experiment/baseline"
	"rowancart/internal/hcldecode"
)

// Values of "retry" in a class policy.
const (
	retryNotRun   = "not_run"   // none after an attempt that may have run
	retryAfterRun = "after_run" // as the class allows
)

// readVariant reads a block "arm".
func (d *decoder) readVariant(b *hcl.Block) {
	v := experiment.Variant{Name: b.Labels[0], Policy: experiment.DesignPolicy}
	d.Body(b.Body, hcldecode.Fields{
		"policy":     &v.Policy,
		"run":        &v.Command,
		"cold_share": &v.SlowStartShare,
		"snapshot":   &v.RestoreLearnedState,
	}, hcldecode.Blocks{
		"retry_budget": func(b *hcl.Block) { d.RetryBudget(b, &v.RetryBudget) },
		"class name":   func(b *hcl.Block) { v.Classes = append(v.Classes, d.readClassPolicy(b)) },
	})
	policies := append([]string{experiment.DesignPolicy, experiment.ReverseProxyPolicy}, baseline.Names...)
	hcldecode.OneOf(&d.Decoder, b.DefRange, "policy", v.Policy, policies...)
	if d.hasVariant(v.Name) {
		d.Errorf(b.DefRange, "arm: %q is defined twice", v.Name)
	}
	d.experiment.Variants = append(d.experiment.Variants, v)
}

// readClassPolicy reads a block "class" of an arm.
func (d *decoder) readClassPolicy(b *hcl.Block) experiment.ClassPolicy {
	p := experiment.ClassPolicy{Class: b.Labels[0]}
	queue := -1
	retry := retryAfterRun
	d.Body(b.Body, hcldecode.Fields{
		"attempt_timeout": &p.AttemptTimeout,
		"attempts":        &p.MaxAttempts,
		"retry":           &retry,
		"copy_after":      &p.HedgeAfter,
		"copy_percentile": &p.HedgePercentile,
		"queue":           &queue,
	}, nil)
	hcldecode.OneOf(&d.Decoder, b.DefRange, "retry", retry, retryNotRun, retryAfterRun)
	p.NeverRerun = retry == retryNotRun
	switch { // in a file 0 stands for no queue; without the attribute there is no limit
	case queue == 0:
		p.QueueLimit = -1
	case queue > 0:
		p.QueueLimit = queue
	}
	if !slices.ContainsFunc(d.experiment.Site.Classes, func(c experiment.Class) bool { return c.Name == p.Class }) {
		d.Errorf(b.DefRange, "class: %q is not defined in a site before the arms", p.Class)
	}
	return p
}
