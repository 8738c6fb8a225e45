// Package speed measures how fast the programs pass requests on, beside baselines in the same run: each is a process of its own
// with so many cores, before the same servers, under the same clients, in turns.
package speed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// Options say what is measured.
type Options struct {
	Programs        []string // to compare: of Programs
	Servers         int      // that answer at once
	Connections     int      // of clients, each with one request at a time
	BodySize        int      // bytes that a request posts; 0: a GET
	Cores           int      // of each program
	Rounds          int      // in which each program has a turn
	SampleTime      time.Duration
	IdleConnections int    // further connections of clients that send nothing
	Self            string // this program, which serves as the daemon and as the baselines
	Sidecar         string // the platform's program
	Dir             string // for configurations and logs
}

// sidecarProgram is the name of the platform's sidecar in flags and reports.
const sidecarProgram = "tuliprock"

// Programs are what can be compared.
var Programs = []string{sidecarProgram, "daemon", "reverse_proxy", "fasthttp"}

// Result is what was measured of one program: medians over its turns.
type Result struct {
	Program  string
	Rate     float64       // answers a second
	CPU      time.Duration // the program's, for each answer
	P50, P99 time.Duration
	Failed   int   // of all requests
	Memory   int64 // bytes resident at the most
}

// program is one that runs.
type program struct {
	name    string
	addr    string
	cmd     *exec.Cmd
	exited  chan error
	samples []sample
}

type sample struct {
	rate           float64
	cpuPerResponse time.Duration
	latency        *hdrhistogram.Histogram
	failed         int
}

// Run measures.
func Run(ctx context.Context, o Options) ([]Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers, err := newServerGroup(o.Servers)
	if err != nil {
		return nil, err
	}
	defer servers.close()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // a discovery service that has no news
	if err != nil {
		return nil, err
	}
	discovery := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}), BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() { _ = discovery.Serve(silent) }()
	defer discovery.Close()

	var programs []*program
	defer func() {
		for _, p := range programs {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}()
	for _, name := range o.Programs {
		p, err := startProgram(o, name, servers.addrs, silent.Addr().String())
		if err != nil {
			return nil, err
		}
		programs = append(programs, p)
		if err := p.waitReady(ctx); err != nil {
			return nil, err
		}
	}
	var idle []net.Conn
	defer func() {
		for _, nc := range idle {
			nc.Close()
		}
	}()
	for _, p := range programs {
		for range o.IdleConnections {
			nc, err := net.Dial("tcp", p.addr)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", p.name, err)
			}
			idle = append(idle, nc)
			if _, err := fmt.Fprintf(nc, "GET /_health HTTP/1.1\r\nHost: box\r\n\r\n"); err != nil {
				return nil, err
			}
		}
	}
	for round := range o.Rounds + 1 { // the first one warms up
		for i := range programs {
			p := programs[(i+round)%len(programs)]
			t, err := p.measure(ctx, o)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", p.name, err)
			}
			if round > 0 {
				p.samples = append(p.samples, t)
			}
		}
	}
	var out []Result
	for _, p := range programs {
		out = append(out, p.result())
	}
	return out, nil
}

// result returns medians: a machine that others use, too, has bad moments.
func (p *program) result() Result {
	r := Result{Program: p.name, Memory: p.peakMemory()}
	median := func(of func(t sample) float64) float64 {
		var all []float64
		for _, t := range p.samples {
			all = append(all, of(t))
		}
		slices.Sort(all)
		return all[len(all)/2]
	}
	r.Rate = median(func(t sample) float64 { return t.rate })
	r.CPU = time.Duration(median(func(t sample) float64 { return float64(t.cpuPerResponse) }))
	r.P50 = time.Duration(median(func(t sample) float64 { return float64(t.latency.ValueAtQuantile(50)) })) * time.Microsecond
	r.P99 = time.Duration(median(func(t sample) float64 { return float64(t.latency.ValueAtQuantile(99)) })) * time.Microsecond
	for _, t := range p.samples {
		r.Failed += t.failed
	}
	return r
}

// Text prints results, with ratios to each baseline.
func Text(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	rate := map[string]float64{}
	for _, r := range results {
		rate[r.Program] = r.Rate
	}
	fmt.Fprintln(tw, "program\tanswers/s\tof reverse_proxy\tof fasthttp\tCPU us each\tp50 us\tp99 us\tfailed\tMiB\t")
	ratio := func(a, b float64) string {
		if b == 0 {
			return "-"
		}
		return fmt.Sprintf("%.2f", a/b)
	}
	for _, r := range results {
		fmt.Fprintf(tw, "%s\t%.0f\t%s\t%s\t%.1f\t%d\t%d\t%d\t%.0f\t\n", r.Program, r.Rate, ratio(r.Rate, rate["reverse_proxy"]),
			ratio(r.Rate, rate["fasthttp"]), float64(r.CPU.Nanoseconds())/1000, r.P50.Microseconds(), r.P99.Microseconds(), r.Failed,
			float64(r.Memory)/(1<<20))
	}
	return tw.Flush()
}

