package config

import (
	"net"
	"strings"

	"github.com/hashicorp/hcl/v2"

	"rowancart/balancer"
	"rowancart/internal/hcldecode"
)

func (d *decoder) admin(b *hcl.Block) {
	if !d.Body(b.Body, hcldecode.Fields{"listen!": &d.Admin}, nil) {
		return
	}
	at := d.Ranges[&d.Admin]
	d.checkListenAddress(at, "listen", d.Admin)
	if !isLocal(d.Admin) {
		d.Errorf(at, "listen: %s is not a loopback address, and the admin interface has no authentication", d.Admin)
	}
}

// isLocal reports whether an address is a unix socket or a loopback address. It returns true for
// text that is not an address.
func isLocal(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err != nil || strings.HasPrefix(address, "unix:") || host == "localhost" || net.ParseIP(host).IsLoopback()
}

func (d *decoder) fleet(b *hcl.Block) {
	f := &d.Fleet
	if !d.Body(b.Body, hcldecode.Fields{"instances": &f.Instances, "index": &f.Index, "name": &f.Name}, nil) {
		return
	}
	if f.Instances < 1 || f.Index >= f.Instances {
		d.Errorf(b.DefRange, "fleet: index %d is out of range for %d instances", f.Index, f.Instances)
	}
	if _, hasIndex := d.Ranges[&f.Index]; hasIndex && f.Name != "" {
		d.Errorf(d.Ranges[&f.Name], "name: cannot be combined with index; a name is for instances that have no index")
	}
}

func (d *decoder) state(b *hcl.Block) {
	s := &d.Snapshot
	s.Interval, s.MaxAge = defaultSnapshotInterval, defaultSnapshotMaxAge
	if !d.Body(b.Body, hcldecode.Fields{"path!": &s.Path, "every": &s.Interval, "fresh_for": &s.MaxAge}, nil) {
		return
	}
	if s.Path == "" {
		d.Errorf(d.Ranges[&s.Path], "path: must not be empty")
	}
	if s.Interval < minSnapshotInterval {
		d.Errorf(d.Ranges[&s.Interval], "every: %v is below the minimum of %v: the learned state does not change faster",
			s.Interval, minSnapshotInterval)
	}
	if s.MaxAge < s.Interval {
		d.Errorf(b.DefRange, "state: fresh_for is %v, which is shorter than the time between two snapshots, %v",
			s.MaxAge, s.Interval)
	}
}

func (d *decoder) limits(b *hcl.Block) {
	l := &d.Limits
	memory := hcldecode.Size(l.Memory)
	if !d.Body(b.Body, hcldecode.Fields{
		"memory":           &memory,
		"connections":      &l.MaxConns,
		"stop_within":      &l.StopTimeout,
		"hand_over_within": &l.HandoverTimeout,
	}, nil) {
		return
	}
	l.Memory = int64(memory)
	if l.Memory < minMemory {
		d.Errorf(d.Ranges[&memory], "memory: the process needs at least %dMiB", minMemory>>20)
	}
	if l.MaxConns < minMaxConns {
		d.Errorf(d.Ranges[&l.MaxConns], "connections: the process needs at least %d", minMaxConns)
	}
	if need := baseMemory + int64(l.MaxConns)*memoryPerConn; need > l.Memory && l.Memory >= minMemory {
		d.Errorf(b.DefRange, "limits: %d connections need %dMiB, but memory is %dMiB", l.MaxConns, need>>20, l.Memory>>20)
	}
	if l.StopTimeout < minStopTimeout {
		d.Errorf(d.Ranges[&l.StopTimeout], "stop_within: %v leaves no time to notify clients; the minimum is %v",
			l.StopTimeout, minStopTimeout)
	}
}

func (d *decoder) listener(b *hcl.Block) {
	l := Listener{Name: b.Labels[0]}
	if d.define(b, l.Name) && d.Body(b.Body, hcldecode.Fields{"address!": &l.Address}, nil) {
		d.checkListenAddress(d.Ranges[&l.Address], "address", l.Address)
	}
	d.Listeners = append(d.Listeners, l)
}

// keyScopes maps the values of a class's attribute "group" to key scopes.
var keyScopes = map[string]balancer.KeyScope{
	"all":  balancer.KeyScopeAll,
	"zone": balancer.KeyScopeZone,
	"cell": balancer.KeyScopeCell,
}

func (d *decoder) class(b *hcl.Block) {
	c := Class{Name: b.Labels[0], LatencyObjective: defaultLatencyObjective, PriorityWeight: defaultPriorityWeight}
	var idempotency, policy string
	scope := "all"
	ok := d.define(b, c.Name) && d.Body(b.Body, hcldecode.Fields{
		"effect!": &idempotency,
		"aim":     &c.LatencyObjective,
		"worth":   &c.PriorityWeight,
		"group":   &scope,
		"window":  &c.KeyWindow,
		"policy":  &policy,
	}, nil)
	if ok {
		hcldecode.OneOf(&d.Decoder, d.Ranges[&idempotency], "effect", idempotency,
			nameIdempotent, nameKeyed, nameNonIdempotent)
		hcldecode.OneOf(&d.Decoder, d.Ranges[&scope], "group", scope, "all", "zone", "cell")
		c.Idempotency = idempotencyByName[idempotency]
		c.KeyScope = keyScopes[scope]
		d.checkKeyWindow(b, &c, idempotency)
		if policy != "" {
			d.classPolicies[c.Name] = reference{policy, d.Ranges[&policy]}
		}
	}
	d.Classes = append(d.Classes, c)
}

// checkKeyWindow requires that keyed classes set a window, and that other classes set none.
func (d *decoder) checkKeyWindow(b *hcl.Block, c *Class, idempotency string) {
	at, hasWindow := d.Ranges[&c.KeyWindow]
	switch {
	case idempotency == nameKeyed && c.KeyWindow == 0:
		d.Errorf(b.DefRange,
			"class %q: a keyed class needs a window above 0s, during which endpoints drop duplicates of a key",
			c.Name)
	case idempotency != nameKeyed && hasWindow:
		d.Errorf(at, "window: class %q is %s, but endpoints drop duplicates of keyed classes only", c.Name, idempotency)
	}
}

func (d *decoder) tenant(b *hcl.Block) {
	t := balancer.Tenant{Name: b.Labels[0]}
	var quota hcldecode.Rate
	if d.define(b, t.Name) {
		d.Body(b.Body, hcldecode.Fields{"quota!": &quota}, nil)
	}
	t.Quota = float64(quota)
	d.Tenants = append(d.Tenants, t)
}
