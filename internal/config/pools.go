package config

import (
	"github.com/hashicorp/hcl/v2"

	"rowancart/internal/hcldecode"
)

func (d *decoder) pool(b *hcl.Block) {
	p := Pool{
		Name:              b.Labels[0],
		MaxConns:          defaultPoolConns,
		SlowStartCapacity: defaultSlowStartCapacity,
		SlowStartWindow:   defaultSlowStartWindow,
		SlowStartShare:    defaultSlowStartShare,
	}
	if !d.define(b, p.Name) {
		return
	}
	sources := 0
	ok := d.Body(b.Body, hcldecode.Fields{
		"connections":     &p.MaxConns,
		"connection_idle": &p.ConnIdleTimeout,
		"dial_timeout":    &p.DialTimeout,
		"tiers_below":     &p.TiersBelow,
		"subset":          &p.Subset,
	}, hcldecode.Blocks{
		"warm_up":      func(b *hcl.Block) { d.slowStart(b, &p) },
		"retry_budget": func(b *hcl.Block) { d.RetryBudget(b, &p.RetryBudget) },
		"roster kind": func(b *hcl.Block) {
			if sources++; sources > 1 {
				d.Errorf(b.DefRange, "roster: pool %q already has a roster", p.Name)
			}
			d.endpointSource(b, &p.Source)
		},
	})
	if ok && sources == 0 {
		d.Errorf(b.DefRange, "pool %q has no roster", p.Name)
	}
	if at, hasSubset := d.Ranges[&p.Subset]; ok && hasSubset && p.Subset < minSubset {
		d.Errorf(at, "subset: %d endpoints are too few to choose from; the minimum is %d", p.Subset, minSubset)
	}
	if ok && p.MaxConns < minPoolConns {
		d.Errorf(d.Ranges[&p.MaxConns], "connections: a pool needs at least %d", minPoolConns)
	}
	d.Pools = append(d.Pools, p)
}

func (d *decoder) slowStart(b *hcl.Block, p *Pool) {
	capacity := hcldecode.Fraction(p.SlowStartCapacity)
	d.Body(b.Body, hcldecode.Fields{"from": &capacity, "within": &p.SlowStartWindow, "share": &p.SlowStartShare}, nil)
	if p.SlowStartShare <= 0 || p.SlowStartShare > maxSlowStartShare {
		d.Errorf(b.DefRange, "warm_up: share is %g, but must be above 0 and at most %d: "+
			"it scales the share of the traffic that a warming endpoint gets", p.SlowStartShare, maxSlowStartShare)
	}
	p.SlowStartCapacity = float64(capacity)
}

// endpointSource decodes the block "roster" of a pool.
func (d *decoder) endpointSource(b *hcl.Block, source *EndpointSource) {
	switch kind := b.Labels[0]; kind {
	case "static":
		d.staticEndpoints(b, source)
	case "file":
		d.Body(b.Body, hcldecode.Fields{"path!": &source.File}, nil)
	case "platform":
		if d.Body(b.Body, hcldecode.Fields{"address!": &source.Platform}, nil) {
			if err := checkHostPort(source.Platform); err != nil {
				d.Errorf(d.Ranges[&source.Platform], "address: %v", err)
			}
		}
	default:
		d.Errorf(b.DefRange, "roster: %q is not one of static, file, platform", kind)
	}
}

// staticEndpoints decodes a list of endpoints, in which ids and addresses must be unique.
func (d *decoder) staticEndpoints(b *hcl.Block, source *EndpointSource) {
	ids, addresses := map[string]hcl.Range{}, map[string]hcl.Range{}
	checkUnique := func(seen map[string]hcl.Range, attribute, value string, at hcl.Range) {
		if first, ok := seen[value]; ok {
			d.Errorf(at, "%s: %q is already in use at %s", attribute, value, hcldecode.PositionOf(first))
		}
		seen[value] = at
	}
	d.Body(b.Body, nil, hcldecode.Blocks{"endpoint id": func(b *hcl.Block) {
		e := Endpoint{ID: b.Labels[0]}
		fields := hcldecode.Fields{"address!": &e.Address, "zone": &e.Zone, "kind": &e.Kind, "cell": &e.Cell}
		if d.Body(b.Body, fields, nil) {
			at := d.Ranges[&e.Address]
			if err := checkHostPort(e.Address); err != nil {
				d.Errorf(at, "address: %v", err)
			}
			if first, ok := d.addresses[e.Address]; ok {
				d.Errorf(at, "address: %s is a listen address of this process, set at %s",
					e.Address, hcldecode.PositionOf(first))
			}
			checkUnique(ids, "endpoint", e.ID, b.DefRange)
			checkUnique(addresses, "address", e.Address, at)
		}
		source.Static = append(source.Static, e)
	}})
	if len(source.Static) == 0 {
		d.Errorf(b.DefRange, "roster: a static list needs at least one endpoint")
	}
}
