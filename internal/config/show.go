package config

import (
	"cmp"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
	"text/tabwriter"

	"rowancart/internal/netaddr"
)

// checkAddress words what is wrong with an address, without the field that its caller names.
func checkAddress(addr string) error {
	if err := netaddr.Check("", addr); err != nil {
		return fmt.Errorf("%q is no host:port: %s", addr, strings.TrimPrefix(err.Error(), ": "))
	}
	return nil
}

// Show prints the policy of each route, and where each value was said.
func (c *Config) Show(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, x := range c.Routes {
		if i > 0 {
			fmt.Fprintln(tw)
		}
		m := x.Match
		fmt.Fprintf(tw, "route %q: %s %s%s, class %q (%s), pool %q\n", x.Name, cmp.Or(strings.Join(m.Methods, "|"), "any method"),
			cmp.Or(m.Host, "*"), cmp.Or(m.Path, "/*"), x.Class.Name, Word(x.Class.Effect), x.Pool)
		for _, a := range attributes {
			if a.word != nil {
				fmt.Fprintf(tw, "  %s\t%s\t%s\n", a.name, a.word(x.Policy), x.From[a.name])
			}
		}
	}
	return tw.Flush()
}

// Compare words what another configuration changes, a line each: which parts came, went or are different.
func (c *Config) Compare(next *Config) []string {
	var out []string
	parts := func(kind string, old, new map[string]any) {
		var names []string
		for name := range old {
			names = append(names, name)
		}
		for name := range new {
			if _, ok := old[name]; !ok {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		for _, name := range names {
			was, had := old[name]
			is, has := new[name]
			switch {
			case !has:
				out = append(out, fmt.Sprintf("%s %q went", kind, name))
			case !had:
				out = append(out, fmt.Sprintf("%s %q came", kind, name))
			case !reflect.DeepEqual(was, is):
				out = append(out, fmt.Sprintf("%s %q changed", kind, name))
			}
		}
	}
	parts("listener", index(c.Listeners, func(l Listener) string { return l.Name }), index(next.Listeners, func(l Listener) string { return l.Name }))
	parts("pool", index(c.Pools, func(p Pool) string { return p.Name }), index(next.Pools, func(p Pool) string { return p.Name }))
	bare := func(routes []Route) map[string]any {
		in := index(routes, func(r Route) string { return r.Name })
		for name, v := range in {
			x := v.(Route)
			x.From = nil // where it was said changes nothing
			in[name] = x
		}
		return in
	}
	parts("route", bare(c.Routes), bare(next.Routes))
	whole := func(c *Config) map[string]any {
		return map[string]any{"admin": c.Admin, "fleet": c.Fleet, "state": c.State, "limits": c.Limits, "tenants": c.Tenants}
	}
	parts("block", whole(c), whole(next))
	return out
}

func index[T any](list []T, name func(T) string) map[string]any {
	out := map[string]any{}
	for _, v := range list {
		out[name(v)] = v
	}
	return out
}
