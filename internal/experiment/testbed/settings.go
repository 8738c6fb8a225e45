package testbed

import (
	"encoding/json"
	"time"

	"rowancart/balancer"
	"rowancart/internal/experiment"
)

const (
	maxRetryAfter   = 2 * time.Second
	sidecarDialTime = 250 * time.Millisecond // in which a sidecar's connection to a server must be established
	resolution      = time.Millisecond
)

// platformSettings returns a site's settings in the platform's form (WIRE, Read your settings), for
// a sidecar before a tier.
func platformSettings(site experiment.Site, variant experiment.Variant,
	tier, index, count int) (json.RawMessage, error) {
	index, count = site.AssignedIndex(tier, index, count)
	var lanes []map[string]any
	for _, c := range site.Classes {
		semantics := "read_like"
		if c.Repeat == balancer.NonIdempotent {
			semantics = "non_idempotent"
		}
		lanes = append(lanes, map[string]any{"Name": c.Name, "Semantics": semantics, "Group": "all",
			"OnTimeUs": c.LatencyObjective.Microseconds(), "HardLimitUs": c.Deadline.Microseconds(),
			"Credit": c.PriorityWeight})
	}
	var accounts, tiers []any
	for _, t := range site.Tenants {
		accounts = append(accounts, map[string]any{"Name": t.Name, "QuotaPerS": t.Quota, "Share": t.TrafficShare})
	}
	for _, t := range site.Tiers {
		tiers = append(tiers, t.Name)
	}
	server := site.Tiers[tier].Server
	return json.Marshal(map[string]any{
		"NInstances":   count,
		"Me":           index,
		"Tier":         tier,
		"Tiers":        tiers,
		"Lanes":        lanes,
		"Accounts":     accounts,
		"Discovery":    "automatic",
		"ResolutionUs": resolution.Microseconds(),
		"Permissions": map[string]any{
			"MayCancel":       true,
			"MayProbe":        false,
			"RetryAfter":      true,
			"TryLimit":        site.MaxAttempts,
			"MaxRetryAfterUs": maxRetryAfter.Microseconds(),
			"ConnIdleUs":      server.ConnIdleTimeout.Microseconds(),
			"DialTimeoutUs":   sidecarDialTime.Microseconds(),
		},
		"Rules": map[string]any{
			"ColdFrom":  server.InitialCapacity,
			"ColdUs":    server.WarmupTime.Microseconds(),
			"ColdShare": variant.SlowStartShare,
		},
	})
}
