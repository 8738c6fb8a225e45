package config

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Show prints the policy of each route, and where each value was set.
func (c *Config) Show(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, x := range c.Routes {
		if i > 0 {
			fmt.Fprintln(tw)
		}
		m := x.Match
		fmt.Fprintf(tw, "route %q: %s %s%s, class %q (%s), pool %q\n", x.Name,
			cmp.Or(strings.Join(m.Methods, "|"), "any method"), cmp.Or(m.Host, "*"), cmp.Or(m.Path, "/*"),
			x.Class.Name, effectName(x.Class.Repeatability), x.Pool)
		for _, a := range attributes {
			if a.format != nil {
				fmt.Fprintf(tw, "  %s\t%s\t%s\n", a.name, a.format(x.Policy), x.Origins[a.name])
			}
		}
	}
	return tw.Flush()
}
