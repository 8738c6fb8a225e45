package balancer

// What a Balancer remembers, the measures read off it, and bookkeeping. No decision is made in this file.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// endpoint is all that is known of one endpoint.
type endpoint struct {
	Endpoint
	kind         *kind
	active       bool
	out          InactiveReason // why it is not active
	deficit      float64        // charged turns
	sum, samples float64        // smoothed samples over the kind's weight, and how many they are worth
	sampledAt    time.Duration  // latest sample
	answeredAt   time.Duration  // latest answer
	brokeAt      time.Duration  // latest reset
	backoff      time.Duration  // wait between trials
	trialAt      time.Duration  // next trial, while not active
	trial        bool           // the single trial is out
	inFlight     int            // attempts out
	outcomes                    // of late
	notedAt      time.Duration  // latest of them
	coldAt       time.Duration  // next send, while cold
	brisk        float64        // times as often as its warmth alone would have it
	mention      int            // its place among all that were ever mentioned
	heard        int            // latest list that named it,
	changed      int            // and that said something new of it
	in           bool           // belongs to the table
	broken       bool           // and is counted as out since it fails
	pos          int            // place there: of two alike, the first is taken
	listed       State          // what the list says, whatever the operators do
	backAt       time.Duration  // they put it back
	places       [3]int         // in the orders that it is in, from 1
}

// outcomes are answers and errors, faded.
type outcomes struct{ errors, all float64 }

// kind pools what the endpoints of one kind show.
type kind struct {
	w, samples float64
	best       order // its active endpoints in the table, by their weight beside the kind's
}

func (k *kind) learn(stretch float64) {
	k.samples++
	k.w += (stretch - k.w) * max(1/(k.samples+2), kindGain)
}

// work is what calls of one kind of work usually take.
type work struct {
	name       string
	since      time.Duration // first answer
	samples    float64
	calm, mean float64 // seconds for a call: when all is calm, and lately
	spread     float64 // mean deviation from the mean, lately
	at         time.Duration
}

// class is how calls of one class are to be treated.
type class struct {
	Class
	*work
	tail float64 // seconds within which CopyShare of the answers come
}

// tenant is what a tenant may still send within its share.
type tenant struct {
	Tenant
	tokens float64
	at     time.Duration
}

// attempt is one Send.
type attempt struct {
	e               *endpoint
	sent, overdueAt time.Duration
	out             bool // no outcome yet
	mayRun          bool // ended, and may have run
	trial           bool
	overdue         bool // out for longer than expected
	streams         bool // belongs to the client
	loads           bool // takes room: its endpoint has it all, and has not begun to answer
}

// request is all that is known of one request.
type request struct {
	Request
	class    *class
	arrived  time.Duration
	giveUp   time.Duration // end of its use, or of the time for an answer
	attempts []attempt
	done     bool          // has its final answer
	held     bool          // waits for room
	copyAt   time.Duration // a second copy is due; 0: none is
	copying  bool          // one is being sent,
	copied   bool          // was sent
	spot     int           // in Balancer.live
}

