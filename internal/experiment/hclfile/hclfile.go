// Package hclfile reads experiment files: HCL that says what to play and what must come out. docs/lab.md describes the
// language. A bad file gives one line for each fault, with file, line, column and reason.
package hclfile

import (
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/experiment/baseline"
	"rowancart/internal/hcldecode"
)

// decoder reads the blocks of an experiment.
type decoder struct{ hcldecode.Reader }

// Play is one of the experiments that a file comes to: a sweep makes several, other files one.
type Play struct {
	experiment.Experiment
	Point string // the sweep's variable and its value here, such as rate=50; empty without a sweep
}

// Load reads a file. Set gives variables values in place of the file's own.
func Load(path string, set map[string]string) ([]Play, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(text, filepath.Base(path), filepath.Clean(path), set)
}

// Parse reads the text of a file that is called name in messages. What it includes is relative to the working folder.
func Parse(text []byte, name string, set map[string]string) ([]Play, error) {
	return parse(text, name, name, set)
}

func parse(text []byte, name, path string, set map[string]string) ([]Play, error) {
	own, err := hcldecode.Parse(text, name)
	if err != nil {
		return nil, err
	}
	bodies, err := includedBodies(own, []string{path})
	if err != nil {
		return nil, err
	}
	body := hcl.MergeBodies(bodies)
	// The variables come first: everything else may name them.
	r := &decoder{}
	vars := map[string]cty.Value{}
	sweepName, sweepAt := "", hcl.Range{}
	var sweep []string
	early, _, diags := body.PartialContent(&hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{{Type: "vars"}, {Type: "sweep", LabelNames: []string{"variable"}}}})
	r.Diags = append(r.Diags, diags...)
	for _, b := range early.Blocks {
		switch b.Type {
		case "vars":
			attrs, diags := b.Body.JustAttributes()
			r.Diags = append(r.Diags, diags...)
			for _, a := range attrs {
				v, diags := a.Expr.Value(nil)
				r.Diags = append(r.Diags, diags...)
				vars[a.Name] = v
			}
		case "sweep":
			if sweepName != "" {
				r.Fault(b.DefRange, "sweep: one is enough: %s is swept already", sweepName)
				continue
			}
			sweepName, sweepAt = b.Labels[0], b.DefRange
			r.Body(b.Body, hcldecode.Fields{"values!": &sweep}, nil)
		}
	}
	if _, ok := vars[sweepName]; sweepName != "" && !ok {
		r.Fault(sweepAt, "sweep: there is no variable %q in vars", sweepName)
	}
	for _, k := range slices.Sorted(maps.Keys(set)) {
		if _, ok := vars[k]; !ok {
			return nil, fmt.Errorf("%s: --set %s: the file has no such variable; it has %s", name, k,
				joinOrNone(slices.Sorted(maps.Keys(vars))))
		}
		vars[k] = cty.StringVal(set[k])
	}
	if err := hcldecode.Faults(r.Diags); err != nil {
		return nil, err
	}
	if _, fixed := set[sweepName]; sweepName == "" || fixed {
		p, err := decodePlay(body, name, vars)
		if err != nil {
			return nil, err
		}
		return []Play{p}, nil
	}
	var out []Play
	for _, v := range sweep {
		vars[sweepName] = cty.StringVal(v)
		p, err := decodePlay(body, name, vars)
		if err != nil {
			return nil, fmt.Errorf("with %s = %s: %w", sweepName, v, err)
		}
		p.Point = sweepName + "=" + v
		out = append(out, p)
	}
	return out, nil
}

