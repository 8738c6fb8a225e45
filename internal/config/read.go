package config

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/function"

	"rowancart/balancer"
	"rowancart/internal/hcldecode"
	"rowancart/internal/ratelimit"
)

// What holds where a file says nothing.
const (
	defaultMemory      = 192 << 20
	defaultConnections = 1024
	defaultStopWithin  = 30 * time.Second
	defaultPoolConns   = 512
	defaultClientWaits = 10 * time.Second
	defaultAttempts    = 3
	defaultAim         = time.Second
	mostColdShare      = 4
	defaultHandOver    = 30 * time.Second
	defaultStateEvery  = 10 * time.Second
	defaultStateFresh  = 5 * time.Minute
	leastStateEvery    = time.Second
	leastSubset        = 3 // with fewer, one slow endpoint and one that restarts are all there is
	defaultColdFrom    = 0.3
	defaultColdFor     = 10 * time.Second
	defaultColdShare   = 0.9 // no fresh server was sent too much with it in 8,000 plays (docs/results/fleet.md)
	defaultTenant      = "Req-Owner"
)

// The least that the process can work with.
const (
	leastMemory      = 32 << 20
	leastConnections = 16
	leastPoolConns   = 4
	processMemory    = 20 << 20 // bytes, without any connection
	connectionMemory = 12 << 10 // of an idle one, as measured with 10,000
)

// Load reads and checks a file. Getenv gives the values that the file asks for by name.
func Load(path string, getenv func(string) (string, bool)) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(text, path, getenv)
	if err != nil {
		return nil, err
	}
	for i := range c.Pools {
		if f := &c.Pools[i].Roster.File; *f != "" && !filepath.IsAbs(*f) {
			*f = filepath.Join(filepath.Dir(path), *f)
		}
	}
	return c, nil
}

// reader gathers what a file says, and where.
type reader struct {
	hcldecode.Reader
	Config
	policies  map[string]*policy // by name
	ofClass   map[string]named   // the policy that a class names
	uses      map[string]bool    // "pool x", "class x", ...: what something refers to
	named     map[string]hcl.Range
	addresses map[string]hcl.Range
}

// named is a name that a block uses, and where.
type named struct {
	name string
	at   hcl.Range
}

// policy is a block that says some of a policy's attributes.
type policy struct {
	Policy
	rate, tenantRate   hcldecode.Rate
	burst, tenantBurst int
	places             map[string]hcl.Range
	title              string
	sound              bool // no fault was found in it alone
}

// Parse reads and checks the text of a file that is called name in messages.
func Parse(text []byte, name string, getenv func(string) (string, bool)) (*Config, error) {
	body, err := hcldecode.Parse(text, name)
	if err != nil {
		return nil, err
	}
	r := &reader{policies: map[string]*policy{}, ofClass: map[string]named{}, uses: map[string]bool{}, named: map[string]hcl.Range{},
		addresses: map[string]hcl.Range{}}
	r.Vars = &hcl.EvalContext{Functions: map[string]function.Function{"env": env(getenv)}}
	r.File, r.Text = name, text
	r.Fleet = Fleet{Instances: 1}
	r.Limits = Limits{Memory: defaultMemory, Connections: defaultConnections, StopWithin: defaultStopWithin, HandOverWithin: defaultHandOver}
	var routes, pools []*hcl.Block
	once := func(read func(*hcl.Block)) func(*hcl.Block) {
		return func(b *hcl.Block) {
			if r.name(b, "") {
				read(b)
			}
		}
	}
	r.Body(body, nil, hcldecode.Blocks{
		"admin":         once(r.admin),
		"fleet":         once(r.fleet),
		"limits":        once(r.limits),
		"state":         once(r.state),
		"listener name": r.listener,
		"class name":    r.class,
		"tenant name":   r.tenant,
		"pool name":     func(b *hcl.Block) { pools = append(pools, b) },
		"policy name":   func(b *hcl.Block) { r.policyNamed(b) },
		"route name":    func(b *hcl.Block) { routes = append(routes, b) },
	})
	for _, b := range pools { // after the listeners: an endpoint must not be one
		r.pool(b)
	}
	for _, c := range r.Classes {
		if use, ok := r.ofClass[c.Name]; ok {
			r.refer(use.at, "policy", use.name)
		}
	}
	places := map[string]hcl.Range{}
	for _, b := range routes { // last: they name all the rest
		r.route(b, places)
	}
	start := hcl.Range{Filename: name, Start: hcl.InitialPos, End: hcl.InitialPos}
	if len(r.Listeners) == 0 {
		r.Fault(start, "the file has no listener")
	}
	if len(routes) == 0 {
		r.Fault(start, "the file has no route")
	}
	r.overlaps(places)
	if err := hcldecode.Faults(r.Diags); err != nil {
		return nil, err
	}
	r.unused()
	c := r.Config
	return &c, nil
}