// Balancer decides for one caller. New makes one.
type Balancer struct {
	s         Settings
	host      Host
	rng       *rand.Rand
	classes   map[string]*class
	works     []*work
	tenants   map[string]*tenant
	kinds     map[string]*kind
	kindList  []*kind
	banned    map[string]bool // ids, listed or not
	byName    map[string]*endpoint
	endpoints []*endpoint // in order of first mention; gone ones are cleared away now and then
	known     int         // of them, not gone
	others    int         // ready, and for other balancers alone
	ready     int         // of them, neither draining nor gone
	lists     int         // heard so far
	whole     bool        // the table is all that are ready
	table     []*endpoint // else: those that this caller spreads its calls over
	sorted    []*endpoint // all ready ones by kind; kept while the table is a part of them
	members   int         // of the table,
	broken    int         // and of them, out since they fail
	turns     order       // its active endpoints by deficit
	trials    order       // the others, by the time of their trial
	outcomes              // of its endpoints together
	base      float64     // what counts as a deficit of 0
	cold      []*endpoint // that may have to wait for their next send
	requests  map[string]*request
	live      []*request // without a final answer
	waiting   []*request // held, in order of arrival
	wake      time.Duration
	askAt     time.Duration // next ask of discovery; 0: none due
	askGap    time.Duration
	aim       float64 // mean aim of the classes, in seconds
	out       int     // attempts out that take room
	room      float64 // how many may be,
	sized     int     // with so many endpoints ready
	stretch   float64 // of recent answers
	cutAt     time.Duration
	resizedAt time.Duration
	resends   resends
	started   time.Duration
	calls     float64 // requests, faded, as of callsAt
	slow      float64 // the same, faded more slowly
	callsAt   time.Duration
	quota     float64 // of all tenants, for this caller alone
	size      float64 // wanted size of the table
	logged    map[string]time.Duration
}

var _ Events = (*Balancer)(nil)

// New returns a Balancer that starts at now with no knowledge but its settings.
func New(now time.Duration, s Settings, h Host) *Balancer {
	b := &Balancer{s: s, host: h, rng: rand.New(rand.NewPCG(s.Seed, 1)), started: now, callsAt: now,
		stretch: 1,
		kinds:   map[string]*kind{}, banned: map[string]bool{},
		turns:  order{slot: byDeficit, before: lessDeficit},
		trials: order{slot: byTrial, before: soonerTrial},
		byName: map[string]*endpoint{}, requests: map[string]*request{}, logged: map[string]time.Duration{}}
	b.settle(now, s)
	if s.SubscribeRequired {
		h.Subscribe()
	}
	return b
}

// Configure replaces the settings. All that was learned stays, classes and tenants by their names. A request
// that has come is treated to its end as its class was when it came. Seed and MustSubscribe stay.
func (b *Balancer) Configure(now time.Duration, s Settings) {
	s.Seed, s.SubscribeRequired = b.s.Seed, b.s.SubscribeRequired
	b.settle(now, s)
	b.fill(nil)
	b.release(now)
}

func (b *Balancer) settle(now time.Duration, s Settings) {
	classes, works, tenants := b.classes, b.works, b.tenants
	b.s, b.aim, b.quota = s, 0, 0
	b.classes, b.works, b.tenants = map[string]*class{}, nil, map[string]*tenant{}
	b.resends.RetryBudget = s.RetryBudget
	for _, c := range s.Classes {
		b.aim += c.LatencyObjective.Seconds() / float64(len(s.Classes))
		named := func(w *work) bool { return w.name == cmp.Or(c.Work, c.Name) }
		if !slices.ContainsFunc(b.works, named) {
			w := &work{name: cmp.Or(c.Work, c.Name)}
			if i := slices.IndexFunc(works, named); i >= 0 {
				w = works[i]
			}
			b.works = append(b.works, w)
		}
		b.classes[c.Name] = &class{Class: c, work: b.works[slices.IndexFunc(b.works, named)]}
		if old := classes[c.Name]; old != nil {
			b.classes[c.Name].tail = old.tail
		}
	}
	for _, t := range s.Tenants {
		quota := t.Quota / float64(max(s.Instances, 1))
		b.quota += quota
		b.tenants[t.Name] = &tenant{Tenant: t, tokens: quota, at: now}
		if old := tenants[t.Name]; old != nil {
			b.tenants[t.Name].tokens, b.tenants[t.Name].at = min(old.tokens, quota), old.at
		}
	}
}

// Timer implements Events. Timers cannot be withdrawn: one that is not the next wake is stale.
func (b *Balancer) Timer(now time.Duration) {
	if b.wake != 0 && now >= b.wake {
		b.wake = 0
		b.tick(now)
		if b.askAt > 0 {
			b.wakeAt(b.askAt)
		}
		for _, q := range b.live {
			b.wakeAt(b.lookAt(q))
		}
	}
}

