package hclfile

import (
	"github.com/hashicorp/hcl/v2"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/hcldecode"
)

// The values of a class's "effect".
const (
	nameIdempotent    = "safe"
	nameNonIdempotent = "unsafe"
)

// readSite reads a block "site".
func (d *decoder) readSite(b *hcl.Block) {
	s := &d.experiment.Site
	seen := map[string]hcl.Range{}
	d.Body(b.Body, hcldecode.Fields{
		"balancers": &s.Balancers,
		"told":      &s.ConfiguredBalancers,
		"attempts":  &s.MaxAttempts,
	}, hcldecode.Blocks{
		"network":     d.once(seen, d.readNetwork),
		"roster":      d.once(seen, d.readDiscovery),
		"rules":       d.once(seen, d.readRules),
		"limits":      d.once(seen, d.readLimits),
		"class name":  d.readClass,
		"tenant name": d.readTenant,
		"tier name":   d.readTier,
	})
	if len(s.Classes) == 0 || len(s.Tiers) == 0 {
		d.Errorf(b.DefRange, "site: needs at least one class and one tier")
		return
	}
	if s.Balancers < 1 {
		d.Errorf(b.DefRange, "site: balancers must be at least 1")
	}
	if last := s.Tiers[len(s.Tiers)-1]; last.Calls > 0 {
		d.Errorf(b.DefRange, "tier %s: the last tier has no other to call", last.Name)
	}
}

// readNetwork reads a block "network".
func (d *decoder) readNetwork(b *hcl.Block) {
	s := &d.experiment.Site
	var jitter hcldecode.Fraction
	d.Body(b.Body, hcldecode.Fields{"delay": &s.NetworkDelay, "jitter": &jitter}, nil)
	s.NetworkJitter = float64(jitter)
}

// readDiscovery reads a block "roster".
func (d *decoder) readDiscovery(b *hcl.Block) {
	discovery := &d.experiment.Site.Discovery
	d.Body(b.Body, hcldecode.Fields{"delay": &discovery.Delay, "spread": &discovery.Spread}, nil)
}

// readRules reads a block "rules", the parameters of the invariants.
func (d *decoder) readRules(b *hcl.Block) {
	rules := &d.experiment.Site.Rules
	d.Body(b.Body, hcldecode.Fields{
		"answer_slack": &rules.ResponseSlack,
		"drain_grace":  &rules.DrainGrace,
		"fall_over":    &rules.WarmupOverload,
		"fall_window":  &rules.OverloadWindow,
		"improper_for": &rules.ImproperPeerTimeout,
	}, nil)
}

// readLimits reads a block "limits".
func (d *decoder) readLimits(b *hcl.Block) {
	limits := &d.experiment.Site.Limits
	d.Body(b.Body, hcldecode.Fields{
		"memory_mb":   &limits.MemoryMB,
		"descriptors": &limits.Descriptors,
		"cores":       &limits.Cores,
	}, nil)
}

// readClass reads a block "class" of the site.
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
	hcldecode.OneOf(&d.Decoder, b.DefRange, "effect", idempotency, nameIdempotent, nameNonIdempotent)
	c.Distribution = experiment.Distribution(distribution)
	hcldecode.OneOf(&d.Decoder, b.DefRange, "spread", c.Distribution,
		experiment.Exponential, experiment.LogNormal, experiment.Fixed)
	if idempotency == nameNonIdempotent {
		c.Idempotency = balancer.NonIdempotent
	}
	c.CacheHitRatio = float64(hits)
	if c.LatencyObjective > c.Deadline {
		d.Errorf(b.DefRange, "class %s: aim %v is longer than deadline %v", c.Name, c.LatencyObjective,
			c.Deadline)
	}
	d.experiment.Site.Classes = append(d.experiment.Site.Classes, c)
}

// readTenant reads a block "tenant".
func (d *decoder) readTenant(b *hcl.Block) {
	t := experiment.Tenant{Name: b.Labels[0], TrafficShare: 1}
	var quota hcldecode.Rate
	d.Body(b.Body, hcldecode.Fields{"share": &t.TrafficShare, "quota": &quota}, nil)
	t.Quota = float64(quota)
	d.experiment.Site.Tenants = append(d.experiment.Site.Tenants, t)
}

