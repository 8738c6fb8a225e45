package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"rowancart/balancer"
)

// settings is the shape of the START message's Config, as far as it is used.
type settings struct {
	NInstances int
	Me         int
	Tier       int
	Tiers      []string
	Lanes      []struct {
		Name, Semantics, Group          string
		OnTimeUs, HardLimitUs, WindowUs int64
	}
	Accounts []struct {
		Name      string
		QuotaPerS float64
	}
	Discovery    string
	ResolutionUs int64
	Permissions  struct {
		MayCancel, RetryAfter                      bool
		TryLimit                                   int
		MaxRetryAfterUs, ConnIdleUs, DialTimeoutUs int64
	}
	Rules struct {
		AskWithinUs, ColdUs, DrainGraceUs int64
		ColdFrom                          float64
		ColdShare                         float64 // ours: the platform says nothing of it
	}
}

// check refuses what is no amount: a time, a count or a share under zero would be taken for none, or turn a rule round.
func (c *settings) check() error {
	amounts := []struct {
		field string
		value float64
	}{
		{"NInstances", float64(c.NInstances)}, {"Me", float64(c.Me)}, {"Tier", float64(c.Tier)}, {"ResolutionUs", float64(c.ResolutionUs)},
		{"Permissions.TryLimit", float64(c.Permissions.TryLimit)}, {"Permissions.MaxRetryAfterUs", float64(c.Permissions.MaxRetryAfterUs)},
		{"Permissions.ConnIdleUs", float64(c.Permissions.ConnIdleUs)}, {"Permissions.DialTimeoutUs", float64(c.Permissions.DialTimeoutUs)},
		{"Rules.AskWithinUs", float64(c.Rules.AskWithinUs)}, {"Rules.ColdUs", float64(c.Rules.ColdUs)},
		{"Rules.DrainGraceUs", float64(c.Rules.DrainGraceUs)},
		{"Rules.ColdFrom", c.Rules.ColdFrom}, {"Rules.ColdShare", c.Rules.ColdShare},
	}
	for _, a := range amounts {
		if a.value < 0 {
			return fmt.Errorf("%s: %v is negative", a.field, a.value)
		}
	}
	for _, l := range c.Lanes {
		if l.OnTimeUs < 0 || l.HardLimitUs < 0 || l.WindowUs < 0 {
			return fmt.Errorf("Lanes: class %q has a negative time", l.Name)
		}
	}
	for _, a := range c.Accounts {
		if a.QuotaPerS < 0 {
			return fmt.Errorf("Accounts: tenant %q has a quota of %v/s", a.Name, a.QuotaPerS)
		}
	}
	return nil
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Settings is what the object says to a host: the module's part, and what a host with connections of its own needs.
type Settings struct {
	balancer.Settings
	ConnIdle    time.Duration // an endpoint closes a connection that has been idle for this long; 0: not told
	DialTimeout time.Duration // a connection not made by then has failed; 0: not told
	MaxDeadline time.Duration // deadline of all classes; 0: none is told
	DrainGrace  time.Duration // for which endpoints that drain may still be sent to; 0: not told
}

// ParseSettings reads the settings object, which the simulator and the deployment give in the same form.
func ParseSettings(text []byte) (Settings, error) {
	var c settings
	if err := json.Unmarshal(text, &c); err != nil {
		return Settings{}, fmt.Errorf("Config: %w", err)
	}
	if err := c.check(); err != nil {
		return Settings{}, fmt.Errorf("Config: %w", err)
	}
	s := Settings{ConnIdle: us(c.Permissions.ConnIdleUs), DialTimeout: us(c.Permissions.DialTimeoutUs), DrainGrace: us(c.Rules.DrainGraceUs)}
	s.Settings = balancer.Settings{
		Instances: c.NInstances, Index: c.Me, Tier: c.Tier, TiersBelow: max(len(c.Tiers)-1-c.Tier, 0),
		PollInterval: us(c.Rules.AskWithinUs), MaxAttempts: c.Permissions.TryLimit,
		CancelAllowed: c.Permissions.MayCancel,
		Resolution:    us(c.ResolutionUs), SlowStartCapacity: c.Rules.ColdFrom, SlowStartShare: c.Rules.ColdShare, SlowStartWindow: us(c.Rules.ColdUs),
	}
	if c.Permissions.RetryAfter {
		s.MaxRetryAfter = us(c.Permissions.MaxRetryAfterUs)
	}
	switch c.Discovery {
	case "automatic", "":
	case "subscribe":
		s.SubscribeRequired = true
	default:
		return s, fmt.Errorf("Config: unknown Discovery %q", c.Discovery)
	}
	for _, l := range c.Lanes {
		s.MaxDeadline = max(s.MaxDeadline, us(l.HardLimitUs))
		k := balancer.Class{Name: l.Name, KeyWindow: us(l.WindowUs), LatencyObjective: us(l.OnTimeUs)}
		switch l.Semantics {
		case "read_like":
			k.Repeat = balancer.Idempotent
		case "idempotency_key":
			k.Repeat = balancer.IdempotencyKeyed
		case "non_idempotent":
			k.Repeat = balancer.NonIdempotent
		default:
			return s, fmt.Errorf("Config: class %q has unknown Semantics %q", l.Name, l.Semantics)
		}
		switch l.Group {
		case "all", "":
			k.KeyScope = balancer.KeyScopeAll
		case "zone":
			k.KeyScope = balancer.KeyScopeZone
		case "cell":
			k.KeyScope = balancer.KeyScopeCell
		default:
			return s, fmt.Errorf("Config: class %q has unknown Group %q", l.Name, l.Group)
		}
		s.Classes = append(s.Classes, k)
	}
	for _, a := range c.Accounts {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: a.Name, Quota: a.QuotaPerS})
	}
	return s, nil
}
