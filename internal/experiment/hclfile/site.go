package hclfile

import (
	"github.com/hashicorp/hcl/v2"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/hcldecode"
)

// The names of idempotency in files, as values of a class's "effect".
const (
	nameIdempotent    = "safe"
	nameNonIdempotent = "unsafe"
)

func (d *decoder) readSite(b *hcl.Block) {
	s := &d.experiment.Site
	seen := map[string]hcl.Range{}
	d.Body(b.Body, hcldecode.Fields{"balancers": &s.Balancers, "told": &s.ConfiguredBalancers,
		"attempts": &s.MaxAttempts}, hcldecode.Blocks{
		"network": d.once(seen, d.readNetwork),
		"roster": d.once(seen, func(b *hcl.Block) {
			d.Body(b.Body, hcldecode.Fields{"delay": &s.Discovery.Delay, "spread": &s.Discovery.Spread}, nil)
		}),
		"rules": d.once(seen, d.readRules),
		"limits": d.once(seen, func(b *hcl.Block) {
			d.Body(b.Body, hcldecode.Fields{"memory_mb": &s.Limits.MemoryMB, "descriptors": &s.Limits.Descriptors,
				"cores": &s.Limits.Cores}, nil)
		}),
		"class name":  d.readClass,
		"tenant name": d.readTenant,
		"tier name":   d.readTier,
	})
	if len(s.Classes) == 0 || len(s.Tiers) == 0 {
		d.Fault(b.DefRange, "site: needs at least one class and one tier")
		return
	}
	if s.Balancers < 1 {
		d.Fault(b.DefRange, "site: balancers must be at least 1")
	}
	if last := s.Tiers[len(s.Tiers)-1]; last.Calls > 0 {
		d.Fault(b.DefRange, "tier %s: the last tier has no other to call", last.Name)
	}
}

func (d *decoder) readNetwork(b *hcl.Block) {
	s := &d.experiment.Site
	var jitter hcldecode.Fraction
	d.Body(b.Body, hcldecode.Fields{"delay": &s.NetworkDelay, "jitter": &jitter}, nil)
	s.NetworkJitter = float64(jitter)
}

func (d *decoder) readRules(b *hcl.Block) {
	rules := &d.experiment.Site.Rules
	d.Body(b.Body, hcldecode.Fields{"answer_slack": &rules.ResponseSlack, "drain_grace": &rules.DrainGrace,
		"fall_over": &rules.WarmupOverload, "fall_window": &rules.OverloadWindow,
		"improper_for": &rules.ImproperPeerTimeout}, nil)
}

func (d *decoder) readClass(b *hcl.Block) {
	c := experiment.Class{Name: b.Labels[0], TrafficShare: 1, PriorityWeight: 1, VariationCoefficient: 1}
	idempotency := nameIdempotent
	distribution := string(experiment.Exponential)
	var hits hcldecode.Fraction
	d.Body(b.Body, hcldecode.Fields{
		"effect":    &idempotency,
		"share":     &c.TrafficShare,
		"work!":     &c.Work,
		"wait":      &c.OffCPUTime,
		"spread":    &distribution,
		"cv":        &c.VariationCoefficient,
		"hits":      &hits,
		"hit_work":  &c.CacheHitWork,
		"aim!":      &c.LatencyObjective,
		"deadline!": &c.Deadline,
		"worth":     &c.PriorityWeight,
	}, nil)
	hcldecode.OneOf(&d.Reader, b.DefRange, "effect", idempotency, nameIdempotent, nameNonIdempotent)
	c.Distribution = experiment.Distribution(distribution)
	hcldecode.OneOf(&d.Reader, b.DefRange, "spread", c.Distribution,
		experiment.Exponential, experiment.LogNormal, experiment.Fixed)
	if idempotency == nameNonIdempotent {
		c.Idempotency = balancer.NonIdempotent
	}
	c.CacheHitRatio = float64(hits)
	if c.LatencyObjective > c.Deadline {
		d.Fault(b.DefRange, "class %s: aim %v is longer than deadline %v", c.Name, c.LatencyObjective,
			c.Deadline)
	}
	d.experiment.Site.Classes = append(d.experiment.Site.Classes, c)
}

