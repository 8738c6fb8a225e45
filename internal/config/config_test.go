package config

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rowancart/balancer"
	"rowancart/internal/ratelimit"
)

const good = `listener "front" {
  address = "127.0.0.1:8080"
}
class "look" {
  effect = "safe"
  policy = "quick"
}
class "book" {
  effect = "keyed"
  window = "10s"
  group  = "zone"
}
class "pay" {
  effect = "unsafe"
}
policy "quick" {
  client_waits    = "5s"
  attempt_timeout = "1s"
  attempts        = 3
  second_copy {
    after = "300ms"
  }
}
pool "boxes" {
  roster "static" {
    endpoint "a" {
      address = "127.0.0.1:9001"
    }
    endpoint "b" {
      address = "127.0.0.1:9002"
    }
  }
}
route "looks" {
  path  = "/look/*"
  class = "look"
  pool  = "boxes"
}
route "pays" {
  path  = "/pay"
  class = "pay"
  pool  = "boxes"
  policy {
    queue = 0
    rate  = "120/min"
  }
}
route "books" {
  path    = "/book/*"
  methods = ["POST"]
  class   = "book"
  pool    = "boxes"
}
`

func noEnv(string) (string, bool) { return "", false }

func TestAGoodFileIsRead(t *testing.T) {
	c, err := Parse([]byte(good), "x.hcl", noEnv)
	if err != nil {
		t.Fatal(err)
	}
	looks, pays, books := c.Routes[0], c.Routes[1], c.Routes[2]
	want := Policy{ClientTimeout: 5 * time.Second, RequestTimeout: 5 * time.Second, AttemptTimeout: time.Second, MaxAttempts: 3, Retry: RetryAfterRun,
		HedgeAfter: 300 * time.Millisecond, QueueLimit: -1}
	if looks.Policy != want {
		t.Errorf("looks: %+v", looks.Policy)
	}
	want = Policy{ClientTimeout: 10 * time.Second, RequestTimeout: 10 * time.Second, MaxAttempts: 3, Retry: RetryIfNotRun, QueueLimit: 0,
		Rate: ratelimit.Rate{PerSecond: 2, Burst: 2}}
	if pays.Policy != want {
		t.Errorf("pays: %+v", pays.Policy)
	}
	if m := pays.BalancerClass("m"); m.Name != "m" || m.Work != "pay" || m.QueueLimit != -1 || !m.NeverRerun || m.Repeat != balancer.NonIdempotent {
		t.Errorf("pays, to the module: %+v", m)
	}
	if m := books.BalancerClass("m"); m.Repeat != balancer.IdempotencyKeyed || m.KeyScope != balancer.KeyScopeZone || m.KeyWindow != 10*time.Second || m.NeverRerun || m.QueueLimit != 0 {
		t.Errorf("books, to the module: %+v", m)
	}
	if looks.Origins["attempts"] != `x.hcl:19:3, policy "quick"` || pays.Origins["queue"] != `x.hcl:44:5, route "pays"` || pays.Origins["attempts"] != "default" {
		t.Errorf("said at %v and %v", looks.Origins, pays.Origins)
	}
	var show bytes.Buffer
	if err := c.Show(&show); err != nil || !strings.Contains(show.String(), "attempt_timeout     1s           x.hcl:18:3, policy \"quick\"") {
		t.Errorf("%v\n%s", err, show.String())
	}
	if len(c.Warnings) != 0 {
		t.Errorf("warnings: %v", c.Warnings)
	}
}