func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// decodePlay reads the whole file with its variables set.
func decodePlay(body hcl.Body, name string, vars map[string]cty.Value) (Play, error) {
	object := cty.EmptyObjectVal
	settings := map[string]string{}
	if len(vars) > 0 {
		object = cty.ObjectVal(vars)
		for k, v := range vars {
			if v.Type() == cty.String {
				settings[k] = v.AsString()
			} else if v.Type() == cty.Number {
				settings[k] = v.AsBigFloat().Text('g', 10)
			}
		}
	}
	r := &decoder{Reader: hcldecode.Reader{Vars: &hcl.EvalContext{Variables: map[string]cty.Value{"var": object}}}}
	p := Play{Experiment: experiment.Experiment{Name: strings.TrimSuffix(name, ".hcl"), Settings: settings, Seeds: []uint64{1}}}
	e := &p.Experiment
	e.Site = experiment.Site{Balancers: 1, NetworkDelay: 200 * time.Microsecond, NetworkJitter: 0.2, MaxAttempts: 5,
		Discovery: experiment.Discovery{Delay: time.Second, Spread: 200 * time.Millisecond},
		Rules: experiment.Rules{ResponseSlack: 20 * time.Millisecond, DrainGrace: time.Second, WarmupOverload: 4, OverloadWindow: time.Second,
			ImproperPeerTimeout: 3 * time.Second}}
	e.Load.Process = "poisson"
	e.Load.Clients.MinPatience = 1
	ignore := func(*hcl.Block) {}
	seen := map[string]hcl.Range{}
	once := func(read func(*hcl.Block)) func(*hcl.Block) {
		return func(b *hcl.Block) {
			if first, ok := seen[b.Type]; ok {
				r.Fault(b.DefRange, "%s: there is one already, at %s", b.Type, hcldecode.Where(first))
				return
			}
			seen[b.Type] = b.DefRange
			read(b)
		}
	}
	var expects []expectation
	read := r.Body(body, nil, hcldecode.Blocks{
		"vars": ignore, "sweep variable": ignore, "include path": ignore,
		"experiment name": once(func(b *hcl.Block) {
			e.Name = b.Labels[0]
			var seeds []uint64
			repeats := 0
			ok := r.Body(b.Body, hcldecode.Fields{"question!": &e.Question, "duration!": &e.Duration, "warmup": &e.Warmup, "seeds": &seeds, "repeats": &repeats, "virtual": &e.Virtual}, nil)
			switch {
			case repeats < 0 || repeats > 0 && len(seeds) > 0:
				r.Fault(b.DefRange, "experiment: either seeds or repeats, a number of seeds from 1 on")
			case len(seeds) > 0:
				e.Seeds = seeds
			case repeats > 0:
				e.Seeds = nil
				for seed := range uint64(repeats) {
					e.Seeds = append(e.Seeds, seed+1)
				}
			}
			if ok && (e.Duration <= 0 || e.Warmup >= e.Duration) {
				r.Fault(b.DefRange, "experiment: the duration must be longer than the warmup")
			}
		}),
		"site":       once(func(b *hcl.Block) { r.readSite(b, &e.Site) }),
		"load":       once(func(b *hcl.Block) { r.readLoad(b, &e.Load) }),
		"fault kind": func(b *hcl.Block) { r.readFault(b, e) },
		"arm name": func(b *hcl.Block) {
			a := experiment.Variant{Name: b.Labels[0], Policy: experiment.DesignPolicy}
			r.Body(b.Body, hcldecode.Fields{"policy": &a.Policy, "run": &a.Command, "cold_share": &a.SlowStartShare, "snapshot": &a.RestoreLearnedState}, hcldecode.Blocks{"retry_budget": func(b *hcl.Block) { r.RetryBudget(b, &a.RetryBudget) }, "class name": func(b *hcl.Block) {
				p := experiment.ClassPolicy{Class: b.Labels[0]}
				queue, retry := -1, "after_run"
				r.Body(b.Body, hcldecode.Fields{"attempt_timeout": &p.AttemptTimeout, "attempts": &p.MaxAttempts, "retry": &retry,
					"copy_after": &p.HedgeAfter, "copy_percentile": &p.HedgePercentile, "queue": &queue}, nil)
				hcldecode.OneOf(&r.Reader, b.DefRange, "retry", retry, "not_run", "after_run")
				if p.NeverRerun = retry == "not_run"; queue == 0 {
					p.QueueLimit = -1
				} else if queue > 0 {
					p.QueueLimit = queue
				}
				if !slices.ContainsFunc(e.Site.Classes, func(c experiment.Class) bool { return c.Name == p.Class }) {
					r.Fault(b.DefRange, "class: the site has none called %q; it must stand before the arms", p.Class)
				}
				a.Classes = append(a.Classes, p)
			}})
			hcldecode.OneOf(&r.Reader, b.DefRange, "policy", a.Policy, append([]string{experiment.DesignPolicy, "reverse_proxy"}, baseline.Names...)...)
			if slices.ContainsFunc(e.Variants, func(o experiment.Variant) bool { return o.Name == a.Name }) {
				r.Fault(b.DefRange, "arm: there are two called %q", a.Name)
			}
			e.Variants = append(e.Variants, a)
		},
		"expect": func(b *hcl.Block) {
			x := expectation{position: b.DefRange}
			var served, failed hcldecode.Share
			r.Body(b.Body, hcldecode.Fields{"arm": &x.Variant, "rules_kept": &x.NoViolations, "served_in_time_over": &served,
				"refused_or_failed_under": &failed, "attempts_under": &x.AttemptsBelow, "p99_under": &x.P99Below,
				"fresh_peak_under": &x.WarmupPeakBelow, "resends_under": &x.RetriesBelow}, nil)
			x.ServedInTimeAbove, x.FailedBelow, x.Position = float64(served), float64(failed), hcldecode.Where(b.DefRange)
			expects = append(expects, x)
		},
	})
	start := hcl.Range{Filename: name, Start: hcl.InitialPos, End: hcl.InitialPos}
	for _, needed := range []string{"experiment", "site", "load"} {
		if _, ok := seen[needed]; !ok && read {
			r.Fault(start, "the file has no block %q", needed)
		}
	}
	if len(e.Variants) == 0 {
		e.Variants = []experiment.Variant{{Name: "design", Policy: experiment.DesignPolicy}}
	}
	for _, x := range expects {
		if x.Variant != "" && !slices.ContainsFunc(e.Variants, func(a experiment.Variant) bool { return a.Name == x.Variant }) {
			r.Fault(x.position, "expect: there is no arm %q", x.Variant)
		}
		if (x.Expectation == experiment.Expectation{Variant: x.Variant, Position: x.Position}) {
			r.Fault(x.position, "expect: it asks for nothing")
		}
		e.Expect = append(e.Expect, x.Expectation)
	}
	for _, f := range e.Faults {
		if has, known := experiment.FaultKinds[f.Kind]; e.Virtual && known && !has {
			r.Fault(seen["experiment"], "experiment: the fault %s needs sockets, and this says virtual", f.Kind)
		}
	}
	return p, hcldecode.Faults(r.Diags)
}

