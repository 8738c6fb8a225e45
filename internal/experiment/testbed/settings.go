package testbed

import (
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
	"rowancart/internal/platform"
)

// sidecarDialTimeout bounds the time in which a sidecar must establish a connection to a server.
const sidecarDialTimeout = 250 * time.Millisecond

// platformSettings returns a site's settings in the platform's format for the sidecar at a
// placement (WIRE, section Read your settings).
func platformSettings(site experiment.Site, variant experiment.Variant,
	at experiment.Placement) platform.SettingsObject {
	at = site.ConfiguredPlacement(at)
	server := site.Tiers[at.Tier].Server
	settings := platform.SettingsObject{
		Instances:    at.Count,
		Index:        at.Index,
		Tier:         at.Tier,
		Classes:      classSettings(site.Classes),
		Discovery:    platform.DiscoveryAutomatic,
		ResolutionUs: experiment.Resolution.Microseconds(),
		Permissions: platform.Permissions{
			CancelAllowed:     true,
			RetryAfterAllowed: true,
			MaxAttempts:       site.MaxAttempts,
			MaxRetryAfterUs:   experiment.MaxRetryAfter.Microseconds(),
			ConnIdleUs:        server.ConnIdleTimeout.Microseconds(),
			DialTimeoutUs:     sidecarDialTimeout.Microseconds(),
		},
		EndpointBehavior: platform.EndpointBehavior{
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

// classSettings returns a site's classes in the platform's format.
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
