package server

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"rowancart/internal/experiment"
)

// station runs one server alone: requests arrive at random and compute once.
type station struct {
	kind    experiment.Kind
	rate    float64 // arrivals a second
	work    func(*rand.Rand) float64
	count   int
	waits   float64 // mean time not spent computing, seconds
	lost    float64 // fraction rejected
	latency float64 // mean time to the end, seconds
}

func (st *station) run(t *testing.T) {
	t.Helper()
	rng := rand.New(rand.NewPCG(7, 11))
	server := New(st.kind, experiment.ServerSpec{}, experiment.Rules{}, -1, rng)
	type entry struct {
		at   time.Duration
		work float64
	}
	var now, arrival time.Duration
	var done []*Job
	admitted, rejected := 0, 0
	for admitted+rejected < st.count || server.InFlight() > 0 {
		next := server.NextEvent()
		if admitted+rejected < st.count && arrival < next {
			now = arrival
			arrival += time.Duration(rng.ExpFloat64() / st.rate * 1e9)
			done = server.Advance(now, done[:0])
			w := st.work(rng)
			j := &Job{Owner: entry{now, w}, Work: w}
			if server.Admit(now, j, w) == Admitted {
				admitted++
			} else {
				rejected++
			}
		} else {
			now = next
			done = server.Advance(now, done[:0])
		}
		for _, j := range done {
			e := j.Owner.(entry)
			st.latency += (now - e.at).Seconds()
			st.waits += (now - e.at).Seconds() - e.work/st.kind.Speed
			server.Finish(j)
		}
	}
	st.waits /= float64(admitted)
	st.latency /= float64(admitted)
	st.lost = float64(rejected) / float64(st.count)
}

func exponential(mean float64) func(*rand.Rand) float64 {
	return func(r *rand.Rand) float64 { return r.ExpFloat64() * mean }
}

func within(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*want {
		t.Errorf("%s: %.5f, want %.5f within %g%%", what, got, want, 100*tolerance)
	}
}

const plenty = 1 << 30

// TestAgainstClosedForms compares mean values with the closed forms, which are those of Kleinrock,
// Queueing Systems I (1975): M/M/1 3.2, M/M/c 3.5, M/M/c/K 3.6, M/G/1 5.6 (Pollaczek and Khinchin)
// and, for processor sharing, II 4.4: the mean depends on the mean of the work alone.
func TestAgainstClosedForms(t *testing.T) {
	const n = 600_000
	t.Run("M/M/1", func(t *testing.T) {
		t.Parallel()
		s := station{kind: experiment.Kind{Cores: 1, Speed: 2, Slots: 1, QueueLimit: plenty}, rate: 14,
			work: exponential(0.1), count: n}
		s.run(t)
		rho, mu := 0.7, 20.0
		within(t, "mean wait", s.waits, rho/(mu*(1-rho)), 0.03)
	})
	t.Run("M/D/1", func(t *testing.T) {
		t.Parallel()
		s := station{kind: experiment.Kind{Cores: 1, Speed: 1, Slots: 1, QueueLimit: plenty}, rate: 8,
			work: func(*rand.Rand) float64 { return 0.1 }, count: n}
		s.run(t)
		rho, mu := 0.8, 10.0
		within(t, "mean wait", s.waits, rho/(2*mu*(1-rho)), 0.03)
	})
	t.Run("M/M/c", func(t *testing.T) {
		t.Parallel()
		const c, lambda, mu = 4, 30.0, 10.0
		s := station{kind: experiment.Kind{Cores: c, Speed: 1, Slots: c, QueueLimit: plenty}, rate: lambda,
			work: exponential(1 / mu), count: n}
		s.run(t)
		a := lambda / mu
		sum, term := 0.0, 1.0
		for k := range c {
			sum += term
			term *= a / float64(k+1)
		}
		erlangC := term / (1 - a/c) / (sum + term/(1-a/c))
		within(t, "mean wait", s.waits, erlangC/(c*mu-lambda), 0.03)
	})
	t.Run("M/M/c/K", func(t *testing.T) {
		t.Parallel()
		const c, k, lambda, mu = 3, 8, 36.0, 10.0
		s := station{kind: experiment.Kind{Cores: c, Speed: 1, Slots: c, QueueLimit: k - c}, rate: lambda,
			work: exponential(1 / mu), count: n}
		s.run(t)
		p, sum := 1.0, 1.0
		for i := 1; i <= k; i++ {
			p *= lambda / (float64(min(i, c)) * mu)
			sum += p
		}
		within(t, "loss", s.lost, p/sum, 0.03)
	})
	t.Run("M/G/1 processor sharing", func(t *testing.T) {
		t.Parallel()
		s := station{kind: experiment.Kind{Cores: 1, Speed: 1, Slots: plenty, QueueLimit: 0}, rate: 6,
			work: func(r *rand.Rand) float64 { // two sorts of very different size, mean 0.1
				if r.Float64() < 0.1 {
					return 0.55
				}
				return 0.05
			}, count: n}
		s.run(t)
		within(t, "mean time", s.latency, 0.1/(1-0.6), 0.03)
	})
}

// newTestServer returns a warm server of one core.
func newTestServer(slots, queueLimit int, spec experiment.ServerSpec) *Server {
	kind := experiment.Kind{Cores: 1, Speed: 1, Slots: slots, QueueLimit: queueLimit}
	return New(kind, spec, experiment.Rules{}, -1, experiment.Rand(1, "b"))
}

func job(work float64) *Job { return &Job{Work: work} }

// ends runs a server until an instant and returns when each job's work was done.
func ends(server *Server, until time.Duration) []time.Duration {
	var at []time.Duration
	for next := server.NextEvent(); next <= until; next = server.NextEvent() {
		for _, j := range server.Advance(next, nil) {
			at = append(at, next)
			server.Finish(j)
		}
	}
	server.Advance(until, nil)
	return at
}

