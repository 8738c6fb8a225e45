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

// reader reads the blocks of an experiment.
type reader struct{ hcldecode.Reader }

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
	bodies, err := included(own, []string{path})
	if err != nil {
		return nil, err
	}
	body := hcl.MergeBodies(bodies)
	// The variables come first: everything else may name them.
	r := &reader{}
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
				orNone(slices.Sorted(maps.Keys(vars))))
		}
		vars[k] = cty.StringVal(set[k])
	}
	if err := hcldecode.Faults(r.Diags); err != nil {
		return nil, err
	}
	if _, fixed := set[sweepName]; sweepName == "" || fixed {
		p, err := one(body, name, vars)
		if err != nil {
			return nil, err
		}
		return []Play{p}, nil
	}
	var out []Play
	for _, v := range sweep {
		vars[sweepName] = cty.StringVal(v)
		p, err := one(body, name, vars)
		if err != nil {
			return nil, fmt.Errorf("with %s = %s: %w", sweepName, v, err)
		}
		p.Point = sweepName + "=" + v
		out = append(out, p)
	}
	return out, nil
}

func orNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// one reads the whole file with its variables set.
func one(body hcl.Body, name string, vars map[string]cty.Value) (Play, error) {
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
	r := &reader{Reader: hcldecode.Reader{Vars: &hcl.EvalContext{Variables: map[string]cty.Value{"var": object}}}}
	p := Play{Experiment: experiment.Experiment{Name: strings.TrimSuffix(name, ".hcl"), Settings: settings, Seeds: []uint64{1}}}
	e := &p.Experiment
	e.Site = experiment.Site{Balancers: 1, Delay: 200 * time.Microsecond, Jitter: 0.2, Attempts: 5,
		Roster: experiment.Roster{Delay: time.Second, Spread: 200 * time.Millisecond},
		Rules: experiment.Rules{AnswerSlack: 20 * time.Millisecond, DrainGrace: time.Second, FallOver: 4, FallWindow: time.Second,
			ImproperFor: 3 * time.Second}}
	e.Load.Process = "poisson"
	e.Load.Clients.PatienceLeast = 1
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
		"site":       once(func(b *hcl.Block) { r.site(b, &e.Site) }),
		"load":       once(func(b *hcl.Block) { r.load(b, &e.Load) }),
		"fault kind": func(b *hcl.Block) { r.failure(b, e) },
		"arm name": func(b *hcl.Block) {
			a := experiment.Arm{Name: b.Labels[0], Policy: experiment.DesignPolicy}
			r.Body(b.Body, hcldecode.Fields{"policy": &a.Policy, "run": &a.Run, "cold_share": &a.ColdShare, "snapshot": &a.Snapshot}, hcldecode.Blocks{"retry_budget": func(b *hcl.Block) { r.RetryBudget(b, &a.Resends) }, "class name": func(b *hcl.Block) {
				p := experiment.ClassPolicy{Class: b.Labels[0]}
				queue, retry := -1, "after_run"
				r.Body(b.Body, hcldecode.Fields{"attempt_timeout": &p.AttemptTimeout, "attempts": &p.Attempts, "retry": &retry,
					"copy_after": &p.CopyAfter, "copy_percentile": &p.CopyPercentile, "queue": &queue}, nil)
				hcldecode.OneOf(&r.Reader, b.DefRange, "retry", retry, "not_run", "after_run")
				if p.NoRerun = retry == "not_run"; queue == 0 {
					p.Queue = -1
				} else if queue > 0 {
					p.Queue = queue
				}
				if !slices.ContainsFunc(e.Site.Classes, func(c experiment.Class) bool { return c.Name == p.Class }) {
					r.Fault(b.DefRange, "class: the site has none called %q; it must stand before the arms", p.Class)
				}
				a.Classes = append(a.Classes, p)
			}})
			hcldecode.OneOf(&r.Reader, b.DefRange, "policy", a.Policy, append([]string{experiment.DesignPolicy, "reverse_proxy"}, baseline.Names...)...)
			if slices.ContainsFunc(e.Arms, func(o experiment.Arm) bool { return o.Name == a.Name }) {
				r.Fault(b.DefRange, "arm: there are two called %q", a.Name)
			}
			e.Arms = append(e.Arms, a)
		},
		"expect": func(b *hcl.Block) {
			x := expectation{at: b.DefRange}
			var served, failed hcldecode.Share
			r.Body(b.Body, hcldecode.Fields{"arm": &x.Arm, "rules_kept": &x.RulesKept, "served_in_time_over": &served,
				"refused_or_failed_under": &failed, "attempts_under": &x.AttemptsUnder, "p99_under": &x.P99Under,
				"fresh_peak_under": &x.FreshUnder, "resends_under": &x.ResendsUnder}, nil)
			x.ServedOver, x.FailedUnder, x.Place = float64(served), float64(failed), hcldecode.Where(b.DefRange)
			expects = append(expects, x)
		},
	})
	start := hcl.Range{Filename: name, Start: hcl.InitialPos, End: hcl.InitialPos}
	for _, needed := range []string{"experiment", "site", "load"} {
		if _, ok := seen[needed]; !ok && read {
			r.Fault(start, "the file has no block %q", needed)
		}
	}
	if len(e.Arms) == 0 {
		e.Arms = []experiment.Arm{{Name: "design", Policy: experiment.DesignPolicy}}
	}
	for _, x := range expects {
		if x.Arm != "" && !slices.ContainsFunc(e.Arms, func(a experiment.Arm) bool { return a.Name == x.Arm }) {
			r.Fault(x.at, "expect: there is no arm %q", x.Arm)
		}
		if (x.Expectation == experiment.Expectation{Arm: x.Arm, Place: x.Place}) {
			r.Fault(x.at, "expect: it asks for nothing")
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
	at hcl.Range
}

func (r *reader) site(b *hcl.Block, s *experiment.Site) {
	var rules = &s.Rules
	var network, ledger, limits, roster hcl.Range
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
	r.Body(b.Body, hcldecode.Fields{"balancers": &s.Balancers, "told": &s.Told, "attempts": &s.Attempts}, hcldecode.Blocks{
		"network": once(&network, func(b *hcl.Block) {
			var jitter hcldecode.Share
			r.Body(b.Body, hcldecode.Fields{"delay": &s.Delay, "jitter": &jitter}, nil)
			s.Jitter = float64(jitter)
		}),
		"roster": once(&roster, func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"delay": &s.Roster.Delay, "spread": &s.Roster.Spread}, nil)
		}),
		"rules": once(&ledger, func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"answer_slack": &rules.AnswerSlack, "drain_grace": &rules.DrainGrace, "fall_over": &rules.FallOver,
				"fall_window": &rules.FallWindow, "improper_for": &rules.ImproperFor}, nil)
		}),
		"limits": once(&limits, func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"memory_mb": &s.Limits.MemoryMB, "descriptors": &s.Limits.Descriptors, "cores": &s.Limits.Cores}, nil)
		}),
		"class name": func(b *hcl.Block) {
			c := experiment.Class{Name: b.Labels[0], Share: 1, Worth: 1, Spread: experiment.Exponential, Cv: 1}
			effect := "safe"
			spread := string(c.Spread)
			var hits hcldecode.Share
			r.Body(b.Body, hcldecode.Fields{"effect": &effect, "share": &c.Share, "work!": &c.Work, "wait": &c.Wait, "spread": &spread, "cv": &c.Cv,
				"hits": &hits, "hit_work": &c.HitWork, "aim!": &c.Aim, "deadline!": &c.Deadline, "worth": &c.Worth}, nil)
			hcldecode.OneOf(&r.Reader, b.DefRange, "effect", effect, "safe", "unsafe")
			hcldecode.OneOf(&r.Reader, b.DefRange, "spread", spread, string(experiment.Exponential), string(experiment.LogNormal), string(experiment.Fixed))
			if effect == "unsafe" {
				c.Effect = balancer.NonIdempotent
			}
			c.Spread, c.Hits = experiment.Spread(spread), float64(hits)
			if c.Aim > c.Deadline {
				r.Fault(b.DefRange, "class %s: the aim of %v is later than the deadline of %v", c.Name, c.Aim, c.Deadline)
			}
			s.Classes = append(s.Classes, c)
		},
		"tenant name": func(b *hcl.Block) {
			t := experiment.Tenant{Name: b.Labels[0], Share: 1}
			var quota hcldecode.Rate
			r.Body(b.Body, hcldecode.Fields{"share": &t.Share, "quota": &quota}, nil)
			t.Quota = float64(quota)
			s.Tenants = append(s.Tenants, t)
		},
		"tier name": func(b *hcl.Block) { r.tier(b, s) },
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

