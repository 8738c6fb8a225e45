// Package speed measures how fast the programs forward requests, compared with baselines in the
// same run. Each program is a process with a limited number of cores. All have the same servers and
// the same clients, and are measured one after another in each round.
package speed

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rowancart/internal/platform"
)

// Options configure a measurement.
type Options struct {
	Programs        []string // of Programs
	Servers         int      // number of servers, which respond at once
	Connections     int      // of clients, each with one request at a time
	BodySize        int      // bytes of the body of a POST request; 0: GET requests
	Cores           int      // of each program
	Rounds          int      // in which each program is measured once
	SampleTime      time.Duration
	IdleConnections int    // additional client connections, which send one request before the measurements
	Self            string // path of this program, which serves as the daemon and as the baselines
	Sidecar         string // path of the sidecar program
	Dir             string // for configurations and logs
}

// The programs. Their names are values of a flag.
const (
	sidecarProgram      = "tuliprock" // the platform's sidecar
	daemonProgram       = "daemon"
	reverseProxyProgram = "reverse_proxy"
	fastHTTPProgram     = "fasthttp"
)

// Programs lists the programs that can be compared.
var Programs = []string{sidecarProgram, daemonProgram, reverseProxyProgram, fastHTTPProgram}

// Result is the result of one program: medians over its samples.
type Result struct {
	Program  string
	Rate     float64       // responses a second
	CPU      time.Duration // of the program, for each response
	P50, P99 time.Duration
	Failed   int   // of all requests
	Memory   int64 // peak of the resident memory, in bytes
}

// sample is one measurement of a program.
type sample struct {
	rate           float64 // responses a second
	cpuPerResponse time.Duration
	latency        *hdrhistogram.Histogram // in microseconds
	failed         int
}

// Run measures all programs.
func Run(ctx context.Context, o Options) ([]Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers, err := newServerGroup(o.Servers)
	if err != nil {
		return nil, err
	}
	defer servers.close()
	discovery, err := serveSilentDiscovery(ctx)
	if err != nil {
		return nil, err
	}
	defer discovery.Close()

	programs, err := startPrograms(ctx, o, servers.addrs, discovery.Addr)
	defer func() {
		for _, p := range programs {
			p.kill()
		}
	}()
	if err != nil {
		return nil, err
	}
	idle, err := openIdleConnections(programs, o.IdleConnections)
	defer func() {
		for _, nc := range idle {
			nc.Close()
		}
	}()
	if err != nil {
		return nil, err
	}
	if err := measureRounds(ctx, o, programs); err != nil {
		return nil, err
	}
	var out []Result
	for _, p := range programs {
		out = append(out, p.result())
	}
	return out, nil
}

// serveSilentDiscovery starts a discovery service that sends no updates until ctx ends. Its address
// is Addr.
func serveSilentDiscovery(ctx context.Context) (*http.Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &http.Server{
		Addr:        l.Addr().String(),
		BaseContext: func(net.Listener) context.Context { return ctx },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}),
	}
	go func() { _ = s.Serve(l) }() // ends with Close
	return s, nil
}

// openIdleConnections opens connections to each program and sends one request on each. On an error
// it returns those that it has opened.
func openIdleConnections(programs []*program, count int) ([]net.Conn, error) {
	var idle []net.Conn
	for _, p := range programs {
		for range count {
			nc, err := net.Dial("tcp", p.addr)
			if err != nil {
				return idle, fmt.Errorf("%s: %w", p.name, err)
			}
			idle = append(idle, nc)
			if _, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: box\r\n\r\n", platform.HealthPath); err != nil {
				return idle, err
			}
		}
	}
	return idle, nil
}

// measureRounds measures each program once in each round, after one round for warming up. Each
// round begins with another program.
func measureRounds(ctx context.Context, o Options, programs []*program) error {
	for round := range o.Rounds + 1 {
		for i := range programs {
			p := programs[(i+round)%len(programs)]
			s, err := p.measure(ctx, o)
			if err != nil {
				return fmt.Errorf("%s: %w", p.name, err)
			}
			if round > 0 {
				p.samples = append(p.samples, s)
			}
		}
	}
	return nil
}

// result returns medians, since other programs on the machine disturb single samples.
func (p *program) result() Result {
	r := Result{Program: p.name, Memory: p.peakMemory()}
	median := func(of func(s sample) float64) float64 {
		var all []float64
		for _, s := range p.samples {
			all = append(all, of(s))
		}
		slices.Sort(all)
		return all[len(all)/2]
	}
	percentile := func(q float64) time.Duration {
		micros := median(func(s sample) float64 { return float64(s.latency.ValueAtQuantile(q)) })
		return time.Duration(micros) * time.Microsecond
	}
	r.Rate = median(func(s sample) float64 { return s.rate })
	r.CPU = time.Duration(median(func(s sample) float64 { return float64(s.cpuPerResponse) }))
	r.P50 = percentile(50)
	r.P99 = percentile(99)
	for _, s := range p.samples {
		r.Failed += s.failed
	}
	return r
}