func (d *decoder) readTenant(b *hcl.Block) {
	t := experiment.Tenant{Name: b.Labels[0], TrafficShare: 1}
	var quota hcldecode.Rate
	d.Body(b.Body, hcldecode.Fields{"share": &t.TrafficShare, "quota": &quota}, nil)
	t.Quota = float64(quota)
	d.experiment.Site.Tenants = append(d.experiment.Site.Tenants, t)
}

func (d *decoder) readTier(b *hcl.Block) {
	site := &d.experiment.Site
	t := experiment.Tier{Name: b.Labels[0], WorkFraction: 1}
	server := &t.Server
	var initial, noise, errors hcldecode.Fraction
	ok := d.Body(b.Body, hcldecode.Fields{"boxes!": &t.Servers, "work": &t.WorkFraction, "calls": &t.Calls,
		"errors": &errors, "cancel_stops": &server.CancelStopsWork}, hcldecode.Blocks{
		"kind name": func(b *hcl.Block) { t.Kinds = append(t.Kinds, d.readKind(b)) },
		"cold": func(b *hcl.Block) {
			d.Body(b.Body, hcldecode.Fields{"from!": &initial, "for!": &server.WarmupTime}, nil)
		},
		"choke": func(b *hcl.Block) { d.readCollapse(b, server) },
		"connections": func(b *hcl.Block) {
			d.Body(b.Body, hcldecode.Fields{"work": &server.ConnWork, "limit": &server.ConnLimit,
				"idle": &server.ConnIdleTimeout}, nil)
		},
		"report": func(b *hcl.Block) {
			d.Body(b.Body, hcldecode.Fields{"every!": &server.ReportInterval, "delay": &server.ReportDelay,
				"noise": &noise}, nil)
		},
	})
	server.InitialCapacity = float64(initial)
	server.ReportNoise = float64(noise)
	server.ErrorRate = float64(errors)
	if ok && t.Servers < 1 {
		d.Fault(b.DefRange, "tier %s: boxes must be at least 1", t.Name)
	}
	t.Servers = max(t.Servers, 1)
	if len(t.Kinds) == 0 {
		t.Kinds = []experiment.Kind{defaultKind("box")}
	}
	if site.TierIndex(t.Name) >= 0 {
		d.Fault(b.DefRange, "tier: %q is defined twice", t.Name)
	}
	site.Tiers = append(site.Tiers, t)
}

func defaultKind(name string) experiment.Kind {
	return experiment.Kind{Name: name, Fraction: 1, Cores: 1, Speed: 1, Slots: 16, QueueLimit: 200}
}

func (d *decoder) readKind(b *hcl.Block) experiment.Kind {
	k := defaultKind(b.Labels[0])
	d.Body(b.Body, hcldecode.Fields{"share": &k.Fraction, "cores": &k.Cores, "speed": &k.Speed, "slots": &k.Slots,
		"queue": &k.QueueLimit}, nil)
	if k.Cores < 1 || k.Slots < 1 || k.Speed <= 0 {
		d.Fault(b.DefRange, "kind %s: cores, slots and speed must be above 0", k.Name)
	}
	return k
}

func (d *decoder) readCollapse(b *hcl.Block, s *experiment.ServerSpec) {
	d.Body(b.Body, hcldecode.Fields{"at!": &s.CollapseQueue, "over!": &s.CollapseAfter, "slower!": &s.CollapseSlowdown,
		"below!": &s.RecoveryLoad, "rest!": &s.RecoveryAfter, "most": &s.MaxCollapse}, nil)
	if s.CollapseSlowdown < 1 {
		d.Fault(b.DefRange, "choke: slower is %g: the slowdown of a collapse is at least 1", s.CollapseSlowdown)
	}
}
