package platform

import (
	"encoding/json"
	"fmt"
	"time"

	"rowancart/balancer"
)

// Settings are the balancer's settings and those of a program that manages connections itself.
type Settings struct {
	balancer.Settings
	ConnIdle    time.Duration // endpoints close connections that have been idle for this long; 0: unknown
	DialTimeout time.Duration // time limit for establishing a connection; 0: no limit
	MaxDeadline time.Duration // the longest maximum deadline of any class; 0: none is set
	DrainGrace  time.Duration // how long a draining endpoint may still be sent requests; 0: unknown
}

// SettingsField is the field of the simulator's start message that contains a SettingsObject.
const SettingsField = "Config"

// ParseSettings decodes and validates a SettingsObject, whose JSON form is the same in simulations
// and in deployments. Missing fields have the value 0.
func ParseSettings(text []byte) (Settings, error) {
	s, err := parseSettings(text)
	if err != nil {
		return Settings{}, &FieldError{Field: SettingsField, Err: err}
	}
	return s, nil
}

func parseSettings(text []byte) (Settings, error) {
	var object SettingsObject
	if err := json.Unmarshal(text, &object); err != nil {
		return Settings{}, err
	}
	if err := object.validate(); err != nil {
		return Settings{}, err
	}
	s := Settings{
		Settings:    object.balancerSettings(),
		ConnIdle:    microseconds(object.Permissions.ConnIdleUs),
		DialTimeout: microseconds(object.Permissions.DialTimeoutUs),
		DrainGrace:  microseconds(object.EndpointBehavior.DrainGraceUs),
	}
	switch object.Discovery {
	case DiscoveryAutomatic, "":
	case DiscoverySubscribe:
		s.SubscribeRequired = true
	default:
		return Settings{}, fmt.Errorf("unknown Discovery %q", object.Discovery)
	}
	for _, class := range object.Classes {
		s.MaxDeadline = max(s.MaxDeadline, microseconds(class.MaxDeadlineUs))
		parsed, err := class.parse()
		if err != nil {
			return Settings{}, err
		}
		s.Classes = append(s.Classes, parsed)
	}
	for _, tenant := range object.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: tenant.Name, Quota: tenant.Quota})
	}
	return s, nil
}

// balancerSettings returns the balancer's settings except the discovery mode, classes and tenants.
func (c *SettingsObject) balancerSettings() balancer.Settings {
	s := balancer.Settings{
		Instances:         c.Instances,
		Index:             c.Index,
		Tier:              c.Tier,
		TiersBelow:        max(len(c.Tiers)-1-c.Tier, 0),
		PollInterval:      microseconds(c.EndpointBehavior.PollIntervalUs),
		MaxAttempts:       c.Permissions.MaxAttempts,
		CancelAllowed:     c.Permissions.CancelAllowed,
		Resolution:        microseconds(c.ResolutionUs),
		SlowStartCapacity: c.EndpointBehavior.SlowStartCapacity,
		SlowStartShare:    c.EndpointBehavior.SlowStartShare,
		SlowStartWindow:   microseconds(c.EndpointBehavior.SlowStartWindowUs),
	}
	if c.Permissions.RetryAfterAllowed {
		s.MaxRetryAfter = microseconds(c.Permissions.MaxRetryAfterUs)
	}
	return s
}

// parse converts a class to its form in package balancer.
func (c ClassSettings) parse() (balancer.Class, error) {
	class := balancer.Class{Name: c.Name, KeyWindow: microseconds(c.KeyWindowUs),
		LatencyObjective: microseconds(c.LatencyObjectiveUs)}
	switch c.Idempotency {
	case Idempotent:
		class.Idempotency = balancer.Idempotent
	case IdempotencyKeyed:
		class.Idempotency = balancer.IdempotencyKeyed
	case NonIdempotent:
		class.Idempotency = balancer.NonIdempotent
	default:
		return class, fmt.Errorf("class %q has unknown Semantics %q", c.Name, c.Idempotency)
	}
	switch c.KeyScope {
	case KeyScopeAll, "":
		class.KeyScope = balancer.KeyScopeAll
	case KeyScopeZone:
		class.KeyScope = balancer.KeyScopeZone
	case KeyScopeCell:
		class.KeyScope = balancer.KeyScopeCell
	default:
		return class, fmt.Errorf("class %q has unknown Group %q", c.Name, c.KeyScope)
	}
	return class, nil
}

// validate rejects negative numbers. The balancer would treat a negative time, count or share as
// not set, or apply a rule in reverse.
func (c *SettingsObject) validate() error {
	numbers := []struct {
		field string
		value float64
	}{
		{"NInstances", float64(c.Instances)},
		{"Me", float64(c.Index)},
		{"Tier", float64(c.Tier)},
		{"ResolutionUs", float64(c.ResolutionUs)},
		{"Permissions.TryLimit", float64(c.Permissions.MaxAttempts)},
		{"Permissions.MaxRetryAfterUs", float64(c.Permissions.MaxRetryAfterUs)},
		{"Permissions.ConnIdleUs", float64(c.Permissions.ConnIdleUs)},
		{"Permissions.DialTimeoutUs", float64(c.Permissions.DialTimeoutUs)},
		{"Rules.AskWithinUs", float64(c.EndpointBehavior.PollIntervalUs)},
		{"Rules.ColdUs", float64(c.EndpointBehavior.SlowStartWindowUs)},
		{"Rules.DrainGraceUs", float64(c.EndpointBehavior.DrainGraceUs)},
		{"Rules.ColdFrom", c.EndpointBehavior.SlowStartCapacity},
		{"Rules.ColdShare", c.EndpointBehavior.SlowStartShare},
	}
	for _, n := range numbers {
		if n.value < 0 {
			return &FieldError{Field: n.field, Err: fmt.Errorf("%v is negative", n.value)}
		}
	}
	for _, class := range c.Classes {
		if class.LatencyObjectiveUs < 0 || class.MaxDeadlineUs < 0 || class.KeyWindowUs < 0 {
			return &FieldError{Field: "Lanes",
				Err: fmt.Errorf("class %q has a negative OnTimeUs, HardLimitUs or WindowUs", class.Name)}
		}
	}
	for _, tenant := range c.Tenants {
		if tenant.Quota < 0 {
			return &FieldError{Field: "Accounts",
				Err: fmt.Errorf("tenant %q has a negative quota of %v/s", tenant.Name, tenant.Quota)}
		}
	}
	return nil
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