// env gives variables of the environment to files that ask for them by name.
func env(getenv func(string) (string, bool)) function.Function {
	return function.New(&function.Spec{
		Params: []function.Parameter{{Name: "name", Type: cty.String}},
		Type:   function.StaticReturnType(cty.String),
		Impl: func(args []cty.Value, _ cty.Type) (cty.Value, error) {
			v, ok := getenv(args[0].AsString())
			if !ok {
				return cty.UnknownVal(cty.String), function.NewArgErrorf(0, "%s is not set", args[0].AsString())
			}
			return cty.StringVal(v), nil
		},
	})
}

// name notes that a block with this label is there, and refuses a second one.
func (r *reader) name(b *hcl.Block, label string) bool {
	key := b.Type
	if label != "" {
		key += fmt.Sprintf(" %q", label)
	}
	if first, ok := r.named[key]; ok {
		r.Fault(b.DefRange, "%s: there is one already, at %s", key, hcldecode.Where(first))
		return false
	}
	r.named[key] = b.DefRange
	return true
}

// has tells whether a block with this label is there.
func (r *reader) has(kind, label string) bool {
	_, ok := r.named[fmt.Sprintf("%s %q", kind, label)]
	return ok
}

// refer resolves a name that a block uses.
func (r *reader) refer(at hcl.Range, kind, label string) bool {
	if !r.has(kind, label) {
		r.Fault(at, "there is no %s %q", kind, label)
		return false
	}
	r.uses[fmt.Sprintf("%s %q", kind, label)] = true
	return true
}

// address checks a place to listen at or to send to, and refuses one that is in use.
func (r *reader) address(at hcl.Range, what, addr string) {
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		if path == "" {
			r.Fault(at, "%s: unix: without a path", what)
		}
	} else if err := checkAddress(addr); err != nil {
		r.Fault(at, "%s: %v", what, err)
		return
	}
	if strings.HasSuffix(addr, ":0") {
		return // any free port
	}
	if first, ok := r.addresses[addr]; ok {
		r.Fault(at, "%s: %s is in use already, at %s", what, addr, hcldecode.Where(first))
		return
	}
	r.addresses[addr] = at
}

func (r *reader) admin(b *hcl.Block) {
	if r.Body(b.Body, hcldecode.Fields{"listen!": &r.Admin}, nil) {
		r.address(r.Places[&r.Admin], "listen", r.Admin)
		host, _, err := net.SplitHostPort(r.Admin)
		if ip := net.ParseIP(host); err == nil && !strings.HasPrefix(r.Admin, "unix:") && host != "localhost" && !ip.IsLoopback() {
			r.Fault(r.Places[&r.Admin], "listen: %s is not on loopback, and the admin listener asks nobody who they are", r.Admin)
		}
	}
}

func (r *reader) fleet(b *hcl.Block) {
	f := &r.Fleet
	if !r.Body(b.Body, hcldecode.Fields{"instances": &f.Instances, "index": &f.Index, "name": &f.Name}, nil) {
		return
	}
	if f.Instances < 1 || f.Index >= f.Instances {
		r.Fault(b.DefRange, "fleet: index %d is not among %d instances", f.Index, f.Instances)
	}
	if _, index := r.Places[&f.Index]; index && f.Name != "" {
		r.Fault(r.Places[&f.Name], "name: the index stands already; the name is for instances that know none")
	}
}

func (r *reader) state(b *hcl.Block) {
	s := &r.State
	s.Every, s.FreshFor = defaultStateEvery, defaultStateFresh
	if !r.Body(b.Body, hcldecode.Fields{"path!": &s.Path, "every": &s.Every, "fresh_for": &s.FreshFor}, nil) {
		return
	}
	if s.Path == "" {
		r.Fault(r.Places[&s.Path], "path: a file is wanted")
	}
	if s.Every < leastStateEvery {
		r.Fault(r.Places[&s.Every], "every: %v writes the disk more often than anything changes; %v is the least", s.Every, leastStateEvery)
	}
	if s.FreshFor < s.Every {
		r.Fault(b.DefRange, "state: what is written every %v is never fresh for %v", s.Every, s.FreshFor)
	}
}

