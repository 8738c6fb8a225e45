package runner

import (
	"fmt"
	"slices"

	"rowancart/internal/experiment"
)

// selectVariants removes the variants that are not to be run, and the expectations that apply only
// to them. It fails if no variant remains, or if a fault cannot be injected in virtual time.
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
		return !slices.ContainsFunc(selected, func(v experiment.Variant) bool { return appliesTo(x, v) })
	})
	return nil
}

// selects reports whether a variant is to be run.
func (o Options) selects(v experiment.Variant) bool {
	if o.Variant != "" && o.Variant != v.Name {
		return false
	}
	if o.Virtual {
		return canRunInVirtualTime(v)
	}
	return canRunOnSockets(v)
}

// appliesTo reports whether an expectation applies to a variant.
func appliesTo(x experiment.Expectation, v experiment.Variant) bool {
	return x.Variant == "" || x.Variant == v.Name
}

// noVariantError returns the error for an experiment of which no selected variant can be run.
func noVariantError(e *experiment.Experiment, o Options) error {
	var names []string
	for _, v := range e.Variants {
		names = append(names, v.Name)
	}
	how := "on sockets"
	if o.Virtual {
		how = "in virtual time"
	}
	if o.Variant != "" {
		return fmt.Errorf("%s: no arm %q can be run %s; the arms are %v", e.Name, o.Variant, how, names)
	}
	return fmt.Errorf("%s: none of the arms %v can be run %s", e.Name, names, how)
}

// checkVirtualFaults returns an error if a fault of the experiment cannot be injected in virtual
// time.
func checkVirtualFaults(e *experiment.Experiment) error {
	for _, f := range e.Faults {
		if !experiment.FaultKinds[f.Kind] {
			return fmt.Errorf("%s: fault %s cannot be injected in virtual time", e.Name, f.Kind)
		}
	}
	return nil
}

// canRunInVirtualTime reports whether a variant is a policy that is part of this program, so
// that it does not need a separate process.
func canRunInVirtualTime(v experiment.Variant) bool {
	return v.Policy != experiment.ReverseProxyPolicy && v.Command == ""
}

// canRunOnSockets reports whether a variant has a program that can be started.
func canRunOnSockets(v experiment.Variant) bool {
	return v.Policy == experiment.ReverseProxyPolicy || v.Command != "" || v.Policy == experiment.DesignPolicy
}
