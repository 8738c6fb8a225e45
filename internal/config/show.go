package config

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Show writes the policy of each route to w, with the place where each value was set.
func (c *Config) Show(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, r := range c.Routes {
		if i > 0 {
			fmt.Fprintln(tw)
		}
		m := r.Match
		fmt.Fprintf(tw, "route %q: %s %s%s, class %q (%s), pool %q\n", r.Name,
			cmp.Or(strings.Join(m.Methods, "|"), "any method"), cmp.Or(m.Host, "*"), cmp.Or(m.Path, "/*"),
			r.Class.Name, idempotencyName(r.Class.Idempotency), r.Pool)
		for _, a := range attributes {
			if a.format != nil {
				fmt.Fprintf(tw, "  %s\t%s\t%s\n", a.name, a.format(r.Policy), r.Origins[a.name])
			}
		}
	}
	return tw.Flush()
}