type expectation struct {
	experiment.Expectation
	position hcl.Range
}

func (r *decoder) readSite(b *hcl.Block, s *experiment.Site) {
	var rules = &s.Rules
	var networkAt, rulesAt, limitsAt, discoveryAt hcl.Range
	once := func(at *hcl.Range, read func(*hcl.Block)) func(*hcl.Block) {
		return func(b *hcl.Block) {
			if !at.Empty() {
				r.Fault(b.DefRange, "%s: there is one already, at %s", b.Type, hcldecode.Where(*at))
				return
			}
			*at = b.DefRange
			read(b)
		}
	}
	r.Body(b.Body, hcldecode.Fields{"balancers": &s.Balancers, "told": &s.ConfiguredBalancers, "attempts": &s.MaxAttempts}, hcldecode.Blocks{
		"network": once(&networkAt, func(b *hcl.Block) {
			var jitter hcldecode.Share
			r.Body(b.Body, hcldecode.Fields{"delay": &s.NetworkDelay, "jitter": &jitter}, nil)
			s.NetworkJitter = float64(jitter)
		}),
		"roster": once(&discoveryAt, func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"delay": &s.Discovery.Delay, "spread": &s.Discovery.Spread}, nil)
		}),
		"rules": once(&rulesAt, func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"answer_slack": &rules.ResponseSlack, "drain_grace": &rules.DrainGrace, "fall_over": &rules.WarmupOverload,
				"fall_window": &rules.OverloadWindow, "improper_for": &rules.ImproperPeerTimeout}, nil)
		}),
		"limits": once(&limitsAt, func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"memory_mb": &s.Limits.MemoryMB, "descriptors": &s.Limits.Descriptors, "cores": &s.Limits.Cores}, nil)
		}),
		"class name": func(b *hcl.Block) {
			c := experiment.Class{Name: b.Labels[0], TrafficShare: 1, PriorityWeight: 1, Distribution: experiment.Exponential, VariationCoefficient: 1}
			effect := "safe"
			spread := string(c.Distribution)
			var hits hcldecode.Share
			r.Body(b.Body, hcldecode.Fields{"effect": &effect, "share": &c.TrafficShare, "work!": &c.Work, "wait": &c.OffCPUTime, "spread": &spread, "cv": &c.VariationCoefficient,
				"hits": &hits, "hit_work": &c.CacheHitWork, "aim!": &c.LatencyObjective, "deadline!": &c.Deadline, "worth": &c.PriorityWeight}, nil)
			hcldecode.OneOf(&r.Reader, b.DefRange, "effect", effect, "safe", "unsafe")
			hcldecode.OneOf(&r.Reader, b.DefRange, "spread", spread, string(experiment.Exponential), string(experiment.LogNormal), string(experiment.Fixed))
			if effect == "unsafe" {
				c.Repeat = balancer.NonIdempotent
			}
			c.Distribution, c.CacheHitRatio = experiment.Distribution(spread), float64(hits)
			if c.LatencyObjective > c.Deadline {
				r.Fault(b.DefRange, "class %s: the aim of %v is later than the deadline of %v", c.Name, c.LatencyObjective, c.Deadline)
			}
			s.Classes = append(s.Classes, c)
		},
		"tenant name": func(b *hcl.Block) {
			t := experiment.Tenant{Name: b.Labels[0], TrafficShare: 1}
			var quota hcldecode.Rate
			r.Body(b.Body, hcldecode.Fields{"share": &t.TrafficShare, "quota": &quota}, nil)
			t.Quota = float64(quota)
			s.Tenants = append(s.Tenants, t)
		},
		"tier name": func(b *hcl.Block) { r.readTier(b, s) },
	})
	if len(s.Classes) == 0 || len(s.Tiers) == 0 {
		r.Fault(b.DefRange, "site: at least one class and one tier are wanted")
		return
	}
	if s.Balancers < 1 {
		r.Fault(b.DefRange, "site: at least one balancer is wanted")
	}
	if last := s.Tiers[len(s.Tiers)-1]; last.Calls > 0 {
		r.Fault(b.DefRange, "tier %s: it is the last and has nobody to call", last.Name)
	}
}

