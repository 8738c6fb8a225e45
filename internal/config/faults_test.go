package config

import (
	"fmt"
	"strings"
	"testing"
)

// replaceInValid returns validConfig with the first occurrence of old replaced by new.
func replaceInValid(old, new string) string {
	if !strings.Contains(validConfig, old) {
		panic(fmt.Sprintf("validConfig does not contain %q", old))
	}
	return strings.Replace(validConfig, old, new, 1)
}

// withLooksPolicy returns validConfig with these attributes in a policy block of the route looks.
func withLooksPolicy(policy string) string {
	return replaceInValid("  class = \"look\"\n", "  class = \"look\"\n  policy {\n    "+policy+"\n  }\n")
}

// withPaysPolicy returns validConfig with these attributes in the policy block of the route pays.
func withPaysPolicy(policy string) string { return replaceInValid("queue = 0", policy) }

// invalidFiles lists invalid files with the complete error message for each.
var invalidFiles = []struct{ name, text, want string }{
	{"hedging of an unsafe class", withPaysPolicy("second_copy {\n after = \"1s\"\n}"),
		`x.hcl:44:5: second_copy: route "pays" is of class "pay", which is unsafe: a hedged request could run twice`},
	{
		"hedging of a keyed class",
		replaceInValid(
			`  class   = "book"`,
			"  class   = \"book\"\n  policy {\n    second_copy {\n      percentile = 95\n    }\n  }",
		),
		`x.hcl:53:5: second_copy: route "books" is of class "book", which is keyed: a hedged request could run twice`,
	},
	{"retry after a run of an unsafe class", withPaysPolicy(`retry = "after_run"`),
		`x.hcl:44:5: retry: route "pays" is of class "pay", which is unsafe: ` +
			`a retry after a run could run the request twice`},
	{"all attempts together longer than the request", withLooksPolicy("attempt_timeout = \"2s\""),
		`x.hcl:38:5: attempt_timeout: 3 attempts of 2s add up to 6s, but a request of route "looks" may take 5s`},
	{"attempt longer than the request", withLooksPolicy("request_timeout = \"900ms\""),
		`x.hcl:18:3: attempt_timeout: 1s is longer than a request of route "looks" may take: 900ms`},
	{"request longer than clients wait", withLooksPolicy("request_timeout = \"6s\""),
		`x.hcl:38:5: request_timeout: 6s is longer than clients of route "looks" wait: 5s`},
	{"hedging after the attempt", withLooksPolicy("second_copy {\n after = \"1s\"\n}"),
		`x.hcl:38:5: second_copy: after 1s the first attempt of a request of route "looks" has already timed out`},
	{"hedging with one attempt", withLooksPolicy("attempts = 1"),
		`x.hcl:20:3: second_copy: needs at least 2 attempts, but route "looks" allows 1`},
	{"hedging without a delay", withLooksPolicy("second_copy {}"),
		`x.hcl:38:5: second_copy: must set after or percentile`},
	{"percentile out of range", withLooksPolicy("second_copy {\n percentile = 20\n}"),
		`x.hcl:39:2: percentile: is 20, but must be at least 50 and below 100`},
	{"attempts and rate of 0", withLooksPolicy("attempts = 0\n    rate = \"0/s\""),
		`x.hcl:38:5: attempts: 0 is not a positive number
x.hcl:39:5: rate: 0/s is not a positive rate`},
	{
		"limits of a tenant above those of the route",
		withLooksPolicy("concurrency = 5\n    tenant_concurrency = 6\n    rate = \"1/s\"\n    tenant_rate = \"2/s\""),
		`x.hcl:39:5: tenant_concurrency: 6 is above the limit of route "looks" for all tenants together: 5
x.hcl:41:5: tenant_rate: 2/s is above the limit of route "looks" for all tenants together: 1/s`,
	},
	{
		"burst without a rate",
		withLooksPolicy("burst = 5"),
		`x.hcl:38:5: burst: requires the corresponding rate, which the policy of route "looks" does not set`,
	},
	{"duration without a unit", withLooksPolicy("request_timeout = 3"),
		`x.hcl:38:23: request_timeout: must be a duration with its unit, such as "250ms"`},
	{"rate without a unit", withPaysPolicy("tenant_rate = 3"),
		`x.hcl:44:19: tenant_rate: must be a rate with its unit, such as "50/s"`},
	{"size without a unit", validConfig + "limits {\n  memory = 64\n}\n",
		`x.hcl:55:12: memory: must be a size with its unit, such as "128MiB"`},
	{
		"unknown retry mode",
		withLooksPolicy(`retry = "always"`),
		`x.hcl:38:5: retry: "always" is not one of not_run, after_run`,
	},
	{"route without a pool", replaceInValid(`  pool  = "servers"`, ``),
		`x.hcl:34:15: Missing required argument: The argument "pool" is required, but no definition was found.`},
	{"unknown pool", replaceInValid(`  pool  = "servers"`, `  pool = "other"`), `x.hcl:37:3: pool "other" is not defined`},
	{"unknown class", replaceInValid(`class = "look"`, `class = "watch"`), `x.hcl:36:3: class "watch" is not defined`},
	{
		"unknown policy",
		replaceInValid(`policy = "quick"`, `policy = "quicker"`),
		`x.hcl:6:3: policy "quicker" is not defined`,
	},
	{"unknown listener", replaceInValid(`  class = "look"`, "  class = \"look\"\n  listeners = [\"back\"]"),
		`x.hcl:37:3: listener "back" is not defined`},
	{"unknown attribute", withLooksPolicy("retries = 3"),
		`x.hcl:38:5: Unsupported argument: An argument named "retries" is not expected here.`},
	{"overlapping routes", replaceInValid(`"/pay"`, `"/look/*"`),
		`x.hcl:39:1: route "pays" overlaps route "looks", defined at x.hcl:34:1: ` +
			`some requests match both, and neither is more specific`},
	{"dot segment in a path", replaceInValid(`"/pay"`, `"/look/../pay"`), `x.hcl:40:3: path: a dot segment`},
	{"star inside a path", replaceInValid(`"/pay"`, `"/*/pay"`),
		`x.hcl:40:3: path: "/*/pay" contains "*" in a place other than a final "/*"`},
	{"host in upper case", replaceInValid(`  path  = "/pay"`, `  host  = "Pay.example"`),
		`x.hcl:40:3: host: "Pay.example" is neither a lower-case host name nor a pattern such as "*.example"`},
	{"method that is not forwarded", replaceInValid(`["POST"]`, `["CONNECT"]`),
		`x.hcl:50:3: methods: "CONNECT" is not one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS`},
	{"two listeners at one address", validConfig + "listener \"back\" {\n  address = \"127.0.0.1:8080\"\n}\n",
		`x.hcl:55:3: address: 127.0.0.1:8080 is already in use at x.hcl:2:3`},
	{"endpoint at a listener's address", replaceInValid(`"127.0.0.1:9002"`, `"127.0.0.1:8080"`),
		`x.hcl:30:7: address: 127.0.0.1:8080 is a listen address of this process, set at x.hcl:2:3`},
	{"duplicate endpoint id", replaceInValid(`endpoint "b"`, `endpoint "a"`),
		`x.hcl:29:5: endpoint: "a" is already in use at x.hcl:26:5`},
	{"duplicate endpoint address", replaceInValid(`"127.0.0.1:9002"`, `"127.0.0.1:9001"`),
		`x.hcl:30:7: address: "127.0.0.1:9001" is already in use at x.hcl:27:7`},
	{"address without a port", replaceInValid(`"127.0.0.1:9002"`, `"servers"`),
		`x.hcl:30:7: address: "servers" is not host:port: address servers: missing port in address`},
	{"pool without a roster", validConfig + "pool \"more\" {\n}\n", `x.hcl:54:1: pool "more" has no roster`},
	{"unknown roster", validConfig + "pool \"more\" {\n  roster \"dns\" {}\n}\n",
		`x.hcl:55:3: roster: "dns" is not one of static, file, platform`},
	{"duplicate class", validConfig + "class \"pay\" {\n  effect = \"safe\"\n}\n",
		`x.hcl:54:1: class "pay": already defined at x.hcl:13:1`},
	{"keyed class without a window", replaceInValid("  window = \"10s\"\n", ""),
		`x.hcl:8:1: class "book": a keyed class needs a window above 0s, during which endpoints drop duplicates of a key`},
	{"safe class with a window", replaceInValid("  effect = \"safe\"\n", "  effect = \"safe\"\n  window = \"1s\"\n"),
		`x.hcl:6:3: window: class "look" is safe, but endpoints drop duplicates of keyed classes only`},
	{
		"unknown effect",
		replaceInValid(`"unsafe"`, `"harmful"`),
		`x.hcl:14:3: effect: "harmful" is not one of safe, keyed, unsafe`,
	},
	{"limits below their minimum", validConfig +
		"limits {\n  memory = \"16MiB\"\n  connections = 3\n  stop_within = \"1ms\"\n}\n",
		`x.hcl:55:3: memory: the process needs at least 32MiB
x.hcl:56:3: connections: the process needs at least 16
x.hcl:57:3: stop_within: 1ms leaves no time to notify clients; the minimum is 1s`},
	{"more connections than memory for them", validConfig + "limits {\n  memory = \"64MiB\"\n  connections = 10000\n}\n",
		`x.hcl:54:1: limits: 10000 connections need 137MiB, but memory is 64MiB`},
	{"pool with too few connections", replaceInValid("pool \"servers\" {\n", "pool \"servers\" {\n  connections = 1\n"),
		`x.hcl:25:3: connections: a pool needs at least 4`},
	{
		"retry budget that allows no retry",
		replaceInValid("pool \"servers\" {\n",
			"pool \"servers\" {\n  retry_budget {\n    share = 0.1\n    most = 0.5\n  }\n"),
		`x.hcl:27:5: most: 0.5 allows no retry; the minimum is 1`,
	},
	{"admin interface not on loopback", validConfig + "admin {\n  listen = \"0.0.0.0:9901\"\n}\n",
		`x.hcl:55:3: listen: 0.0.0.0:9901 is not a loopback address, and the admin interface has no authentication`},
	{"state without a path", validConfig + "state {\n  path = \"\"\n}\n", `x.hcl:55:3: path: must not be empty`},
	{"snapshots too often", validConfig + "state {\n  path = \"s\"\n  every = \"10ms\"\n}\n",
		`x.hcl:56:3: every: 10ms is below the minimum of 1s: the learned state does not change faster`},
	{
		"snapshots never fresh",
		validConfig + "state {\n  path = \"s\"\n  every = \"5s\"\n  fresh_for = \"4s\"\n}\n",
		`x.hcl:54:1: state: fresh_for is 4s, which is shorter than the time between two snapshots, 5s`,
	},
	{"socket without a path", validConfig + "admin {\n  listen = \"unix:\"\n}\n",
		`x.hcl:55:3: listen: "unix:" must be followed by a path`},
	{"pool with two rosters", validConfig + "pool \"more\" {\n  roster \"file\" {\n    path = \"a\"\n  }\n" +
		"  roster \"file\" {\n    path = \"b\"\n  }\n}\n", `x.hcl:58:3: roster: pool "more" already has a roster`},
	{"static roster without endpoints", validConfig + "pool \"more\" {\n  roster \"static\" {}\n}\n",
		`x.hcl:55:3: roster: a static list needs at least one endpoint`},
	{"route with two policies", withLooksPolicy("attempts = 2\n  }\n  policy {\n    attempts = 2"),
		`x.hcl:40:3: policy: route "looks" already has a policy block`},
	{"duplicate header", replaceInValid("  class = \"look\"\n", "  class = \"look\"\n"+
		"  header \"a\" {\n    equals = \"1\"\n  }\n  header \"A\" {\n    equals = \"2\"\n  }\n"),
		`x.hcl:40:3: header: "A" is defined twice`},
	{"timeout of 0", withLooksPolicy("request_timeout = \"0s\""),
		`x.hcl:38:5: request_timeout: 0s is not a positive duration`},
	{"concurrency of 0", withLooksPolicy("concurrency = 0"), `x.hcl:38:5: concurrency: 0 is not a positive number`},
	{"fleet index out of range", validConfig + "fleet {\n  instances = 2\n  index = 2\n}\n",
		`x.hcl:54:1: fleet: index 2 is out of range for 2 instances`},
	{"fleet with a name and an index", validConfig + "fleet {\n  instances = 2\n  index = 1\n  name = \"x\"\n}\n",
		`x.hcl:57:3: name: cannot be combined with index; a name is for instances that have no index`},
	{"subset too small", replaceInValid("pool \"servers\" {\n", "pool \"servers\" {\n  subset = 2\n"),
		`x.hcl:25:3: subset: 2 endpoints are too few to choose from; the minimum is 3`},
	{
		"slow-start share out of range",
		replaceInValid("pool \"servers\" {\n", "pool \"servers\" {\n  warm_up {\n    share = 5\n  }\n"),
		`x.hcl:25:3: warm_up: share is 5, but must be above 0 and at most 4: ` +
			`it scales the share of the traffic that a warming endpoint gets`,
	},
	{"environment variable not set", replaceInValid(`"127.0.0.1:8080"`, `env("FRONT")`),
		`x.hcl:2:18: Invalid function argument: Invalid value for "name" parameter: FRONT is not set.`},
	{"empty file", "", "x.hcl:1:1: the file has no listener\nx.hcl:1:1: the file has no route"},
	{"syntax error", replaceInValid("route \"pays\" {", "route pays {{"),
		`x.hcl:39:13: Argument or block definition required: An argument or block definition is required here.`},
	{
		"several errors",
		strings.NewReplacer(`"/pay"`, `"pay"`, `"10s"`, `10`, `effect = "safe"`, `effect = "sure"`).Replace(validConfig),
		`x.hcl:5:3: effect: "sure" is not one of safe, keyed, unsafe
x.hcl:10:12: window: must be a duration with its unit, such as "250ms"
x.hcl:40:3: path: it must begin with a slash`,
	},
}

func TestParseReportsEveryError(t *testing.T) {
	for _, c := range invalidFiles {
		t.Run(c.name, func(t *testing.T) {
			config, err := Parse([]byte(c.text), "x.hcl", emptyEnv)
			if err == nil {
				t.Fatalf("got %+v for an invalid file, want an error", config)
			}
			if got := err.Error(); got != c.want {
				t.Errorf("\n got %s\nwant %s", got, c.want)
			}
		})
	}
}