func (r *reader) limits(b *hcl.Block) {
	l := &r.Limits
	memory := hcldecode.Size(l.Memory)
	if !r.Body(b.Body, hcldecode.Fields{"memory": &memory, "connections": &l.Connections, "stop_within": &l.StopWithin, "hand_over_within": &l.HandOverWithin}, nil) {
		return
	}
	l.Memory = int64(memory)
	if l.Memory < leastMemory {
		r.Fault(r.Places[&memory], "memory: the process needs 32MiB at least")
	}
	if l.Connections < leastConnections {
		r.Fault(r.Places[&l.Connections], "connections: the process needs %d at least", leastConnections)
	}
	if need := processMemory + int64(l.Connections)*connectionMemory; need > l.Memory && l.Memory >= leastMemory {
		r.Fault(b.DefRange, "limits: %d connections need %dMiB, and memory is %dMiB", l.Connections, need>>20, l.Memory>>20)
	}
	if l.StopWithin < time.Second {
		r.Fault(r.Places[&l.StopWithin], "stop_within: %v leaves callers no time to hear of it; 1s is the least", l.StopWithin)
	}
}

func (r *reader) listener(b *hcl.Block) {
	l := Listener{Name: b.Labels[0]}
	if r.name(b, l.Name) && r.Body(b.Body, hcldecode.Fields{"address!": &l.Address}, nil) {
		r.address(r.Places[&l.Address], "address", l.Address)
	}
	r.Listeners = append(r.Listeners, l)
}

func (r *reader) class(b *hcl.Block) {
	c := Class{Name: b.Labels[0], Aim: defaultAim, Worth: 1}
	var effect, use string
	group := "all"
	ok := r.name(b, c.Name) && r.Body(b.Body, hcldecode.Fields{"effect!": &effect, "aim": &c.Aim, "worth": &c.Worth, "group": &group,
		"window": &c.Window, "policy": &use}, nil)
	if ok {
		hcldecode.OneOf(&r.Reader, r.Places[&effect], "effect", effect, "safe", "keyed", "unsafe")
		groups := map[string]balancer.KeyScope{"all": balancer.KeyScopeAll, "zone": balancer.KeyScopeZone, "cell": balancer.KeyScopeCell}
		hcldecode.OneOf(&r.Reader, r.Places[&group], "group", group, "all", "zone", "cell")
		c.Effect, c.Group = Effects[effect], groups[group]
		at, given := r.Places[&c.Window]
		switch {
		case effect == "keyed" && c.Window == 0:
			r.Fault(b.DefRange, "class %q: keyed, and no window says for how long repeats are dropped", c.Name)
		case effect != "keyed" && given:
			r.Fault(at, "window: class %q is %s; repeats are dropped of keyed classes only", c.Name, effect)
		}
		if use != "" {
			r.ofClass[c.Name] = named{use, r.Places[&use]}
		}
	}
	r.Classes = append(r.Classes, c)
}

func (r *reader) tenant(b *hcl.Block) {
	t := balancer.Tenant{Name: b.Labels[0]}
	var quota hcldecode.Rate
	if r.name(b, t.Name) {
		r.Body(b.Body, hcldecode.Fields{"quota!": &quota}, nil)
	}
	t.Quota = float64(quota)
	r.Tenants = append(r.Tenants, t)
}