func (r *decoder) readTier(b *hcl.Block, s *experiment.Site) {
	t := experiment.Tier{Name: b.Labels[0], WorkFraction: 1}
	x := &t.Server
	var noise, errors hcldecode.Share
	ok := r.Body(b.Body, hcldecode.Fields{"boxes!": &t.Servers, "work": &t.WorkFraction, "calls": &t.Calls, "errors": &errors, "cancel_stops": &x.CancelStopsWork}, hcldecode.Blocks{
		"kind name": func(b *hcl.Block) {
			k := experiment.Kind{Name: b.Labels[0], Fraction: 1, Cores: 1, Speed: 1, Slots: 16, QueueLimit: 200}
			r.Body(b.Body, hcldecode.Fields{"share": &k.Fraction, "cores": &k.Cores, "speed": &k.Speed, "slots": &k.Slots, "queue": &k.QueueLimit}, nil)
			if k.Cores < 1 || k.Slots < 1 || k.Speed <= 0 {
				r.Fault(b.DefRange, "kind %s: cores, slots and speed must be above 0", k.Name)
			}
			t.Kinds = append(t.Kinds, k)
		},
		"cold": func(b *hcl.Block) {
			var from hcldecode.Share
			r.Body(b.Body, hcldecode.Fields{"from!": &from, "for!": &x.WarmupTime}, nil)
			x.InitialCapacity = float64(from)
		},
		"choke": func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"at!": &x.CollapseQueue, "over!": &x.CollapseAfter, "slower!": &x.CollapseSlowdown, "below!": &x.RecoveryLoad,
				"rest!": &x.RecoveryAfter, "most": &x.MaxCollapse}, nil)
			if x.CollapseSlowdown < 1 {
				r.Fault(b.DefRange, "choke: slower is %g; a choked box is slower, not faster", x.CollapseSlowdown)
			}
		},
		"connections": func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"work": &x.ConnWork, "limit": &x.ConnLimit, "idle": &x.ConnIdleTimeout}, nil)
		},
		"report": func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"every!": &x.ReportInterval, "delay": &x.ReportDelay, "noise": &noise}, nil)
		},
	})
	x.ReportNoise, x.ErrorRate = float64(noise), float64(errors)
	if ok && t.Servers < 1 {
		r.Fault(b.DefRange, "tier %s: at least one box is wanted", t.Name)
	}
	t.Servers = max(t.Servers, 1)
	if len(t.Kinds) == 0 {
		t.Kinds = []experiment.Kind{{Name: "box", Fraction: 1, Cores: 1, Speed: 1, Slots: 16, QueueLimit: 200}}
	}
	if s.TierIndex(t.Name) >= 0 {
		r.Fault(b.DefRange, "tier: there are two called %q", t.Name)
	}
	s.Tiers = append(s.Tiers, t)
}