// startProgram starts a program before the servers.
func startProgram(o Options, name string, servers []string, discoveryAddr string) (*program, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	p := &program{name: name, addr: addr, exited: make(chan error, 1)}
	file := filepath.Join(o.Dir, name)
	var args []string
	env := append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(o.Cores))
	switch name {
	case sidecarProgram, "reverse_proxy":
		file += ".json"
		if err := os.WriteFile(file, sidecarConfig(o, addr, discoveryAddr, servers), 0o600); err != nil {
			return nil, err
		}
		env = append(env, "ROUTER_CONFIG="+file)
		if args = []string{o.Sidecar}; name == "reverse_proxy" {
			args = []string{o.Self, "lab", "reverse-proxy"}
		}
	case "daemon":
		file += ".hcl"
		if err := os.WriteFile(file, daemonConfig(o, addr, servers), 0o600); err != nil {
			return nil, err
		}
		args = []string{o.Self, "serve", file}
	case "fasthttp":
		args = append([]string{o.Self, "lab", "fasthttp", addr}, servers...)
	default:
		return nil, fmt.Errorf("program %q is none of %s", name, strings.Join(Programs, ", "))
	}
	log, err := os.Create(file + ".log")
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(args[0], args[1:]...)
	p.cmd.Env, p.cmd.Stderr = env, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { p.exited <- p.cmd.Wait(); close(p.exited) }()
	return p, nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func sidecarConfig(o Options, addr, discoveryAddr string, servers []string) []byte {
	type server struct {
		ID    string `json:"id"`
		Addr  string `json:"addr"`
		Kind  string `json:"kind"`
		State string `json:"state"`
	}
	var entries []server
	for i, b := range servers {
		entries = append(entries, server{ID: "box-" + strconv.Itoa(i), Addr: b, Kind: "box", State: "Ready"})
	}
	text, _ := json.Marshal(map[string]any{ // of plain values: it cannot fail
		"name": "speed", "listen": addr, "discovery": discoveryAddr, "seed": "1",
		"limits": map[string]any{"cores": o.Cores, "memory_mb": 192, "sockets": 4096 + 2*o.IdleConnections},
		"known":  map[string]any{"version": 1, "full": true, "servers": entries},
		"settings": map[string]any{
			"Lanes": []map[string]any{{"Name": "get", "Semantics": "read_like", "OnTimeUs": 1000000},
				{"Name": "post", "Semantics": "non_idempotent", "OnTimeUs": 1000000}},
			"Permissions": map[string]any{"ConnIdleUs": 30000000, "TryLimit": 3, "MayCancel": true}},
	})
	return text
}

func daemonConfig(o Options, addr string, servers []string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "listener \"front\" {\n  address = %q\n}\nlimits {\n  connections = %d\n}\n", addr, 1024+o.IdleConnections)
	b.WriteString("class \"get\" {\n  effect = \"safe\"\n}\nclass \"post\" {\n  effect = \"unsafe\"\n}\npool \"boxes\" {\n  connections = 2048\n" +
		"  connection_idle = \"30s\"\n  roster \"static\" {\n")
	for i, box := range servers {
		fmt.Fprintf(&b, "    endpoint \"box-%d\" {\n      address = %q\n      kind = \"box\"\n    }\n", i, box)
	}
	b.WriteString("  }\n}\n")
	for _, class := range []string{"get", "post"} {
		fmt.Fprintf(&b, "route %q {\n  path = \"/%s/*\"\n  class = %q\n  pool = \"boxes\"\n}\n", class, class, class)
	}
	return b.Bytes()
}

// waitReady waits until a program answers for its health.
func (p *program) waitReady(ctx context.Context) error {
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + p.addr + "/_health")
		if err == nil {
			resp.Body.Close()
			return nil
		}
		select {
		case err := <-p.exited:
			return fmt.Errorf("%s ended at once: %v", p.name, err)
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s does not answer: %w", p.name, err)
		}
	}
}

// cpuTime returns the processor time that a program has used.
func (p *program) cpuTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/schedstat", p.cmd.Process.Pid))
	if err == nil && p.cmd.ProcessState == nil {
		total := time.Duration(0)
		tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
		for _, task := range tasks {
			if text, err = os.ReadFile(task); err == nil {
				ns, _ := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
				total += time.Duration(ns)
			}
		}
		return total
	}
	return 0
}

// peakMemory returns the most bytes that a program had resident.
func (p *program) peakMemory() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// measure returns a program its turn.
func (p *program) measure(ctx context.Context, o Options) (sample, error) {
	var all errgroup.Group
	began, used := time.Now(), p.cpuTime()
	end := began.Add(o.SampleTime)
	results := make([]sample, o.Connections)
	for i := range o.Connections {
		all.Go(func() error {
			var err error
			results[i], err = runClient(ctx, p.addr, o.BodySize, end, i)
			return err
		})
	}
	if err := all.Wait(); err != nil {
		return sample{}, err
	}
	out := sample{latency: newLatencyHistogram()}
	for _, r := range results {
		out.latency.Merge(r.latency)
		out.failed += r.failed
	}
	answers := out.latency.TotalCount()
	if answers == 0 {
		return sample{}, errors.New("it answered nothing")
	}
	out.rate = float64(answers) / time.Since(began).Seconds()
	out.cpuPerResponse = (p.cpuTime() - used) / time.Duration(answers)
	return out, nil
}

func newLatencyHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }
