// Package speed measures how fast the sidecar and the daemon forward requests, and compares them
// with baselines in the same run. Each program is a process with a limited number of cores. All
// programs have the same servers and the same clients, and each round measures them one after
// another.
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
	Programs        []string      // names, from the variable Programs
	Servers         int           // number of emulated servers, which respond without delay
	Connections     int           // number of client connections, each with one request at a time
	BodySize        int           // bytes in the body of each POST request; 0: send GET requests
	Cores           int           // GOMAXPROCS of each program
	Rounds          int           // number of rounds, each of which measures every program once
	SampleTime      time.Duration // length of one measurement
	IdleConnections int           // additional connections to each program, which send one request before the measurements
	Self            string        // path of this program, which runs as the daemon and as the baselines
	Sidecar         string        // path of the sidecar program
	Dir             string        // directory of configuration and log files
}

// Names of the programs, which are also values of the flag --programs.
const (
	sidecarProgram      = "tuliprock" // the platform's sidecar
	daemonProgram       = "daemon"
	reverseProxyProgram = "reverse_proxy"
	fastHTTPProgram     = "fasthttp"
)

// Programs lists the programs that can be compared.
var Programs = []string{sidecarProgram, daemonProgram, reverseProxyProgram, fastHTTPProgram}

// Result is the result of one program. Rate, CPU and the latencies are medians over its samples.
type Result struct {
	Program  string
	Rate     float64       // responses a second
	CPU      time.Duration // CPU time of the program for each response
	P50, P99 time.Duration // latency
	Failed   int           // requests with a status other than 200, over all samples
	Memory   int64         // peak resident memory, in bytes
}

// sample is one measurement of a program.
type sample struct {
	rate           float64 // responses a second with status 200
	cpuPerResponse time.Duration
	latency        *hdrhistogram.Histogram // in microseconds
	failed         int                     // requests with a status other than 200
}

// Run starts the programs, measures them in rounds and returns their results.
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

// serveSilentDiscovery starts a discovery service that keeps requests open, without sending an
// update, until ctx ends. The Addr of the returned server is the address on which it listens.
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
	go func() { _ = s.Serve(l) }() // returns after Close
	return s, nil
}

// openIdleConnections opens count connections to each program and sends one request on each. On an
// error it returns the connections that it has opened so far.
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

// measureRounds measures each program once in each round. It starts with one additional round,
// which warms the programs up and whose samples are dropped. Each round starts with the next
// program in turn.
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

// result returns the program's result. It uses medians because other programs on the machine can
// disturb single samples.
func (p *program) result() Result {
	r := Result{Program: p.name, Memory: p.peakMemory()}
	median := func(value func(s sample) float64) float64 {
		var all []float64
		for _, s := range p.samples {
			all = append(all, value(s))
		}
		slices.Sort(all)
		return all[len(all)/2]
	}
	percentile := func(q float64) time.Duration {
		microseconds := median(func(s sample) float64 { return float64(s.latency.ValueAtQuantile(q)) })
		return time.Duration(microseconds) * time.Microsecond
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
