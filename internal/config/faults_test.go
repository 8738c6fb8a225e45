package config

import (
	"fmt"
	"strings"
	"testing"
)

// replaceInValid returns validConfig with a part of it replaced.
func replaceInValid(old, new string) string {
	if !strings.Contains(validConfig, old) {
		panic(fmt.Sprintf("the valid file has no %q", old))
	}
	return strings.Replace(validConfig, old, new, 1)
}

// withLooksPolicy returns validConfig with a policy for the route looks.
func withLooksPolicy(policy string) string {
	return replaceInValid("  class = \"look\"\n", "  class = \"look\"\n  policy {\n    "+policy+"\n  }\n")
}

// withPaysPolicy returns validConfig with other attributes in the policy of the route pays.
func withPaysPolicy(policy string) string { return replaceInValid("queue = 0", policy) }

// faultCases are invalid files, and the whole error for each.
var faultCases = []struct{ name, text, want string }{
	{"a second copy of what is unsafe", withPaysPolicy("second_copy {\n after = \"1s\"\n}"),
		`x.hcl:44:5: second_copy: route "pays" is of class "pay", which is unsafe: both copies could run`},
	{
		"a second copy of what is keyed",
		replaceInValid(
			`  class   = "book"`,
			"  class   = \"book\"\n  policy {\n    second_copy {\n      percentile = 95\n    }\n  }",
		),
		`x.hcl:53:5: second_copy: route "books" is of class "book", which is keyed: both copies could run`,
	},
	{"a retry after a run", withPaysPolicy(`retry = "after_run"`),
		`x.hcl:44:5: retry: route "pays" is of class "pay", which is unsafe: after a run, another could run it twice`},
	{"attempts that add up", withLooksPolicy("attempt_timeout = \"2s\""),
		`x.hcl:38:5: attempt_timeout: 3 attempts of 2s add up to 6s, and a request of route "looks" has 5s`},
	{"an attempt longer than the request", withLooksPolicy("request_timeout = \"900ms\""),
		`x.hcl:18:3: attempt_timeout: 1s is longer than a request of route "looks" has: 900ms`},
	{"a request longer than clients wait", withLooksPolicy("request_timeout = \"6s\""),
		`x.hcl:38:5: request_timeout: 6s is longer than clients of route "looks" wait: 5s`},
	{"a copy after the attempt", withLooksPolicy("second_copy {\n after = \"1s\"\n}"),
		`x.hcl:38:5: second_copy: after 1s the first attempt of route "looks" has ended`},
	{"a copy with one attempt", withLooksPolicy("attempts = 1"),
		`x.hcl:20:3: second_copy: it is a second attempt, and route "looks" has 1`},
	{"an empty copy", withLooksPolicy("second_copy {}"),
		`x.hcl:38:5: second_copy: it says neither after what time nor after what percentile`},
	{"a percentile", withLooksPolicy("second_copy {\n percentile = 20\n}"),
		`x.hcl:39:2: percentile: 20 is not from 50 to under 100`},
	{"zeros", withLooksPolicy("attempts = 0\n    rate = \"0/s\""), `x.hcl:38:5: attempts: 0 attempts serve nobody
x.hcl:39:5: rate: at 0 a second nobody is served`},
	{
		"a tenant over all",
		withLooksPolicy("concurrency = 5\n    tenant_concurrency = 6\n    rate = \"1/s\"\n    tenant_rate = \"2/s\""),
		`x.hcl:39:5: tenant_concurrency: 6 is more than all tenants of route "looks" have together: 5
x.hcl:41:5: tenant_rate: 2/s is more than all tenants of route "looks" have together: 1/s`,
	},
	{
		"a burst of nothing",
		withLooksPolicy("burst = 5"),
		`x.hcl:38:5: burst: route "looks" has no rate that it could belong to`,
	},
	{"a bare number for a time", withLooksPolicy("request_timeout = 3"),
		`x.hcl:38:23: request_timeout: a time with its unit, such as "250ms" is wanted`},
	{"a bare number for a rate", withPaysPolicy("tenant_rate = 3"),
		`x.hcl:44:19: tenant_rate: a rate with its unit, such as "50/s" is wanted`},
	{"a bare number for a size", validConfig + "limits {\n  memory = 64\n}\n",
		`x.hcl:55:12: memory: a size with its unit, such as "128MiB" is wanted`},
	{
		"an unknown way to retry",
		withLooksPolicy(`retry = "always"`),
		`x.hcl:38:5: retry: "always" is none of not_run, after_run`,
	},
	{"no pool", replaceInValid(`  pool  = "boxes"`, ``),
		`x.hcl:34:15: Missing required argument: The argument "pool" is required, but no definition was found.`},
	{"an unknown pool", replaceInValid(`  pool  = "boxes"`, `  pool = "boxen"`), `x.hcl:37:3: there is no pool "boxen"`},
	{"an unknown class", replaceInValid(`class = "look"`, `class = "watch"`), `x.hcl:36:3: there is no class "watch"`},
	{
		"an unknown policy",
		replaceInValid(`policy = "quick"`, `policy = "quicker"`),
		`x.hcl:6:3: there is no policy "quicker"`,
	},
	{"an unknown listener", replaceInValid(`  class = "look"`, "  class = \"look\"\n  listeners = [\"back\"]"),
		`x.hcl:37:3: there is no listener "back"`},
	{"an unknown attribute", withLooksPolicy("retries = 3"),
		`x.hcl:38:5: Unsupported argument: An argument named "retries" is not expected here.`},
	{"routes that overlap", replaceInValid(`"/pay"`, `"/look/*"`),
		`x.hcl:39:1: route "pays" overlaps route "looks", at x.hcl:34:1: ` +
			`some requests fit both, and neither is more specific`},
	{"a path of two meanings", replaceInValid(`"/pay"`, `"/look/../pay"`), `x.hcl:40:3: path: a dot segment`},
	{"a star in a path", replaceInValid(`"/pay"`, `"/*/pay"`),
		`x.hcl:40:3: path: "/*/pay" has a star elsewhere than in a last "/*"`},
	{"a host in capitals", replaceInValid(`  path  = "/pay"`, `  host  = "Pay.example"`),
		`x.hcl:40:3: host: "Pay.example" is neither a name in lower case nor such as "*.example"`},
	{"an odd method", replaceInValid(`["POST"]`, `["CONNECT"]`),
		`x.hcl:50:3: methods: "CONNECT" is none of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS`},
	{"an address twice", validConfig + "listener \"back\" {\n  address = \"127.0.0.1:8080\"\n}\n",
		`x.hcl:55:3: address: 127.0.0.1:8080 is in use already, at x.hcl:2:3`},
	{"a loop", replaceInValid(`"127.0.0.1:9002"`, `"127.0.0.1:8080"`),
		`x.hcl:30:7: address: 127.0.0.1:8080 is where this process listens, at x.hcl:2:3`},
	{"an endpoint twice", replaceInValid(`endpoint "b"`, `endpoint "a"`),
		`x.hcl:29:5: endpoint: "a" is in use already, at x.hcl:26:5`},
	{"one address twice in a pool", replaceInValid(`"127.0.0.1:9002"`, `"127.0.0.1:9001"`),
		`x.hcl:30:7: address: "127.0.0.1:9001" is in use already, at x.hcl:27:7`},
	{"no address", replaceInValid(`"127.0.0.1:9002"`, `"boxes"`),
		`x.hcl:30:7: address: "boxes" is no host:port: address boxes: missing port in address`},
	{"no roster", validConfig + "pool \"more\" {\n}\n", `x.hcl:54:1: pool "more" has no roster`},
	{"an unknown roster", validConfig + "pool \"more\" {\n  roster \"dns\" {}\n}\n",
		`x.hcl:55:3: roster: "dns" is none of static, file, platform`},
	{"two of a name", validConfig + "class \"pay\" {\n  effect = \"safe\"\n}\n",
		`x.hcl:54:1: class "pay": there is one already, at x.hcl:13:1`},
	{"keyed without a window", replaceInValid("  window = \"10s\"\n", ""),
		`x.hcl:8:1: class "book": keyed, and no window says for how long repeats are dropped`},
	{"a window for what is safe", replaceInValid("  effect = \"safe\"\n", "  effect = \"safe\"\n  window = \"1s\"\n"),
		`x.hcl:6:3: window: class "look" is safe; repeats are dropped of keyed classes only`},
	{
		"an odd effect",
		replaceInValid(`"unsafe"`, `"harmful"`),
		`x.hcl:14:3: effect: "harmful" is none of safe, keyed, unsafe`,
	},
	{"too little", validConfig + "limits {\n  memory = \"16MiB\"\n  connections = 3\n  stop_within = \"1ms\"\n}\n",
		`x.hcl:55:3: memory: the process needs 32MiB at least
x.hcl:56:3: connections: the process needs 16 at least
x.hcl:57:3: stop_within: 1ms leaves callers no time to hear of it; 1s is the least`},
	{"more connections than memory", validConfig + "limits {\n  memory = \"64MiB\"\n  connections = 10000\n}\n",
		`x.hcl:54:1: limits: 10000 connections need 137MiB, and memory is 64MiB`},
	{"too few connections of a pool", replaceInValid("pool \"boxes\" {\n", "pool \"boxes\" {\n  connections = 1\n"),
		`x.hcl:25:3: connections: a pool needs 4 at least`},
	{
		"a budget that lets nothing through",
		replaceInValid("pool \"boxes\" {\n", "pool \"boxes\" {\n  retry_budget {\n    share = 0.1\n    most = 0.5\n  }\n"),
		`x.hcl:27:5: most: 0.5 never lets a retry through; 1 is the least`,
	},
	{"an open admin listener", validConfig + "admin {\n  listen = \"0.0.0.0:9901\"\n}\n",
		`x.hcl:55:3: listen: 0.0.0.0:9901 is not on loopback, and the admin listener asks nobody who they are`},
	{"no such instance", validConfig + "fleet {\n  instances = 2\n  index = 2\n}\n",
		`x.hcl:54:1: fleet: index 2 is not among 2 instances`},
	{"a name beside an index", validConfig + "fleet {\n  instances = 2\n  index = 1\n  name = \"x\"\n}\n",
		`x.hcl:57:3: name: the index stands already; the name is for instances that know none`},
	{"a small subset", replaceInValid("pool \"boxes\" {\n", "pool \"boxes\" {\n  subset = 2\n"),
		`x.hcl:25:3: subset: 2 leaves too little to choose from; 3 is the least`},
	{
		"too much for a fresh server",
		replaceInValid("pool \"boxes\" {\n", "pool \"boxes\" {\n  warm_up {\n    share = 5\n  }\n"),
		`x.hcl:25:3: warm_up: share 5 is not over 0 and up to 4: it is how much of its warmth's part a fresh server gets`,
	},
	{"an unset variable", replaceInValid(`"127.0.0.1:8080"`, `env("FRONT")`),
		`x.hcl:2:18: Invalid function argument: Invalid value for "name" parameter: FRONT is not set.`},
	{"nothing", "", "x.hcl:1:1: the file has no listener\nx.hcl:1:1: the file has no route"},
	{"syntax", replaceInValid("route \"pays\" {", "route pays {{"),
		`x.hcl:39:13: Argument or block definition required: An argument or block definition is required here.`},
	{
		"all in one go",
		strings.NewReplacer(`"/pay"`, `"pay"`, `"10s"`, `10`, `effect = "safe"`, `effect = "sure"`).Replace(validConfig),
		`x.hcl:5:3: effect: "sure" is none of safe, keyed, unsafe
x.hcl:10:12: window: a time with its unit, such as "250ms" is wanted
x.hcl:40:3: path: it must begin with a slash`,
	},
}

func TestParseReportsEveryFault(t *testing.T) {
	for _, c := range faultCases {
		config, err := Parse([]byte(c.text), "x.hcl", lookupNothing)
		if err == nil {
			t.Errorf("%s: accepted: %+v", c.name, config)
		} else if got := err.Error(); got != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.name, got, c.want)
		}
	}
}
