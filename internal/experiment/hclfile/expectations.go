package hclfile

import (
	"slices"

	"github.com/hashicorp/hcl/v2"

	"rowancart/internal/experiment"
	"rowancart/internal/hcldecode"
)

// expectation is checked after all variants have been read.
type expectation struct {
	experiment.Expectation
	position hcl.Range
}

// readExpectation reads a block "expect".
func (d *decoder) readExpectation(b *hcl.Block) {
	x := expectation{position: b.DefRange}
	var served, failed hcldecode.Fraction
	d.Body(b.Body, hcldecode.Fields{
		"arm":                     &x.Variant,
		"rules_kept":              &x.NoViolations,
		"served_in_time_over":     &served,
		"refused_or_failed_under": &failed,
		"attempts_under":          &x.AttemptsBelow,
		"p99_under":               &x.P99Below,
		"fresh_peak_under":        &x.WarmupPeakBelow,
		"resends_under":           &x.RetriesBelow,
	}, nil)
	x.ServedInTimeAbove = float64(served)
	x.FailedBelow = float64(failed)
	x.Position = hcldecode.PositionOf(b.DefRange).String()
	d.expect = append(d.expect, x)
}

// checkExpectations adds the expectations to the experiment. One that names a variant that does not
// exist, and one without any requirement, is a fault.
func (d *decoder) checkExpectations() {
	for _, x := range d.expect {
		if x.Variant != "" && !d.hasVariant(x.Variant) {
			d.Errorf(x.position, "expect: arm %q is not defined", x.Variant)
		}
		if (x.Expectation == experiment.Expectation{Variant: x.Variant, Position: x.Position}) {
			d.Errorf(x.position, "expect: must set at least one requirement")
		}
		d.experiment.Expect = append(d.experiment.Expect, x.Expectation)
	}
}

// hasVariant reports whether a variant of this name has been read.
func (d *decoder) hasVariant(name string) bool {
	return slices.ContainsFunc(d.experiment.Variants, func(v experiment.Variant) bool { return v.Name == name })
}