func (r *reader) pool(b *hcl.Block) {
	p := Pool{Name: b.Labels[0], Connections: defaultPoolConns, ColdFrom: defaultColdFrom, ColdFor: defaultColdFor, ColdShare: defaultColdShare}
	if !r.name(b, p.Name) {
		return
	}
	rosters := 0
	ok := r.Body(b.Body, hcldecode.Fields{"connections": &p.Connections, "connection_idle": &p.ConnIdle, "dial_timeout": &p.DialTimeout,
		"tiers_below": &p.TiersBelow, "subset": &p.Subset}, hcldecode.Blocks{
		"warm_up": func(b *hcl.Block) {
			from := hcldecode.Share(p.ColdFrom)
			r.Body(b.Body, hcldecode.Fields{"from": &from, "within": &p.ColdFor, "share": &p.ColdShare}, nil)
			if p.ColdShare <= 0 || p.ColdShare > mostColdShare {
				r.Fault(b.DefRange, "warm_up: share %g is not over 0 and up to %d: it is how much of its warmth's part a fresh server gets", p.ColdShare, mostColdShare)
			}
			p.ColdFrom = float64(from)
		},
		"retry_budget": func(b *hcl.Block) { r.RetryBudget(b, &p.Resends) },
		"roster kind": func(b *hcl.Block) {
			if rosters++; rosters > 1 {
				r.Fault(b.DefRange, "roster: pool %q has one already", p.Name)
			}
			r.roster(b, &p)
		},
	})
	if ok && rosters == 0 {
		r.Fault(b.DefRange, "pool %q has no roster", p.Name)
	}
	if _, said := r.Places[&p.Subset]; ok && said && p.Subset < leastSubset {
		r.Fault(r.Places[&p.Subset], "subset: %d leaves too little to choose from; %d is the least", p.Subset, leastSubset)
	}
	if ok && p.Connections < leastPoolConns {
		r.Fault(r.Places[&p.Connections], "connections: a pool needs %d at least", leastPoolConns)
	}
	r.Pools = append(r.Pools, p)
}

func (r *reader) roster(b *hcl.Block, p *Pool) {
	ids, addresses := map[string]hcl.Range{}, map[string]hcl.Range{}
	taken := func(in map[string]hcl.Range, what, value string, at hcl.Range) {
		if first, ok := in[value]; ok {
			r.Fault(at, "%s: %q is in use already, at %s", what, value, hcldecode.Where(first))
		}
		in[value] = at
	}
	switch b.Labels[0] {
	case "static":
		r.Body(b.Body, nil, hcldecode.Blocks{"endpoint id": func(b *hcl.Block) {
			e := Endpoint{ID: b.Labels[0]}
			if r.Body(b.Body, hcldecode.Fields{"address!": &e.Address, "zone": &e.Zone, "kind": &e.Kind, "cell": &e.Cell}, nil) {
				at := r.Places[&e.Address]
				if err := checkAddress(e.Address); err != nil {
					r.Fault(at, "address: %v", err)
				}
				if first, ok := r.addresses[e.Address]; ok {
					r.Fault(at, "address: %s is where this process listens, at %s", e.Address, hcldecode.Where(first))
				}
				taken(ids, "endpoint", e.ID, b.DefRange)
				taken(addresses, "address", e.Address, at)
			}
			p.Roster.Static = append(p.Roster.Static, e)
		}})
		if len(p.Roster.Static) == 0 {
			r.Fault(b.DefRange, "roster: static, and no endpoint is listed")
		}
	case "file":
		r.Body(b.Body, hcldecode.Fields{"path!": &p.Roster.File}, nil)
	case "platform":
		if r.Body(b.Body, hcldecode.Fields{"address!": &p.Roster.Platform}, nil) {
			if err := checkAddress(p.Roster.Platform); err != nil {
				r.Fault(r.Places[&p.Roster.Platform], "address: %v", err)
			}
		}
	default:
		r.Fault(b.DefRange, "roster: %q is none of static, file, platform", b.Labels[0])
	}
}

func (r *reader) policyNamed(b *hcl.Block) {
	if r.name(b, b.Labels[0]) {
		r.policies[b.Labels[0]] = r.policy(b, fmt.Sprintf("policy %q", b.Labels[0]))
	}
}