func (r *decoder) readLoad(b *hcl.Block, l *experiment.Load) {
	var per hcldecode.Rate
	patience := hcldecode.Share(1)
	var leave hcldecode.Share
	ok := r.Body(b.Body, hcldecode.Fields{"rate": &per, "process": &l.Process, "recorded": &l.Recorded}, hcldecode.Blocks{
		"step": func(b *hcl.Block) {
			s := experiment.Step{Factor: 1}
			r.Body(b.Body, hcldecode.Fields{"at!": &s.At, "factor!": &s.Factor}, nil)
			l.Steps = append(l.Steps, s)
		},
		"clients": func(b *hcl.Block) {
			c := &l.Clients
			r.Body(b.Body, hcldecode.Fields{"patience_least": &patience, "retries": &c.Retries, "retry_wait": &c.RetryWait, "heed": &c.HonorRetryAfter, "leave": &leave}, nil)
		},
	})
	l.Rate, l.Clients.MinPatience, l.Clients.DisconnectRate = float64(per), float64(patience), float64(leave)
	hcldecode.OneOf(&r.Reader, b.DefRange, "process", l.Process, "poisson", "steady", "recorded")
	switch {
	case !ok:
	case l.Process == "recorded" && len(l.Recorded) == 0:
		r.Fault(b.DefRange, "load: a recorded process wants a list in recorded")
	case l.Process != "recorded" && l.Rate <= 0:
		r.Fault(b.DefRange, "load: a rate above 0 is wanted")
	}
}

func (r *decoder) readFault(b *hcl.Block, e *experiment.Experiment) {
	f := experiment.Fault{Kind: experiment.FaultKind(b.Labels[0]), Fraction: 1, Size: 1, Count: 1, Period: time.Second}
	at := b.LabelRanges[0]
	if _, ok := experiment.FaultKinds[f.Kind]; !ok {
		r.Fault(at, "fault: %q is none of %s", string(f.Kind), hcldecode.Join(slices.Sorted(maps.Keys(experiment.FaultKinds))))
	}
	var part = hcldecode.Share(1)
	r.Body(b.Body, hcldecode.Fields{"at!": &f.At, "for": &f.Duration, "tier": &f.Tier, "part": &part, "size": &f.Size, "period": &f.Period, "count": &f.Count}, nil)
	f.Fraction = float64(part)
	if f.Tier != "" && e.Site.TierIndex(f.Tier) < 0 {
		r.Fault(b.DefRange, "fault: there is no tier %q above it in the file", f.Tier)
	}
	switch f.Kind {
	case experiment.FastErrors, experiment.BreakBeforeRequest, experiment.BreakAfterRequest, experiment.TruncateResponse, experiment.CorruptResponse, experiment.NoisyNeighbour, experiment.RollingDeploy:
		if f.Size > 1 || math.IsNaN(f.Size) {
			r.Fault(b.DefRange, "fault: the size of %s is a share: %g is not from 0 to 1", f.Kind, f.Size)
		}
	case experiment.SharedSlowdown:
		if f.Size < 1 {
			r.Fault(b.DefRange, "fault: the size of %s is how many times slower: %g is under 1", f.Kind, f.Size)
		}
	}
	e.Faults = append(e.Faults, f)
}