// lookAt is when tick has to look at a request again.
func (b *Balancer) lookAt(q *request) time.Duration {
	at := q.giveUp
	if q.held {
		at = b.holdEnd(q)
	}
	if q.copyAt > 0 {
		at = min(at, q.copyAt)
	}
	for i := range q.attempts {
		if q.attempts[i].out {
			at = min(at, q.attempts[i].overdueAt)
		}
	}
	return at
}

// share is how many of the endpoints there are for this caller alone. Behind the first tier callers are many
// and each has little to send: there it is all of them.
func (b *Balancer) share(endpoints int) float64 {
	n := float64(endpoints)
	if b.s.Tier == 0 {
		n /= float64(max(b.s.Instances, 1))
	}
	return max(n, 1)
}

// smallest is the smallest active weight, 1 if there is none.
func (b *Balancer) smallest() float64 {
	least := math.Inf(1)
	for _, k := range b.kindList {
		if len(k.best.list) > 0 {
			least = min(least, k.best.list[0].w())
		}
	}
	if len(b.turns.list) == 0 {
		return 1
	}
	return least
}

// note counts an outcome.
func (b *Balancer) note(now time.Duration, e *endpoint, errors float64) {
	left := math.Exp(-(now - e.notedAt).Seconds() / errorMemory.Seconds())
	e.notedAt = now
	b.tell(e, outcomes{e.errors*left + errors, e.all*left + 1})
}

// tell sets an endpoint's outcomes, and the sum with them.
func (b *Balancer) tell(e *endpoint, o outcomes) {
	if e.in {
		b.errors, b.all = b.errors+o.errors-e.errors, b.all+o.all-e.all
	}
	e.outcomes = o
}

// typical is what a call takes when all is calm, in seconds, over the classes seen; 1 before any was.
func (b *Balancer) typical() float64 {
	sum, n := 0.0, 0.0
	for _, w := range b.works {
		sum, n = sum+w.calm*w.samples, n+w.samples
	}
	if sum <= 0 {
		return 1
	}
	return sum / n
}

// wakeAt makes sure that tick runs at the instant given.
func (b *Balancer) wakeAt(at time.Duration) {
	if b.wake == 0 || at < b.wake {
		b.wake = at
		b.host.Timer(at)
	}
}

// jitter keeps balancers that see the same from acting at the same moment.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*b.rng.Float64()))
}

// seconds turns a number of seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// warmth is the least share of its capacity that an endpoint has by now.
func (b *Balancer) warmth(now time.Duration, e *endpoint) float64 {
	started := max(e.Started, e.backAt)
	if started <= 0 || now-started >= b.s.SlowStartWindow {
		return 1
	}
	age := float64(max(now-started, 0)) / float64(b.s.SlowStartWindow)
	return max(b.s.SlowStartCapacity+(1-b.s.SlowStartCapacity)*age, 0.05)
}

// turnGap is the time between two calls of this balancer to one endpoint when all get the same. A quiet
// caller has to go by a long time: just after a call it would take itself to be busier than it is, and many
// of them would meet at an endpoint that is new to all.
func (b *Balancer) turnGap(now time.Duration) time.Duration {
	long := max(b.slow*math.Exp(-(now-b.callsAt).Seconds()/rateMemory.Seconds()), 0.5) /
		((1 - math.Exp(-(now-b.started+time.Second).Seconds()/rateMemory.Seconds())) * rateMemory.Seconds())
	return seconds(float64(b.members) / max(min(b.rate(now), long), min(long, rateLeast)))
}

// rate is how many requests a second come, of late. There was none before the start: that must not count.
func (b *Balancer) rate(now time.Duration) float64 {
	faded := func(d time.Duration) float64 { return math.Exp(-d.Seconds() / memory.Seconds()) }
	return b.calls * faded(now-b.callsAt) / ((1 - faded(now-b.started+time.Second)) * memory.Seconds())
}