// policy reads a block of a policy's attributes.
func (r *reader) policy(b *hcl.Block, title string) *policy {
	p := &policy{title: title, places: map[string]hcl.Range{}}
	fields := hcldecode.Fields{"client_waits": &p.ClientWaits, "request_timeout": &p.RequestTimeout, "attempt_timeout": &p.AttemptTimeout,
		"attempts": &p.Attempts, "retry": (*string)(&p.Retry), "queue": &p.Queue, "rate": &p.rate, "burst": &p.burst,
		"concurrency": &p.Concurrency, "tenant_rate": &p.tenantRate, "tenant_burst": &p.tenantBurst, "tenant_concurrency": &p.TenantConcurrency}
	copyFields := hcldecode.Fields{"after": &p.CopyAfter, "percentile": &p.CopyPercentile}
	p.sound = r.Body(b.Body, fields, hcldecode.Blocks{"second_copy": func(b *hcl.Block) {
		if r.Body(b.Body, copyFields, nil) && p.CopyAfter == 0 && p.CopyPercentile == 0 {
			r.Fault(b.DefRange, "second_copy: it says neither after what time nor after what percentile")
		}
		p.places["second_copy"] = b.DefRange
	}})
	if !p.sound {
		return p // what does not add up now is mostly an echo
	}
	for name, to := range fields {
		if at, ok := r.Places[to]; ok {
			p.places[name] = at
		}
	}
	for name, least := range map[string]struct {
		given bool
		text  string
	}{
		"client_waits":    {p.ClientWaits > 0, "0s is no time to answer in"},
		"request_timeout": {p.RequestTimeout > 0, "0s is no time to answer in"},
		"attempt_timeout": {p.AttemptTimeout > 0, "0s is no time to answer in"},
		"attempts":        {p.Attempts > 0, "0 attempts serve nobody"},
		"rate":            {p.rate > 0, "at 0 a second nobody is served"},
		"concurrency":     {p.Concurrency > 0, "0 at once serve nobody"},
		"tenant_rate":     {p.tenantRate > 0, "at 0 a second nobody is served"},
	} {
		if at, ok := p.places[name]; ok && !least.given {
			r.Fault(at, "%s: %s", name, least.text)
			p.sound = false
		}
	}
	if at, ok := p.places["retry"]; ok {
		hcldecode.OneOf(&r.Reader, at, "retry", p.Retry, NotRun, AfterRun)
	}
	if at, ok := r.Places[&p.CopyPercentile]; ok && (p.CopyPercentile < 50 || p.CopyPercentile >= 100) {
		r.Fault(at, "percentile: %g is not from 50 to under 100", p.CopyPercentile)
	}
	return p
}

// attribute is one of a policy's, with how it passes from block to block.
type attribute struct {
	name string
	take func(to, from *policy)
	word func(p Policy) string
}

func orNone(unset bool, v any) string {
	if unset {
		return "no limit"
	}
	return fmt.Sprint(v)
}

func rateWord(r ratelimit.Rate) string {
	if r.PerSecond == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%g/s, burst %d", r.PerSecond, r.Burst)
}

var attributes = []attribute{
	{"client_waits", func(t, f *policy) { t.ClientWaits = f.ClientWaits }, func(p Policy) string { return p.ClientWaits.String() }},
	{"request_timeout", func(t, f *policy) { t.RequestTimeout = f.RequestTimeout }, func(p Policy) string { return p.RequestTimeout.String() }},
	{"attempt_timeout", func(t, f *policy) { t.AttemptTimeout = f.AttemptTimeout },
		func(p Policy) string { return orNone(p.AttemptTimeout == 0, p.AttemptTimeout) }},
	{"attempts", func(t, f *policy) { t.Attempts = f.Attempts }, func(p Policy) string { return fmt.Sprint(p.Attempts) }},
	{"retry", func(t, f *policy) { t.Retry = f.Retry }, func(p Policy) string { return string(p.Retry) }},
	{"second_copy", func(t, f *policy) { t.CopyAfter, t.CopyPercentile = f.CopyAfter, f.CopyPercentile }, func(p Policy) string {
		var out []string
		if p.CopyAfter > 0 {
			out = append(out, "after "+p.CopyAfter.String())
		}
		if p.CopyPercentile > 0 {
			out = append(out, fmt.Sprintf("after percentile %g", p.CopyPercentile))
		}
		return cmp.Or(strings.Join(out, ", "), "none")
	}},
	{"queue", func(t, f *policy) { t.Queue = f.Queue }, func(p Policy) string { return orNone(p.Queue < 0, p.Queue) }},
	{"rate", func(t, f *policy) { t.rate = f.rate }, func(p Policy) string { return rateWord(p.Rate) }},
	{"burst", func(t, f *policy) { t.burst = f.burst }, nil},
	{"concurrency", func(t, f *policy) { t.Concurrency = f.Concurrency }, func(p Policy) string { return orNone(p.Concurrency == 0, p.Concurrency) }},
	{"tenant_rate", func(t, f *policy) { t.tenantRate = f.tenantRate }, func(p Policy) string { return rateWord(p.TenantRate) }},
	{"tenant_burst", func(t, f *policy) { t.tenantBurst = f.tenantBurst }, nil},
	{"tenant_concurrency", func(t, f *policy) { t.TenantConcurrency = f.TenantConcurrency },
		func(p Policy) string { return orNone(p.TenantConcurrency == 0, p.TenantConcurrency) }},
}