func (r *reader) tier(b *hcl.Block, s *experiment.Site) {
	t := experiment.Tier{Name: b.Labels[0], Work: 1}
	x := &t.Box
	var noise, errors hcldecode.Share
	ok := r.Body(b.Body, hcldecode.Fields{"boxes!": &t.Boxes, "work": &t.Work, "calls": &t.Calls, "errors": &errors, "cancel_stops": &x.CancelsStops}, hcldecode.Blocks{
		"kind name": func(b *hcl.Block) {
			k := experiment.Kind{Name: b.Labels[0], Share: 1, Cores: 1, Speed: 1, Slots: 16, Queue: 200}
			r.Body(b.Body, hcldecode.Fields{"share": &k.Share, "cores": &k.Cores, "speed": &k.Speed, "slots": &k.Slots, "queue": &k.Queue}, nil)
			if k.Cores < 1 || k.Slots < 1 || k.Speed <= 0 {
				r.Fault(b.DefRange, "kind %s: cores, slots and speed must be above 0", k.Name)
			}
			t.Kinds = append(t.Kinds, k)
		},
		"cold": func(b *hcl.Block) {
			var from hcldecode.Share
			r.Body(b.Body, hcldecode.Fields{"from!": &from, "for!": &x.ColdFor}, nil)
			x.ColdFrom = float64(from)
		},
		"choke": func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"at!": &x.ChokeAt, "over!": &x.ChokeOver, "slower!": &x.ChokeSlower, "below!": &x.ChokeBelow,
				"rest!": &x.ChokeRest, "most": &x.ChokeMost}, nil)
			if x.ChokeSlower < 1 {
				r.Fault(b.DefRange, "choke: slower is %g; a choked box is slower, not faster", x.ChokeSlower)
			}
		},
		"connections": func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"work": &x.ConnWork, "limit": &x.ConnLimit, "idle": &x.ConnIdle}, nil)
		},
		"report": func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"every!": &x.ReportEvery, "delay": &x.ReportDelay, "noise": &noise}, nil)
		},
	})
	x.ReportNoise, x.ErrorShare = float64(noise), float64(errors)
	if ok && t.Boxes < 1 {
		r.Fault(b.DefRange, "tier %s: at least one box is wanted", t.Name)
	}
	t.Boxes = max(t.Boxes, 1)
	if len(t.Kinds) == 0 {
		t.Kinds = []experiment.Kind{{Name: "box", Share: 1, Cores: 1, Speed: 1, Slots: 16, Queue: 200}}
	}
	if s.Tier(t.Name) >= 0 {
		r.Fault(b.DefRange, "tier: there are two called %q", t.Name)
	}
	s.Tiers = append(s.Tiers, t)
}