func TestSlotIsHeldWhileBlocked(t *testing.T) {
	server := newTestServer(1, 1, experiment.ServerSpec{})
	first, second, third := job(0.1), job(0.2), job(0.1)
	if server.Admit(0, first, 0.1) != Admitted || server.Admit(0, second, 0.2) != Admitted {
		t.Fatal("the slot or the place in the queue was not granted")
	}
	if got := server.Admit(0, third, 0.1); got != Rejected {
		t.Fatalf("a third request is %v, want Rejected", got)
	}
	if done := server.Advance(100*time.Millisecond, nil); len(done) != 1 || done[0] != first {
		t.Fatalf("done: %v", done)
	}
	// first calls the next tier: its slot is not second's yet.
	server.Advance(time.Second, nil)
	if server.SlotsUsed() != 1 || server.InFlight() != 2 {
		t.Fatalf("in flight %d, in slots %d", server.InFlight(), server.SlotsUsed())
	}
	first.Work = 0.05
	server.Resume(first)
	at := ends(server, 2*time.Second)
	if len(at) != 2 || at[0] != 1050*time.Millisecond || at[1] != 1250*time.Millisecond {
		t.Fatalf("ends at %v", at)
	}
}

func TestServerWarmsUpAndIsOverloaded(t *testing.T) {
	spec := experiment.ServerSpec{InitialCapacity: 0.25, WarmupTime: 4 * time.Second}
	rules := experiment.Rules{WarmupOverload: 4, OverloadWindow: time.Second}
	kind := experiment.Kind{Cores: 1, Speed: 1, Slots: 10, QueueLimit: 100}
	server := New(kind, spec, rules, 0, experiment.Rand(1, "b"))
	server.Admit(0, job(0.25), 0.25)
	// Attained work is the integral of 0.25 + 0.1875 t: 0.25 at t = 0.781 s, less what small steps
	// leave.
	if at := ends(server, 2*time.Second); len(at) != 1 || math.Abs(at[0].Seconds()-0.781) > 0.02 {
		t.Fatalf("a server in slow start is done at %v", at)
	}
	now := 2 * time.Second // capacity 0.625: a budget of 2.5 s of work a second
	for i := range 3 {
		if server.Admit(now, job(1), 1); server.Overloaded() {
			t.Fatalf("overloaded at request %d", i)
		}
	}
	if got := server.Admit(now, job(1), 1); got != Unavailable || !server.Overloaded() {
		t.Fatalf("sent 4 s of work at once: %v, overloaded %v", got, server.Overloaded())
	}
	server.Crash()
	server.Restart(10 * time.Second)
	if server.Down() || server.Overloaded() || server.CapacityFraction(10*time.Second) != 0.25 {
		t.Fatal("not back in slow start")
	}
	server.Advance(20*time.Second, nil)
	for range 10 {
		server.Admit(20*time.Second, job(1), 1)
	}
	if server.Overloaded() {
		t.Fatal("a warm server was overloaded")
	}
}

func TestOverloadCollapse(t *testing.T) {
	spec := experiment.ServerSpec{CollapseQueue: 2, CollapseAfter: 500 * time.Millisecond, CollapseSlowdown: 2,
		RecoveryLoad: 1, RecoveryAfter: time.Second}
	server := newTestServer(1, 100, spec)
	for range 5 {
		server.Admit(0, job(0.3), 0.3)
	}
	at := ends(server, 500*time.Millisecond)
	if !server.Collapsed() || len(at) != 1 {
		t.Fatalf("collapsed %v after %v", server.Collapsed(), at)
	}
	at = ends(server, 10*time.Second)
	// 0.1 s of the second job is left, then three of 0.3 s, at half speed.
	if len(at) != 4 || at[0] != 700*time.Millisecond || at[3] != 2500*time.Millisecond {
		t.Fatalf("ends at %v", at)
	}
	if server.Collapsed() {
		t.Fatal("collapsed after its recovery")
	}
}

func TestCrashEndsAllJobs(t *testing.T) {
	server := newTestServer(1, 5, experiment.ServerSpec{ConnLimit: 1})
	jobs := []*Job{job(1), job(1)}
	for _, j := range jobs {
		server.Admit(0, j, 1)
	}
	if !server.Connect() || server.Connect() {
		t.Fatal("the limit of connections does not hold")
	}
	server.Crash()
	for _, j := range jobs {
		if !j.Finished() {
			t.Error("a job outlived the crash")
		}
		server.Finish(j) // late: the driver may not know yet
	}
	if server.Admit(0, job(1), 1) != Unavailable || server.Connect() || server.InFlight() != 0 {
		t.Error("a crashed server accepts work")
	}
}

func TestLoadReportsAreDelayed(t *testing.T) {
	spec := experiment.ServerSpec{ReportInterval: 100 * time.Millisecond, ReportDelay: 50 * time.Millisecond}
	server := newTestServer(1, 9, spec)
	ms := time.Millisecond
	checkReport := func(at time.Duration, want float64) {
		t.Helper()
		server.Advance(at, nil)
		if got, ok := server.LoadReport(at); !ok || got != want {
			t.Errorf("at %v: %v, want %v", at, got, want)
		}
	}
	checkReport(10*ms, 0)
	server.Admit(10*ms, job(9), 9)
	server.Admit(10*ms, job(9), 9)
	checkReport(120*ms, 0) // refreshed at 100 ms, not yet here
	checkReport(160*ms, 2)
	server.Admit(160*ms, job(9), 9)
	checkReport(240*ms, 2)
	checkReport(900*ms, 3)
}