// methods that a route may name. CONNECT and TRACE are no requests to pass on.
var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions}

func (r *reader) route(b *hcl.Block, places map[string]hcl.Range) {
	x := Route{Name: b.Labels[0], Tenant: defaultTenant, From: map[string]string{}}
	if !r.name(b, x.Name) {
		return
	}
	places[x.Name] = b.DefRange
	var class, use string
	var own *policy
	m := &x.Match
	ok := r.Body(b.Body, hcldecode.Fields{"host": &m.Host, "path": &m.Path, "methods": &m.Methods, "listeners": &x.Listeners, "class!": &class,
		"pool!": &x.Pool, "policy": &use, "tenant_header": &x.Tenant}, hcldecode.Blocks{
		"header name": func(b *hcl.Block) {
			var equals string
			r.Body(b.Body, hcldecode.Fields{"equals!": &equals}, nil)
			if m.Headers == nil {
				m.Headers = map[string]string{}
			}
			name := http.CanonicalHeaderKey(b.Labels[0])
			if _, twice := m.Headers[name]; twice {
				r.Fault(b.DefRange, "header: there are two called %q", name)
			}
			m.Headers[name] = equals
		},
		"policy": func(b *hcl.Block) {
			if own != nil {
				r.Fault(b.DefRange, "policy: route %q has one already", x.Name)
			}
			own = r.policy(b, fmt.Sprintf("route %q", x.Name))
		},
	})
	r.Routes = append(r.Routes, x)
	if !ok {
		return
	}
	if err := m.Check(); err != nil {
		r.Fault(cmp.Or(r.Places[&m.Path], r.Places[&m.Host]), "%v", err)
	}
	for _, name := range m.Methods {
		hcldecode.OneOf(&r.Reader, r.Places[&m.Methods], "methods", name, methods...)
	}
	for _, name := range x.Listeners {
		r.refer(r.Places[&x.Listeners], "listener", name)
	}
	r.refer(r.Places[&x.Pool], "pool", x.Pool)
	if !r.refer(r.Places[&class], "class", class) {
		return
	}
	x.Class = r.Classes[slices.IndexFunc(r.Classes, func(c Class) bool { return c.Name == class })]
	var layers []*policy
	if own != nil {
		layers = append(layers, own)
	}
	if use != "" && r.refer(r.Places[&use], "policy", use) {
		layers = append(layers, r.policies[use])
	}
	if p := r.policies[r.ofClass[class].name]; p != nil {
		layers = append(layers, p)
	}
	r.settle(&x, layers, b.DefRange)
	r.Routes[len(r.Routes)-1] = x
}

// settle finds a route's policy: each attribute from the nearest block that says it.
func (r *reader) settle(x *Route, layers []*policy, at hcl.Range) {
	p := &policy{Policy: Policy{ClientWaits: defaultClientWaits, Attempts: defaultAttempts, Retry: AfterRun, Queue: -1}, places: map[string]hcl.Range{}}
	if x.Class.Effect == balancer.NonIdempotent {
		p.Retry = NotRun
	}
	if slices.ContainsFunc(layers, func(p *policy) bool { return !p.sound }) {
		return
	}
	for _, a := range attributes {
		x.From[a.name] = "default"
		p.places[a.name] = at
		for _, layer := range layers {
			if place, ok := layer.places[a.name]; ok {
				a.take(p, layer)
				p.places[a.name] = place
				x.From[a.name] = fmt.Sprintf("%s, %s", hcldecode.Where(place), layer.title)
				break
			}
		}
	}
	if p.RequestTimeout == 0 {
		p.RequestTimeout = p.ClientWaits
	}
	burst := func(per hcldecode.Rate, burst int) ratelimit.Rate {
		if per > 0 && burst == 0 {
			burst = max(int(math.Ceil(float64(per))), 1)
		}
		return ratelimit.Rate{PerSecond: float64(per), Burst: burst}
	}
	p.Rate, p.TenantRate = burst(p.rate, p.burst), burst(p.tenantRate, p.tenantBurst)
	for name, per := range map[string]hcldecode.Rate{"burst": p.rate, "tenant_burst": p.tenantRate} {
		if x.From[name] != "default" && per == 0 {
			r.Fault(p.places[name], "%s: route %q has no rate that it could belong to", name, x.Name)
		}
	}
	x.Policy = p.Policy
	r.judge(x, p.places)
}