func TestBadFilesAreRefusedWithEveryFault(t *testing.T) {
	swap := func(old, new string) string {
		if !strings.Contains(good, old) {
			t.Fatalf("the good file has no %q", old)
		}
		return strings.Replace(good, old, new, 1)
	}
	looks := func(policy string) string {
		return swap("  class = \"look\"\n", "  class = \"look\"\n  policy {\n    "+policy+"\n  }\n")
	}
	pays := func(policy string) string { return swap("queue = 0", policy) }
	for _, row := range []struct{ name, text, want string }{
		{"a second copy of what is unsafe", pays("second_copy {\n after = \"1s\"\n}"),
			`x.hcl:44:5: second_copy: route "pays" is of class "pay", which is unsafe: both copies could run`},
		{"a second copy of what is keyed", swap(`  class   = "book"`, "  class   = \"book\"\n  policy {\n    second_copy {\n      percentile = 95\n    }\n  }"),
			`x.hcl:53:5: second_copy: route "books" is of class "book", which is keyed: both copies could run`},
		{"a retry after a run", pays(`retry = "after_run"`),
			`x.hcl:44:5: retry: route "pays" is of class "pay", which is unsafe: after a run, another could run it twice`},
		{"attempts that add up", looks("attempt_timeout = \"2s\""),
			`x.hcl:38:5: attempt_timeout: 3 attempts of 2s add up to 6s, and a request of route "looks" has 5s`},
		{"an attempt longer than the request", looks("request_timeout = \"900ms\""),
			`x.hcl:18:3: attempt_timeout: 1s is longer than a request of route "looks" has: 900ms`},
		{"a request longer than clients wait", looks("request_timeout = \"6s\""),
			`x.hcl:38:5: request_timeout: 6s is longer than clients of route "looks" wait: 5s`},
		{"a copy after the attempt", looks("second_copy {\n after = \"1s\"\n}"),
			`x.hcl:38:5: second_copy: after 1s the first attempt of route "looks" has ended`},
		{"a copy with one attempt", looks("attempts = 1"),
			`x.hcl:20:3: second_copy: it is a second attempt, and route "looks" has 1`},
		{"an empty copy", looks("second_copy {}"), `x.hcl:38:5: second_copy: it says neither after what time nor after what percentile`},
		{"a percentile", looks("second_copy {\n percentile = 20\n}"), `x.hcl:39:2: percentile: 20 is not from 50 to under 100`},
		{"zeros", looks("attempts = 0\n    rate = \"0/s\""), `x.hcl:38:5: attempts: 0 attempts serve nobody
x.hcl:39:5: rate: at 0 a second nobody is served`},
		{"a tenant over all", looks("concurrency = 5\n    tenant_concurrency = 6\n    rate = \"1/s\"\n    tenant_rate = \"2/s\""),
			`x.hcl:39:5: tenant_concurrency: 6 is more than all tenants of route "looks" have together: 5
x.hcl:41:5: tenant_rate: 2/s is more than all tenants of route "looks" have together: 1/s`},
		{"a burst of nothing", looks("burst = 5"), `x.hcl:38:5: burst: route "looks" has no rate that it could belong to`},
		{"a bare number for a time", looks("request_timeout = 3"), `x.hcl:38:23: request_timeout: a time with its unit, such as "250ms" is wanted`},
		{"a bare number for a rate", pays("tenant_rate = 3"), `x.hcl:44:19: tenant_rate: a rate with its unit, such as "50/s" is wanted`},
		{"a bare number for a size", good + "limits {\n  memory = 64\n}\n", `x.hcl:55:12: memory: a size with its unit, such as "128MiB" is wanted`},
		{"an unknown way to retry", looks(`retry = "always"`), `x.hcl:38:5: retry: "always" is none of not_run, after_run`},
		{"no pool", swap(`  pool  = "boxes"`, ``), `x.hcl:34:15: Missing required argument: The argument "pool" is required, but no definition was found.`},
		{"an unknown pool", swap(`  pool  = "boxes"`, `  pool = "boxen"`), `x.hcl:37:3: there is no pool "boxen"`},
		{"an unknown class", swap(`class = "look"`, `class = "watch"`), `x.hcl:36:3: there is no class "watch"`},
		{"an unknown policy", swap(`policy = "quick"`, `policy = "quicker"`), `x.hcl:6:3: there is no policy "quicker"`},
		{"an unknown listener", swap(`  class = "look"`, "  class = \"look\"\n  listeners = [\"back\"]"), `x.hcl:37:3: there is no listener "back"`},
		{"an unknown attribute", looks("retries = 3"), `x.hcl:38:5: Unsupported argument: An argument named "retries" is not expected here.`},
		{"routes that overlap", swap(`"/pay"`, `"/look/*"`),
			`x.hcl:39:1: route "pays" overlaps route "looks", at x.hcl:34:1: some requests fit both, and neither is more specific`},
		{"a path of two meanings", swap(`"/pay"`, `"/look/../pay"`), `x.hcl:40:3: path: a dot segment`},
		{"a star in a path", swap(`"/pay"`, `"/*/pay"`), `x.hcl:40:3: path: "/*/pay" has a star elsewhere than in a last "/*"`},
		{"a host in capitals", swap(`  path  = "/pay"`, `  host  = "Pay.example"`), `x.hcl:40:3: host: "Pay.example" is neither a name in lower case nor such as "*.example"`},
		{"an odd method", swap(`["POST"]`, `["CONNECT"]`), `x.hcl:50:3: methods: "CONNECT" is none of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS`},
		{"an address twice", good + "listener \"back\" {\n  address = \"127.0.0.1:8080\"\n}\n", `x.hcl:55:3: address: 127.0.0.1:8080 is in use already, at x.hcl:2:3`},
		{"a loop", swap(`"127.0.0.1:9002"`, `"127.0.0.1:8080"`), `x.hcl:30:7: address: 127.0.0.1:8080 is where this process listens, at x.hcl:2:3`},
		{"an endpoint twice", swap(`endpoint "b"`, `endpoint "a"`), `x.hcl:29:5: endpoint: "a" is in use already, at x.hcl:26:5`},
		{"one address twice in a pool", swap(`"127.0.0.1:9002"`, `"127.0.0.1:9001"`), `x.hcl:30:7: address: "127.0.0.1:9001" is in use already, at x.hcl:27:7`},
		{"no address", swap(`"127.0.0.1:9002"`, `"boxes"`), `x.hcl:30:7: address: "boxes" is no host:port: address boxes: missing port in address`},
		{"no roster", good + "pool \"more\" {\n}\n", `x.hcl:54:1: pool "more" has no roster`},
		{"an unknown roster", good + "pool \"more\" {\n  roster \"dns\" {}\n}\n", `x.hcl:55:3: roster: "dns" is none of static, file, platform`},
		{"two of a name", good + "class \"pay\" {\n  effect = \"safe\"\n}\n", `x.hcl:54:1: class "pay": there is one already, at x.hcl:13:1`},
		{"keyed without a window", swap("  window = \"10s\"\n", ""), `x.hcl:8:1: class "book": keyed, and no window says for how long repeats are dropped`},
		{"a window for what is safe", swap("  effect = \"safe\"\n", "  effect = \"safe\"\n  window = \"1s\"\n"),
			`x.hcl:6:3: window: class "look" is safe; repeats are dropped of keyed classes only`},
		{"an odd effect", swap(`"unsafe"`, `"harmful"`), `x.hcl:14:3: effect: "harmful" is none of safe, keyed, unsafe`},
		{"too little", good + "limits {\n  memory = \"16MiB\"\n  connections = 3\n  stop_within = \"1ms\"\n}\n",
			`x.hcl:55:3: memory: the process needs 32MiB at least
x.hcl:56:3: connections: the process needs 16 at least
x.hcl:57:3: stop_within: 1ms leaves callers no time to hear of it; 1s is the least`},
		{"more connections than memory", good + "limits {\n  memory = \"64MiB\"\n  connections = 10000\n}\n",
			`x.hcl:54:1: limits: 10000 connections need 137MiB, and memory is 64MiB`},
		{"too few connections of a pool", swap("pool \"boxes\" {\n", "pool \"boxes\" {\n  connections = 1\n"), `x.hcl:25:3: connections: a pool needs 4 at least`},
		{"a budget that lets nothing through", swap("pool \"boxes\" {\n", "pool \"boxes\" {\n  retry_budget {\n    share = 0.1\n    most = 0.5\n  }\n"),
			`x.hcl:27:5: most: 0.5 never lets a retry through; 1 is the least`},
		{"an open admin listener", good + "admin {\n  listen = \"0.0.0.0:9901\"\n}\n",
			`x.hcl:55:3: listen: 0.0.0.0:9901 is not on loopback, and the admin listener asks nobody who they are`},
		{"no such instance", good + "fleet {\n  instances = 2\n  index = 2\n}\n", `x.hcl:54:1: fleet: index 2 is not among 2 instances`},
		{"a name beside an index", good + "fleet {\n  instances = 2\n  index = 1\n  name = \"x\"\n}\n",
			`x.hcl:57:3: name: the index stands already; the name is for instances that know none`},
		{"a small subset", swap("pool \"boxes\" {\n", "pool \"boxes\" {\n  subset = 2\n"),
			`x.hcl:25:3: subset: 2 leaves too little to choose from; 3 is the least`},
		{"too much for a fresh server", swap("pool \"boxes\" {\n", "pool \"boxes\" {\n  warm_up {\n    share = 5\n  }\n"),
			`x.hcl:25:3: warm_up: share 5 is not over 0 and up to 4: it is how much of its warmth's part a fresh server gets`},
		{"an unset variable", swap(`"127.0.0.1:8080"`, `env("FRONT")`), `x.hcl:2:18: Invalid function argument: Invalid value for "name" parameter: FRONT is not set.`},
		{"nothing", "", "x.hcl:1:1: the file has no listener\nx.hcl:1:1: the file has no route"},
		{"syntax", swap("route \"pays\" {", "route pays {{"), `x.hcl:39:13: Argument or block definition required: An argument or block definition is required here.`},
		{"all in one go", strings.NewReplacer(`"/pay"`, `"pay"`, `"10s"`, `10`, `effect = "safe"`, `effect = "sure"`).Replace(good),
			`x.hcl:5:3: effect: "sure" is none of safe, keyed, unsafe
x.hcl:10:12: window: a time with its unit, such as "250ms" is wanted
x.hcl:40:3: path: it must begin with a slash`},
	} {
		c, err := Parse([]byte(row.text), "x.hcl", noEnv)
		if err == nil {
			t.Errorf("%s: accepted: %+v", row.name, c)
		} else if got := err.Error(); got != row.want {
			t.Errorf("%s:\n got %s\nwant %s", row.name, got, row.want)
		}
	}
}

