package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Compare returns a line for each part that another configuration adds, removes or changes.
func (c *Config) Compare(next *Config) []string {
	var lines []string
	lines = append(lines, compareParts("listener", listenersByName(c), listenersByName(next))...)
	lines = append(lines, compareParts("pool", poolsByName(c), poolsByName(next))...)
	lines = append(lines, compareParts("route", routesByName(c), routesByName(next))...)
	return append(lines, compareParts("block", singleBlocks(c), singleBlocks(next))...)
}

// compareParts compares parts of one kind by their names.
func compareParts(kind string, old, new map[string]any) []string {
	all := maps.Clone(old)
	maps.Copy(all, new)
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(all)) {
		oldPart, inOld := old[name]
		newPart, inNew := new[name]
		switch {
		case !inNew:
			lines = append(lines, fmt.Sprintf("%s %q went", kind, name))
		case !inOld:
			lines = append(lines, fmt.Sprintf("%s %q came", kind, name))
		case !reflect.DeepEqual(oldPart, newPart):
			lines = append(lines, fmt.Sprintf("%s %q changed", kind, name))
		}
	}
	return lines
}

func listenersByName(c *Config) map[string]any {
	parts := map[string]any{}
	for _, l := range c.Listeners {
		parts[l.Name] = l
	}
	return parts
}

func poolsByName(c *Config) map[string]any {
	parts := map[string]any{}
	for _, p := range c.Pools {
		parts[p.Name] = p
	}
	return parts
}

// routesByName returns the routes without the origins of their attributes, which make no
// difference.
func routesByName(c *Config) map[string]any {
	parts := map[string]any{}
	for _, r := range c.Routes {
		r.Origins = nil
		parts[r.Name] = r
	}
	return parts
}

// singleBlocks returns the blocks of which a file has one each, by the names under which changes
// are reported.
func singleBlocks(c *Config) map[string]any {
	return map[string]any{
		"admin":   c.Admin,
		"fleet":   c.Fleet,
		"state":   c.Snapshot,
		"limits":  c.Limits,
		"tenants": c.Tenants,
	}
}
