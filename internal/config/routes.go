package config

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"rowancart/internal/hcldecode"
	"rowancart/internal/platform"
	"rowancart/internal/route"
)

// routableMethods are the methods that a route may name. CONNECT and TRACE are not forwarded.
var routableMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	http.MethodOptions,
}

func (d *decoder) route(b *hcl.Block) {
	r := Route{Name: b.Labels[0], TenantHeader: platform.TenantHeader, Origins: map[string]string{}}
	if !d.define(b, r.Name) {
		return
	}
	var class, policy string
	var inlinePolicy *policyBlock
	m := &r.Match
	ok := d.Body(b.Body, hcldecode.Fields{
		"host":          &m.Host,
		"path":          &m.Path,
		"methods":       &m.Methods,
		"listeners":     &r.Listeners,
		"class!":        &class,
		"pool!":         &r.Pool,
		"policy":        &policy,
		"tenant_header": &r.TenantHeader,
	}, hcldecode.Blocks{
		"header name": func(b *hcl.Block) { d.header(b, m) },
		"policy": func(b *hcl.Block) {
			if inlinePolicy != nil {
				d.Errorf(b.DefRange, "policy: route %q already has a policy block", r.Name)
			}
			inlinePolicy = d.policy(b, fmt.Sprintf("route %q", r.Name))
		},
	})
	// A route with errors is added as well, so that its overlaps with other routes are reported.
	defer func() { d.Routes = append(d.Routes, r) }()
	if !ok {
		return
	}
	d.checkMatch(&r)
	d.resolve(d.Ranges[&r.Pool], "pool", r.Pool)
	if !d.resolve(d.Ranges[&class], "class", class) {
		return
	}
	r.Class = d.Classes[slices.IndexFunc(d.Classes, func(c Class) bool { return c.Name == class })]
	var layers []*policyBlock
	if inlinePolicy != nil {
		layers = append(layers, inlinePolicy)
	}
	if policy != "" && d.resolve(d.Ranges[&policy], "policy", policy) {
		layers = append(layers, d.policies[policy])
	}
	if p := d.policies[d.classPolicies[class].name]; p != nil {
		layers = append(layers, p)
	}
	d.mergePolicy(&r, layers, b.DefRange)
}

// header decodes a block "header", a header that a request must have to match a route.
func (d *decoder) header(b *hcl.Block, m *route.Match) {
	var equals string
	d.Body(b.Body, hcldecode.Fields{"equals!": &equals}, nil)
	if m.Headers == nil {
		m.Headers = map[string]string{}
	}
	name := http.CanonicalHeaderKey(b.Labels[0])
	if _, exists := m.Headers[name]; exists {
		d.Errorf(b.DefRange, "header: %q is defined twice", name)
	}
	m.Headers[name] = equals
}

// checkMatch validates the match condition of a route and the names of its listeners.
func (d *decoder) checkMatch(r *Route) {
	m := &r.Match
	if err := m.Check(); err != nil {
		d.Errorf(cmp.Or(d.Ranges[&m.Path], d.Ranges[&m.Host]), "%v", err)
	}
	for _, name := range m.Methods {
		hcldecode.OneOf(&d.Decoder, d.Ranges[&m.Methods], "methods", name, routableMethods...)
	}
	for _, name := range r.Listeners {
		d.resolve(d.Ranges[&r.Listeners], "listener", name)
	}
}
