package runner

import (
	"testing"

	"rowancart/internal/experiment"
)

// newTestExperiment returns an experiment with a variant of each kind. Its first expectation
// applies to all variants, and each of the others to one variant.
func newTestExperiment() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "x",
		Variants: []experiment.Variant{
			{Name: "design", Policy: experiment.DesignPolicy},
			{Name: "random", Policy: "random"},
			{Name: "proxy", Policy: experiment.ReverseProxyPolicy},
			{Name: "command", Policy: experiment.DesignPolicy, Command: "exec ./other"},
		},
		Expect: []experiment.Expectation{
			{}, {Variant: "design"}, {Variant: "random"}, {Variant: "proxy"}, {Variant: "command"},
		},
	}
}

func TestSelectVariants(t *testing.T) {
	for _, c := range []struct {
		name      string
		options   Options
		variants  []string
		wantError string
	}{
		{name: "in virtual time", options: Options{Virtual: true}, variants: []string{"design", "random"}},
		{name: "on sockets", options: Options{}, variants: []string{"design", "proxy", "command"}},
		{name: "one in virtual time", options: Options{Virtual: true, Variant: "random"}, variants: []string{"random"}},
		{
			name:      "unknown variant",
			options:   Options{Virtual: true, Variant: "nobody"},
			wantError: `x: no arm "nobody" can be run in virtual time; the arms are [design random proxy command]`,
		},
		{
			name:      "variant without a program",
			options:   Options{Variant: "random"},
			wantError: `x: no arm "random" can be run on sockets; the arms are [design random proxy command]`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestExperiment()
			err := selectVariants(e, c.options)
			if c.wantError != "" {
				if err == nil || err.Error() != c.wantError {
					t.Errorf("got %v, want %s", err, c.wantError)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			checkSelected(t, e, c.variants)
		})
	}
}

// checkSelected checks that an experiment has exactly these variants, the expectation that applies
// to all variants, and one expectation for each of these variants.
func checkSelected(t *testing.T, e *experiment.Experiment, want []string) {
	t.Helper()
	if len(e.Variants) != len(want) || len(e.Expect) != 1+len(want) {
		t.Fatalf("%d variants and %d expectations, want %v and one expectation more than variants", len(e.Variants),
			len(e.Expect), want)
	}
	for i, name := range want {
		if e.Variants[i].Name != name || e.Expect[i+1].Variant != name {
			t.Errorf("variant %q and expectation of variant %q, want %q for both", e.Variants[i].Name,
				e.Expect[i+1].Variant, name)
		}
	}
}

func TestNoVariantCanBeRun(t *testing.T) {
	e := newTestExperiment()
	e.Variants = e.Variants[1:2]
	err := selectVariants(e, Options{})
	if want := "x: none of the arms [random] can be run on sockets"; err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

func TestFaultThatNeedsSockets(t *testing.T) {
	e := newTestExperiment()
	e.Faults = []experiment.Fault{{Kind: experiment.SilentPeer}}
	err := selectVariants(e, Options{Virtual: true})
	if want := "x: fault silent_peer cannot be injected in virtual time"; err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
	if err := selectVariants(newTestExperiment(), Options{}); err != nil {
		t.Errorf("on sockets: %v", err)
	}
}
