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
	at := d.Places[&d.Admin]
	d.checkListenAddress(at, "listen", d.Admin)
	if !isLocal(d.Admin) {
		d.Fault(at, "listen: %s is not on loopback, and the admin listener asks nobody who they are", d.Admin)
	}
}

// isLocal reports whether an address is a unix socket or on loopback. It is true for text that is
// no address at all.
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
		d.Fault(b.DefRange, "fleet: index %d is not among %d instances", f.Index, f.Instances)
	}
	if _, hasIndex := d.Places[&f.Index]; hasIndex && f.Name != "" {
		d.Fault(d.Places[&f.Name], "name: the index stands already; the name is for instances that know none")
	}
}

func (d *decoder) state(b *hcl.Block) {
	s := &d.Snapshot
	s.Interval, s.MaxAge = defaultSnapshotInterval, defaultSnapshotMaxAge
	if !d.Body(b.Body, hcldecode.Fields{"path!": &s.Path, "every": &s.Interval, "fresh_for": &s.MaxAge}, nil) {
		return
	}
	if s.Path == "" {
		d.Fault(d.Places[&s.Path], "path: a file is wanted")
	}
	if s.Interval < minSnapshotInterval {
		d.Fault(d.Places[&s.Interval], "every: %v writes the disk more often than anything changes; %v is the least",
			s.Interval, minSnapshotInterval)
	}
	if s.MaxAge < s.Interval {
		d.Fault(b.DefRange, "state: what is written every %v is never fresh for %v", s.Interval, s.MaxAge)
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
		d.Fault(d.Places[&memory], "memory: the process needs %dMiB at least", minMemory>>20)
	}
	if l.MaxConns < minMaxConns {
		d.Fault(d.Places[&l.MaxConns], "connections: the process needs %d at least", minMaxConns)
	}
	if need := baseMemory + int64(l.MaxConns)*memoryPerConn; need > l.Memory && l.Memory >= minMemory {
		d.Fault(b.DefRange, "limits: %d connections need %dMiB, and memory is %dMiB", l.MaxConns, need>>20, l.Memory>>20)
	}
	if l.StopTimeout < minStopTimeout {
		d.Fault(d.Places[&l.StopTimeout], "stop_within: %v leaves callers no time to hear of it; %v is the least",
			l.StopTimeout, minStopTimeout)
	}
}

func (d *decoder) listener(b *hcl.Block) {
	l := Listener{Name: b.Labels[0]}
	if d.define(b, l.Name) && d.Body(b.Body, hcldecode.Fields{"address!": &l.Address}, nil) {
		d.checkListenAddress(d.Places[&l.Address], "address", l.Address)
	}
	d.Listeners = append(d.Listeners, l)
}

// keyScopes are the values of a class's "group".
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
		hcldecode.OneOf(&d.Reader, d.Places[&idempotency], "effect", idempotency,
			nameIdempotent, nameKeyed, nameNonIdempotent)
		hcldecode.OneOf(&d.Reader, d.Places[&scope], "group", scope, "all", "zone", "cell")
		c.Idempotency = idempotencyByName[idempotency]
		c.KeyScope = keyScopes[scope]
		d.checkKeyWindow(b, &c, idempotency)
		if policy != "" {
			d.classPolicies[c.Name] = reference{policy, d.Places[&policy]}
		}
	}
	d.Classes = append(d.Classes, c)
}

// checkKeyWindow requires a window of keyed classes, and of no others.
func (d *decoder) checkKeyWindow(b *hcl.Block, c *Class, idempotency string) {
	at, hasWindow := d.Places[&c.KeyWindow]
	switch {
	case idempotency == nameKeyed && c.KeyWindow == 0:
		d.Fault(b.DefRange, "class %q: keyed, and no window says for how long repeats are dropped", c.Name)
	case idempotency != nameKeyed && hasWindow:
		d.Fault(at, "window: class %q is %s; repeats are dropped of keyed classes only", c.Name, idempotency)
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