func TestWhatNobodyUsesIsAWarning(t *testing.T) {
	c, err := Parse([]byte(good+`pool "spare" {
  roster "file" {
    path = "spare.json"
  }
}
class "other" {
  effect = "safe"
}
policy "lazy" {}
`), "x.hcl", noEnv)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{`x.hcl:59:1: class "other": nobody uses it`, `x.hcl:62:1: policy "lazy": nobody uses it`, `x.hcl:54:1: pool "spare": nobody uses it`}
	if !slices.Equal(c.Warnings, want) {
		t.Errorf("warnings %q", c.Warnings)
	}
}

func TestVariablesAreAskedForByName(t *testing.T) {
	text := strings.Replace(good, `"127.0.0.1:8080"`, `"127.0.0.1:${env("PORT")}"`, 1)
	c, err := Parse([]byte(text), "x.hcl", func(name string) (string, bool) { return "8111", name == "PORT" })
	if err != nil || c.Listeners[0].Address != "127.0.0.1:8111" {
		t.Errorf("%+v, %v", c, err)
	}
}

func TestShippedFilesAreGood(t *testing.T) {
	files, _ := filepath.Glob("../../deploy/*.hcl")
	if len(files) == 0 {
		t.Fatal("none found")
	}
	for _, name := range files {
		if c, err := Load(name, noEnv); err != nil || len(c.Warnings) > 0 {
			t.Errorf("%s: %v, %+v", name, err, c)
		}
	}
}

