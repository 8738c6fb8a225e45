package server

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"rowancart/internal/experiment"
)

// queueRun simulates one server as a queueing system: requests arrive at random, and each computes
// once. The run method sets the last three fields.
type queueRun struct {
	kind             experiment.Kind
	rate             float64                  // arrivals a second
	work             func(*rand.Rand) float64 // draws the work of a request
	count            int                      // number of requests
	meanWait         float64                  // mean time not spent computing, seconds
	rejectedFraction float64                  // fraction of requests rejected
	meanTimeInSystem float64                  // mean time from arrival to completion, seconds
}

func (q *queueRun) run(t *testing.T) {
	t.Helper()
	rng := rand.New(rand.NewPCG(7, 11))
	server := New(q.kind, experiment.ServerSpec{}, experiment.Rules{}, -1, rng)
	type entry struct {
		at   time.Duration
		work float64
	}
	var now, arrival time.Duration
	var done []*Job
	admitted, rejected := 0, 0
	for admitted+rejected < q.count || server.InFlight() > 0 {
		next := server.NextEvent()
		if admitted+rejected < q.count && arrival < next {
			now = arrival
			arrival += time.Duration(rng.ExpFloat64() / q.rate * 1e9)
			done = server.Advance(now, done[:0])
			w := q.work(rng)
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
			q.meanTimeInSystem += (now - e.at).Seconds()
			q.meanWait += (now - e.at).Seconds() - e.work/q.kind.Speed
			server.Finish(j)
		}
	}
	q.meanWait /= float64(admitted)
	q.meanTimeInSystem /= float64(admitted)
	q.rejectedFraction = float64(rejected) / float64(q.count)
}

// exponential returns a function that draws from the exponential distribution.
func exponential(mean float64) func(*rand.Rand) float64 {
	return func(r *rand.Rand) float64 { return r.ExpFloat64() * mean }
}

// checkWithin checks that a result is within a relative tolerance of the wanted value.
func checkWithin(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*want {
		t.Errorf("%s: %.5f, want %.5f within %g%%", what, got, want, 100*tolerance)
	}
}

// unlimited is a number of slots, or a queue limit, that no test reaches.
const unlimited = 1 << 30

// TestAgainstClosedForms compares simulated means with the closed forms of queueing theory. They
// are in Kleinrock, Queueing Systems, volume I (1975): M/M/1 in section 3.2, M/M/c in 3.5, M/M/c/K
// in 3.6, M/G/1 in 5.6 (Pollaczek and Khinchin). Processor sharing is in volume II, section 4.4:
// the mean time in the system depends on the mean of the work alone.
func TestAgainstClosedForms(t *testing.T) {
	const n = 600_000
	t.Run("M/M/1", func(t *testing.T) {
		t.Parallel()
		s := queueRun{kind: experiment.Kind{Cores: 1, Speed: 2, Slots: 1, QueueLimit: unlimited}, rate: 14,
			work: exponential(0.1), count: n}
		s.run(t)
		rho, mu := 0.7, 20.0
		checkWithin(t, "mean wait", s.meanWait, rho/(mu*(1-rho)), 0.03)
	})
	t.Run("M/D/1", func(t *testing.T) {
		t.Parallel()
		s := queueRun{kind: experiment.Kind{Cores: 1, Speed: 1, Slots: 1, QueueLimit: unlimited}, rate: 8,
			work: func(*rand.Rand) float64 { return 0.1 }, count: n}
		s.run(t)
		rho, mu := 0.8, 10.0
		checkWithin(t, "mean wait", s.meanWait, rho/(2*mu*(1-rho)), 0.03)
	})
	t.Run("M/M/c", func(t *testing.T) {
		t.Parallel()
		const c, lambda, mu = 4, 30.0, 10.0
		s := queueRun{kind: experiment.Kind{Cores: c, Speed: 1, Slots: c, QueueLimit: unlimited}, rate: lambda,
			work: exponential(1 / mu), count: n}
		s.run(t)
		a := lambda / mu
		sum, term := 0.0, 1.0
		for k := range c {
			sum += term
			term *= a / float64(k+1)
		}
		erlangC := term / (1 - a/c) / (sum + term/(1-a/c))
		checkWithin(t, "mean wait", s.meanWait, erlangC/(c*mu-lambda), 0.03)
	})
	t.Run("M/M/c/K", func(t *testing.T) {
		t.Parallel()
		const c, k, lambda, mu = 3, 8, 36.0, 10.0
		s := queueRun{kind: experiment.Kind{Cores: c, Speed: 1, Slots: c, QueueLimit: k - c}, rate: lambda,
			work: exponential(1 / mu), count: n}
		s.run(t)
		p, sum := 1.0, 1.0
		for i := 1; i <= k; i++ {
			p *= lambda / (float64(min(i, c)) * mu)
			sum += p
		}
		checkWithin(t, "loss fraction", s.rejectedFraction, p/sum, 0.03)
	})
	t.Run("M/G/1 processor sharing", func(t *testing.T) {
		t.Parallel()
		s := queueRun{kind: experiment.Kind{Cores: 1, Speed: 1, Slots: unlimited, QueueLimit: 0}, rate: 6,
			work: func(r *rand.Rand) float64 { // two very different sizes, mean 0.1
				if r.Float64() < 0.1 {
					return 0.55
				}
				return 0.05
			}, count: n}
		s.run(t)
		checkWithin(t, "mean time in the system", s.meanTimeInSystem, 0.1/(1-0.6), 0.03)
	})
}

