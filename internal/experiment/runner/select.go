package runner

import (
	"fmt"
	"slices"

	"rowancart/internal/experiment"
)

// selectVariants removes the variants that are not to be run, and the expectations of only those.
// It is an error if no variant is left, or if a fault cannot be injected.
func selectVariants(e *experiment.Experiment, o Options) error {
	selected := slices.DeleteFunc(slices.Clone(e.Variants), func(v experiment.Variant) bool { return !o.selects(v) })
	if len(selected) == 0 {
		return noVariantError(e, o)
	}
	if o.Virtual {
		if err := checkVirtualFaults(e); err != nil {
			return err
		}
	}
	e.Variants = selected
	e.Expect = slices.DeleteFunc(slices.Clone(e.Expect), func(x experiment.Expectation) bool {
		return !slices.ContainsFunc(selected, func(v experiment.Variant) bool { return concerns(x, v) })
	})
	return nil
}

// selects reports whether a variant is to be run.
func (o Options) selects(v experiment.Variant) bool {
	isWanted := o.Variant == "" || o.Variant == v.Name
	return isWanted && canRun(v, o.Virtual)
}

// concerns reports whether an expectation is about a variant.
func concerns(x experiment.Expectation, v experiment.Variant) bool {
	return x.Variant == "" || x.Variant == v.Name
}

// noVariantError says that none of an experiment's variants can be run.
func noVariantError(e *experiment.Experiment, o Options) error {
	var names []string
	for _, v := range e.Variants {
		names = append(names, v.Name)
	}
	if o.Variant != "" {
		return fmt.Errorf("%s: no arm %q can be played so; there are %v", e.Name, o.Variant, names)
	}
	return fmt.Errorf("%s: none of the arms %v can be played so", e.Name, names)
}

// checkVirtualFaults returns an error if a fault cannot be injected in virtual time.
func checkVirtualFaults(e *experiment.Experiment) error {
	for _, f := range e.Faults {
		if !experiment.FaultKinds[f.Kind] {
			return fmt.Errorf("%s: the fault %s needs sockets", e.Name, f.Kind)
		}
	}
	return nil
}

// canRun reports whether a variant can be run in virtual time, or else on sockets.
func canRun(v experiment.Variant, virtual bool) bool {
	socketsOnly := v.Policy == experiment.ReverseProxyPolicy || v.Command != ""
	if virtual {
		return !socketsOnly
	}
	return socketsOnly || v.Policy == experiment.DesignPolicy
}