func TestCompareNamesWhatChanged(t *testing.T) {
	old, err := Parse([]byte(good), "x.hcl", noEnv)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(`"120/min"`, `"3/s"`, `9002`, `9003`, `route "books"`, `route "orders"`).Replace("\n" + good)
	next, err := Parse([]byte(text), "x.hcl", noEnv)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{`pool "boxes" changed`, `route "books" went`, `route "orders" came`, `route "pays" changed`}
	if got := old.Compare(next); !slices.Equal(got, want) {
		t.Errorf("%q", got)
	}
	if got := old.Compare(old); len(got) != 0 {
		t.Errorf("of itself: %q", got)
	}
}

// A file that passes the checker keeps the rules, whatever its attributes were.
func TestWhatPassesKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := []string{"", "100ms", "1s", "2s", "5s", "20s"}
		var policy strings.Builder
		for _, name := range []string{"client_waits", "request_timeout", "attempt_timeout"} {
			if v := rapid.SampledFrom(times).Draw(t, name); v != "" {
				policy.WriteString(name + " = \"" + v + "\"\n")
			}
		}
		if v := rapid.SampledFrom([]string{"", "1", "2", "4"}).Draw(t, "attempts"); v != "" {
			policy.WriteString("attempts = " + v + "\n")
		}
		if v := rapid.SampledFrom([]string{"", "not_run", "after_run"}).Draw(t, "retry"); v != "" {
			policy.WriteString("retry = \"" + v + "\"\n")
		}
		if v := rapid.SampledFrom(times).Draw(t, "copy"); v != "" {
			policy.WriteString("second_copy {\n after = \"" + v + "\"\n}\n")
		}
		text := strings.Replace(good, "queue = 0", policy.String(), 1)
		text = strings.Replace(text, "class = \"pay\"", "class = \""+rapid.SampledFrom([]string{"pay", "book", "look"}).Draw(t, "class")+"\"", 1)
		c, err := Parse([]byte(text), "x.hcl", noEnv)
		if err != nil {
			return
		}
		p, class := c.Routes[1].Policy, c.Routes[1].Class
		if class.Repeatability == balancer.NonIdempotent && p.Retry != RetryIfNotRun || class.Repeatability != balancer.Idempotent && (p.HedgeAfter > 0 || p.HedgePercentile > 0) {
			t.Fatalf("could run twice: %+v", c.Routes[1])
		}
		if p.RequestTimeout > p.ClientTimeout || time.Duration(p.MaxAttempts)*p.AttemptTimeout > p.RequestTimeout || p.HedgeAfter >= p.RequestTimeout {
			t.Fatalf("does not add up: %+v", p)
		}
	})
}

// Whatever the text, there is a configuration or an error that names a place, and never neither.
func FuzzParse(f *testing.F) {
	f.Add(good)
	if text, err := os.ReadFile("../../deploy/rowancart.hcl"); err == nil {
		f.Add(string(text))
	}
	f.Add("pool \"a\" {\n roster \"static\" {\n endpoint \"x\" {\n address = env(null)\n}}}")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse([]byte(text), "x.hcl", noEnv)
		if (c == nil) == (err == nil) {
			t.Fatalf("%v and %v", c, err)
		}
		if err != nil {
			for line := range strings.Lines(err.Error()) {
				if !strings.HasPrefix(line, "x.hcl:") {
					t.Errorf("no place: %q", line)
				}
			}
		}
	})
}
