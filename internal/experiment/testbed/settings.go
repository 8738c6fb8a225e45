package testbed

import (
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/platform"
)

const (
	maxRetryAfter   = 2 * time.Second
	sidecarDialTime = 250 * time.Millisecond // in which a sidecar's connection to a server must be established
	resolution      = time.Millisecond
)

// platformSettings returns a site's settings in the platform's form (WIRE, Read your settings), for
// the sidecar at a placement.
func platformSettings(site experiment.Site, variant experiment.Variant,
	at placement) platform.SettingsObject {
	index, count := site.AssignedIndex(at.tier, at.index, at.count)
	server := site.Tiers[at.tier].Server
	settings := platform.SettingsObject{
		Instances:    count,
		Index:        index,
		Tier:         at.tier,
		Classes:      classSettings(site.Classes),
		Discovery:    platform.DiscoveryAutomatic,
		ResolutionUs: resolution.Microseconds(),
		Permissions: platform.Permissions{
			CancelAllowed:     true,
			RetryAfterAllowed: true,
			MaxAttempts:       site.MaxAttempts,
			MaxRetryAfterUs:   maxRetryAfter.Microseconds(),
			ConnIdleUs:        server.ConnIdleTimeout.Microseconds(),
			DialTimeoutUs:     sidecarDialTime.Microseconds(),
		},
		Rules: platform.EndpointBehavior{
			SlowStartCapacity: server.InitialCapacity,
			SlowStartWindowUs: server.WarmupTime.Microseconds(),
			SlowStartShare:    variant.SlowStartShare,
		},
	}
	for _, t := range site.Tenants {
		settings.Tenants = append(settings.Tenants, platform.TenantSettings{
			Name:         t.Name,
			Quota:        t.Quota,
			TrafficShare: platform.WriteOnly[float64]{Value: t.TrafficShare},
		})
	}
	for _, t := range site.Tiers {
		settings.Tiers = append(settings.Tiers, t.Name)
	}
	return settings
}

// classSettings returns the platform's form of a site's classes.
func classSettings(classes []experiment.Class) []platform.ClassSettings {
	var settings []platform.ClassSettings
	for _, c := range classes {
		idempotency := platform.Idempotent
		if c.Idempotency == balancer.NonIdempotent {
			idempotency = platform.NonIdempotent
		}
		settings = append(settings, platform.ClassSettings{
			Name:               c.Name,
			Idempotency:        idempotency,
			KeyScope:           platform.KeyScopeAll,
			LatencyObjectiveUs: c.LatencyObjective.Microseconds(),
			MaxDeadlineUs:      c.Deadline.Microseconds(),
			PriorityWeight:     platform.WriteOnly[float64]{Value: c.PriorityWeight},
		})
	}
	return settings
}