// judge holds a route's policy to the rules.
func (r *reader) judge(x *Route, at map[string]hcl.Range) {
	p, c := x.Policy, x.Class
	copies := p.CopyAfter > 0 || p.CopyPercentile > 0
	if c.Effect == balancer.NonIdempotent && p.Retry == AfterRun {
		r.Fault(at["retry"], "retry: route %q is of class %q, which is unsafe: after a run, another could run it twice", x.Name, c.Name)
	}
	if c.Effect != balancer.Idempotent && copies {
		r.Fault(at["second_copy"], "second_copy: route %q is of class %q, which is %s: both copies could run", x.Name, c.Name, Word(c.Effect))
	}
	if copies && p.Attempts < 2 {
		r.Fault(at["second_copy"], "second_copy: it is a second attempt, and route %q has 1", x.Name)
	}
	if p.RequestTimeout > p.ClientWaits {
		r.Fault(at["request_timeout"], "request_timeout: %v is longer than clients of route %q wait: %v", p.RequestTimeout, x.Name, p.ClientWaits)
	}
	switch most := min(p.RequestTimeout, p.ClientWaits); {
	case p.AttemptTimeout > most:
		r.Fault(at["attempt_timeout"], "attempt_timeout: %v is longer than a request of route %q has: %v", p.AttemptTimeout, x.Name, most)
	case p.AttemptTimeout > 0 && time.Duration(p.Attempts)*p.AttemptTimeout > most:
		r.Fault(at["attempt_timeout"], "attempt_timeout: %d attempts of %v add up to %v, and a request of route %q has %v", p.Attempts,
			p.AttemptTimeout, time.Duration(p.Attempts)*p.AttemptTimeout, x.Name, most)
	case p.CopyAfter > 0 && p.CopyAfter >= cmp.Or(p.AttemptTimeout, most):
		r.Fault(at["second_copy"], "second_copy: after %v the first attempt of route %q has ended", p.CopyAfter, x.Name)
	}
	if p.TenantConcurrency > p.Concurrency && p.Concurrency > 0 {
		r.Fault(at["tenant_concurrency"], "tenant_concurrency: %d is more than all tenants of route %q have together: %d", p.TenantConcurrency,
			x.Name, p.Concurrency)
	}
	if p.TenantRate.PerSecond > p.Rate.PerSecond && p.Rate.PerSecond > 0 {
		r.Fault(at["tenant_rate"], "tenant_rate: %g/s is more than all tenants of route %q have together: %g/s", p.TenantRate.PerSecond,
			x.Name, p.Rate.PerSecond)
	}
}

// overlaps refuses routes of one listener of which neither is more specific.
func (r *reader) overlaps(places map[string]hcl.Range) {
	byPattern := map[string][]Route{}
	for _, x := range r.Routes {
		key := x.Match.Host + " " + cmp.Or(x.Match.Path, "/*")
		for _, o := range byPattern[key] {
			shared := len(x.Listeners) == 0 || len(o.Listeners) == 0 ||
				slices.ContainsFunc(x.Listeners, func(name string) bool { return slices.Contains(o.Listeners, name) })
			if shared && x.Match.Overlaps(o.Match) {
				r.Fault(places[x.Name], "route %q overlaps route %q, at %s: some requests fit both, and neither is more specific", x.Name,
					o.Name, hcldecode.Where(places[o.Name]))
			}
		}
		byPattern[key] = append(byPattern[key], x)
	}
}

// unused warns of blocks that nothing refers to.
func (r *reader) unused() {
	for _, key := range slices.Sorted(maps.Keys(r.named)) {
		kind, _, _ := strings.Cut(key, " ")
		if !r.uses[key] && (kind == "pool" || kind == "class" || kind == "policy") {
			r.Warnings = append(r.Warnings, fmt.Sprintf("%s: %s: nobody uses it", hcldecode.Where(r.named[key]), key))
		}
	}
	for _, l := range r.Listeners {
		if !slices.ContainsFunc(r.Routes, func(x Route) bool { return len(x.Listeners) == 0 || slices.Contains(x.Listeners, l.Name) }) {
			key := fmt.Sprintf("listener %q", l.Name)
			r.Warnings = append(r.Warnings, fmt.Sprintf("%s: %s: no route is served there", hcldecode.Where(r.named[key]), key))
		}
	}
}