// newTestServer returns a server with one core that has warmed up.
func newTestServer(slots, queueLimit int, spec experiment.ServerSpec) *Server {
	kind := experiment.Kind{Cores: 1, Speed: 1, Slots: slots, QueueLimit: queueLimit}
	return New(kind, spec, experiment.Rules{}, -1, experiment.Rand(1, "b"))
}

// job returns a job with this work, in seconds.
func job(work float64) *Job { return &Job{Work: work} }

// completionTimes runs a server until an instant and returns the instant at which each job was
// completed.
func completionTimes(server *Server, until time.Duration) []time.Duration {
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
		t.Fatal("a request was rejected although a slot or a place in the queue was free")
	}
	if got := server.Admit(0, third, 0.1); got != Rejected {
		t.Fatalf("third request: admission %v, want Rejected", got)
	}
	if done := server.Advance(100*time.Millisecond, nil); len(done) != 1 || done[0] != first {
		t.Fatalf("completed jobs %v, want the first job only", done)
	}
	// The first job calls the next tier and keeps its slot.
	server.Advance(time.Second, nil)
	if server.SlotsUsed() != 1 || server.InFlight() != 2 {
		t.Fatalf("%d requests in flight and %d in slots, want 2 and 1", server.InFlight(), server.SlotsUsed())
	}
	first.Work = 0.05
	server.Resume(first)
	at := completionTimes(server, 2*time.Second)
	if len(at) != 2 || at[0] != 1050*time.Millisecond || at[1] != 1250*time.Millisecond {
		t.Fatalf("jobs completed at %v, want 1.05 s and 1.25 s", at)
	}
}

func TestServerWarmsUpAndIsOverloaded(t *testing.T) {
	spec := experiment.ServerSpec{InitialCapacity: 0.25, WarmupTime: 4 * time.Second}
	rules := experiment.Rules{WarmupOverload: 4, OverloadWindow: time.Second}
	kind := experiment.Kind{Cores: 1, Speed: 1, Slots: 10, QueueLimit: 100}
	server := New(kind, spec, rules, 0, experiment.Rand(1, "b"))
	server.Admit(0, job(0.25), 0.25)
	// The work done is the integral of 0.25 + 0.1875 t, which is 0.25 at t = 0.781 s. The tolerance
	// allows for the error of updating the capacity in steps.
	if at := completionTimes(server, 2*time.Second); len(at) != 1 || math.Abs(at[0].Seconds()-0.781) > 0.02 {
		t.Fatalf("job on a server that warms up completed at %v, want 0.781 s", at)
	}
	now := 2 * time.Second // capacity 0.625: a budget of 2.5 s of work a second
	for i := range 3 {
		if server.Admit(now, job(1), 1); server.Overloaded() {
			t.Fatalf("overloaded by request %d, within the budget", i)
		}
	}
	if got := server.Admit(now, job(1), 1); got != Unavailable || !server.Overloaded() {
		t.Fatalf("4 s of work at once: admission %v, overloaded %v; want Unavailable and true", got, server.Overloaded())
	}
	server.Crash()
	server.Restart(10 * time.Second)
	if server.Down() || server.Overloaded() || server.CapacityFraction(10*time.Second) != 0.25 {
		t.Fatal("server does not warm up after a restart")
	}
	server.Advance(20*time.Second, nil)
	for range 10 {
		server.Admit(20*time.Second, job(1), 1)
	}
	if server.Overloaded() {
		t.Fatal("server was overloaded after its warm-up")
	}
}

func TestOverloadCollapse(t *testing.T) {
	spec := experiment.ServerSpec{CollapseQueue: 2, CollapseAfter: 500 * time.Millisecond, CollapseSlowdown: 2,
		RecoveryLoad: 1, RecoveryAfter: time.Second}
	server := newTestServer(1, 100, spec)
	for range 5 {
		server.Admit(0, job(0.3), 0.3)
	}
	at := completionTimes(server, 500*time.Millisecond)
	if !server.Collapsed() || len(at) != 1 {
		t.Fatalf("collapsed %v, jobs completed at %v; want collapsed after 1 job", server.Collapsed(), at)
	}
	at = completionTimes(server, 10*time.Second)
	// At half speed, the server completes the remaining 0.1 s of the second job and then three jobs
	// of 0.3 s.
	if len(at) != 4 || at[0] != 700*time.Millisecond || at[3] != 2500*time.Millisecond {
		t.Fatalf("jobs completed at %v, want 4, the first at 0.7 s and the last at 2.5 s", at)
	}
	if server.Collapsed() {
		t.Fatal("server is still collapsed when it should have recovered")
	}
}

func TestCrashEndsAllJobs(t *testing.T) {
	server := newTestServer(1, 5, experiment.ServerSpec{ConnLimit: 1})
	jobs := []*Job{job(1), job(1)}
	for _, j := range jobs {
		server.Admit(0, j, 1)
	}
	if !server.Connect() || server.Connect() {
		t.Fatal("the connection limit is not applied")
	}
	server.Crash()
	for _, j := range jobs {
		if !j.Finished() {
			t.Error("job has not finished after the crash")
		}
		server.Finish(j) // no effect; the driver may call it before it knows of the crash
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
			t.Errorf("load report at %v: %v, want %v", at, got, want)
		}
	}
	checkReport(10*ms, 0)
	server.Admit(10*ms, job(9), 9)
	server.Admit(10*ms, job(9), 9)
	checkReport(120*ms, 0) // the refresh at 100 ms is reported from 150 ms on
	checkReport(160*ms, 2)
	server.Admit(160*ms, job(9), 9)
	checkReport(240*ms, 2)
	checkReport(900*ms, 3)
}