// readTier reads a block "tier".
func (d *decoder) readTier(b *hcl.Block) {
	site := &d.experiment.Site
	t := experiment.Tier{Name: b.Labels[0], WorkFraction: 1}
	server := &t.Server
	var errorRate hcldecode.Fraction
	ok := d.Body(b.Body, hcldecode.Fields{
		"boxes!":       &t.Servers,
		"work":         &t.WorkFraction,
		"calls":        &t.Calls,
		"errors":       &errorRate,
		"cancel_stops": &server.CancelStopsWork,
	}, hcldecode.Blocks{
		"kind name":   func(b *hcl.Block) { t.Kinds = append(t.Kinds, d.readKind(b)) },
		"cold":        func(b *hcl.Block) { d.readWarmup(b, server) },
		"choke":       func(b *hcl.Block) { d.readCollapse(b, server) },
		"connections": func(b *hcl.Block) { d.readConnections(b, server) },
		"report":      func(b *hcl.Block) { d.readLoadReport(b, server) },
	})
	server.ErrorRate = float64(errorRate)
	if ok && t.Servers < 1 {
		d.Errorf(b.DefRange, "tier %s: boxes must be at least 1", t.Name)
	}
	t.Servers = max(t.Servers, 1)
	if len(t.Kinds) == 0 {
		t.Kinds = []experiment.Kind{defaultKind(defaultKindName)}
	}
	if site.TierIndex(t.Name) >= 0 {
		d.Errorf(b.DefRange, "tier: %q is defined twice", t.Name)
	}
	site.Tiers = append(site.Tiers, t)
}

// defaultKindName is the name of the kind of a tier that defines none. Reports have it.
const defaultKindName = "box"

// defaultKind returns a kind with the values of attributes that a file does not set.
func defaultKind(name string) experiment.Kind {
	return experiment.Kind{Name: name, Fraction: 1, Cores: 1, Speed: 1, Slots: 16, QueueLimit: 200}
}

// readKind reads a block "kind" of a tier.
func (d *decoder) readKind(b *hcl.Block) experiment.Kind {
	k := defaultKind(b.Labels[0])
	d.Body(b.Body, hcldecode.Fields{
		"share": &k.Fraction,
		"cores": &k.Cores,
		"speed": &k.Speed,
		"slots": &k.Slots,
		"queue": &k.QueueLimit,
	}, nil)
	if k.Cores < 1 || k.Slots < 1 || k.Speed <= 0 {
		d.Errorf(b.DefRange, "kind %s: cores, slots and speed must be above 0", k.Name)
	}
	return k
}

// readWarmup reads a block "cold" of a tier.
func (d *decoder) readWarmup(b *hcl.Block, s *experiment.ServerSpec) {
	initial := hcldecode.Fraction(s.InitialCapacity)
	d.Body(b.Body, hcldecode.Fields{"from!": &initial, "for!": &s.WarmupTime}, nil)
	s.InitialCapacity = float64(initial)
}

// readCollapse reads a block "choke" of a tier.
func (d *decoder) readCollapse(b *hcl.Block, s *experiment.ServerSpec) {
	d.Body(b.Body, hcldecode.Fields{
		"at!":     &s.CollapseQueue,
		"over!":   &s.CollapseAfter,
		"slower!": &s.CollapseSlowdown,
		"below!":  &s.RecoveryLoad,
		"rest!":   &s.RecoveryAfter,
		"most":    &s.MaxCollapse,
	}, nil)
	if s.CollapseSlowdown < 1 {
		d.Errorf(b.DefRange, "choke: slower is %g: the slowdown of a collapse is at least 1", s.CollapseSlowdown)
	}
}

// readConnections reads a block "connections" of a tier.
func (d *decoder) readConnections(b *hcl.Block, s *experiment.ServerSpec) {
	d.Body(b.Body, hcldecode.Fields{
		"work":  &s.ConnWork,
		"limit": &s.ConnLimit,
		"idle":  &s.ConnIdleTimeout,
	}, nil)
}

// readLoadReport reads a block "report" of a tier.
func (d *decoder) readLoadReport(b *hcl.Block, s *experiment.ServerSpec) {
	noise := hcldecode.Fraction(s.ReportNoise)
	d.Body(b.Body, hcldecode.Fields{
		"every!": &s.ReportInterval,
		"delay":  &s.ReportDelay,
		"noise":  &noise,
	}, nil)
	s.ReportNoise = float64(noise)
}
