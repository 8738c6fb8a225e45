package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Compare returns a line for each listener, pool, route and other block that next adds, removes or
// changes.
func (c *Config) Compare(next *Config) []string {
	var lines []string
	lines = append(lines, compareBlocks("listener", listenersByName(c), listenersByName(next))...)
	lines = append(lines, compareBlocks("pool", poolsByName(c), poolsByName(next))...)
	lines = append(lines, compareBlocks("route", routesByName(c), routesByName(next))...)
	return append(lines, compareBlocks("block", remainingParts(c), remainingParts(next))...)
}

// compareBlocks compares the blocks of one kind. Both maps are keyed by name.
func compareBlocks(kind string, old, new map[string]any) []string {
	all := maps.Clone(old)
	maps.Copy(all, new)
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(all)) {
		oldBlock, inOld := old[name]
		newBlock, inNew := new[name]
		switch {
		case !inNew:
			lines = append(lines, fmt.Sprintf("%s %q went", kind, name))
		case !inOld:
			lines = append(lines, fmt.Sprintf("%s %q came", kind, name))
		case !reflect.DeepEqual(oldBlock, newBlock):
			lines = append(lines, fmt.Sprintf("%s %q changed", kind, name))
		}
	}
	return lines
}

func listenersByName(c *Config) map[string]any {
	blocks := map[string]any{}
	for _, l := range c.Listeners {
		blocks[l.Name] = l
	}
	return blocks
}

func poolsByName(c *Config) map[string]any {
	blocks := map[string]any{}
	for _, p := range c.Pools {
		blocks[p.Name] = p
	}
	return blocks
}

// routesByName returns the routes without the origins of their attributes, because a change of an
// origin alone does not change what a route does.
func routesByName(c *Config) map[string]any {
	blocks := map[string]any{}
	for _, r := range c.Routes {
		r.Origins = nil
		blocks[r.Name] = r
	}
	return blocks
}

// remainingParts returns the parts of a configuration that are compared as a whole, by the names
// under which Compare reports them.
func remainingParts(c *Config) map[string]any {
	return map[string]any{
		"admin":   c.Admin,
		"fleet":   c.Fleet,
		"state":   c.Snapshot,
		"limits":  c.Limits,
		"tenants": c.Tenants,
	}
}
