package runner

import (
	"fmt"
	"slices"

	"rowancart/internal/experiment"
)

// selectPlayable removes the variants that are not to be played, and the expectations of those
// only. It is an error if none is left, or if a fault cannot be played.
func selectPlayable(e *experiment.Experiment, o Options) error {
	var selected []experiment.Variant
	var names []string
	for _, v := range e.Variants {
		names = append(names, v.Name)
		if (o.Variant == "" || o.Variant == v.Name) && playable(v, o.Virtual) {
			selected = append(selected, v)
		}
	}
	if len(selected) == 0 {
		if o.Variant != "" {
			return fmt.Errorf("%s: no arm %q can be played so; there are %v", e.Name, o.Variant, names)
		}
		return fmt.Errorf("%s: none of the arms %v can be played so", e.Name, names)
	}
	if o.Virtual {
		for _, f := range e.Faults {
			if !experiment.FaultKinds[f.Kind] {
				return fmt.Errorf("%s: the fault %s needs sockets", e.Name, f.Kind)
			}
		}
	}
	e.Variants = selected
	var expect []experiment.Expectation
	for _, x := range e.Expect {
		concerns := func(v experiment.Variant) bool { return x.Variant == "" || x.Variant == v.Name }
		if slices.ContainsFunc(selected, concerns) {
			expect = append(expect, x)
		}
	}
	e.Expect = expect
	return nil
}

// playable reports whether a variant can be played in virtual time, or else on sockets.
func playable(v experiment.Variant, virtual bool) bool {
	socketsOnly := v.Policy == experiment.ReverseProxyPolicy || v.Command != ""
	if virtual {
		return !socketsOnly
	}
	return socketsOnly || v.Policy == experiment.DesignPolicy
}