func (r *reader) load(b *hcl.Block, l *experiment.Load) {
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
			r.Body(b.Body, hcldecode.Fields{"patience_least": &patience, "retries": &c.Retries, "retry_wait": &c.RetryWait, "heed": &c.Heed, "leave": &leave}, nil)
		},
	})
	l.Rate, l.Clients.PatienceLeast, l.Clients.Leave = float64(per), float64(patience), float64(leave)
	hcldecode.OneOf(&r.Reader, b.DefRange, "process", l.Process, "poisson", "steady", "recorded")
	switch {
	case !ok:
	case l.Process == "recorded" && len(l.Recorded) == 0:
		r.Fault(b.DefRange, "load: a recorded process wants a list in recorded")
	case l.Process != "recorded" && l.Rate <= 0:
		r.Fault(b.DefRange, "load: a rate above 0 is wanted")
	}
}

func (r *reader) failure(b *hcl.Block, e *experiment.Experiment) {
	f := experiment.Fault{Kind: experiment.FaultKind(b.Labels[0]), Part: 1, Size: 1, Count: 1, Period: time.Second}
	at := b.LabelRanges[0]
	if _, ok := experiment.FaultKinds[f.Kind]; !ok {
		r.Fault(at, "fault: %q is none of %s", string(f.Kind), hcldecode.Join(slices.Sorted(maps.Keys(experiment.FaultKinds))))
	}
	var part = hcldecode.Share(1)
	r.Body(b.Body, hcldecode.Fields{"at!": &f.At, "for": &f.For, "tier": &f.Tier, "part": &part, "size": &f.Size, "period": &f.Period, "count": &f.Count}, nil)
	f.Part = float64(part)
	if f.Tier != "" && e.Site.Tier(f.Tier) < 0 {
		r.Fault(b.DefRange, "fault: there is no tier %q above it in the file", f.Tier)
	}
	switch f.Kind {
	case experiment.FastErrors, experiment.BreakBefore, experiment.BreakAfter, experiment.BreakAnswer, experiment.GarbleAnswer, experiment.Neighbour, experiment.Deploy:
		if f.Size > 1 || math.IsNaN(f.Size) {
			r.Fault(b.DefRange, "fault: the size of %s is a share: %g is not from 0 to 1", f.Kind, f.Size)
		}
	case experiment.SharedSlow:
		if f.Size < 1 {
			r.Fault(b.DefRange, "fault: the size of %s is how many times slower: %g is under 1", f.Kind, f.Size)
		}
	}
	e.Faults = append(e.Faults, f)
}
