package hclfile

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// good is a file without a fault.
const good = `experiment "x" {
  question = "?"
  duration = "10s"
}
site {
  class "lookup" {
    work     = "10ms"
    aim      = "1s"
    deadline = "2s"
  }
  tier "front" {
    boxes = 2
  }
}
load {
  rate = "5/s"
}
`

func TestShippedFilesAreGood(t *testing.T) {
	paths, err := filepath.Glob("../../../experiments/*.hcl")
	if err != nil || len(paths) < 8 {
		t.Fatalf("%d experiments: %v", len(paths), err)
	}
	for _, path := range paths {
		points, err := Load(path, nil)
		if err != nil {
			t.Error(err)
			continue
		}
		if want := strings.TrimSuffix(filepath.Base(path), ".hcl"); points[0].Name != want {
			t.Errorf("%s is called %q", path, points[0].Name)
		}
	}
}

// replaced returns the text of the good file with a part replaced.
func replaced(old, with string) string { return strings.Replace(good, old, with, 1) }

// badFiles are files with faults, and the error that names all of them with their places.
var badFiles = []struct{ name, text, want string }{
	{"no unit of time", replaced(`"10ms"`, `10`), `x.hcl:7:16: work: a time with its unit, such as "250ms" is wanted`},
	{
		"not a time",
		replaced(`"10ms"`, `"10 parsecs"`),
		`x.hcl:7:16: work: "10 parsecs" is no time; write such as "250ms" or "2.5s"`,
	},
	{"no unit of rate", replaced(`"5/s"`, `5`), `x.hcl:16:10: rate: a rate with its unit, such as "50/s" is wanted`},
	{
		"unknown unit of rate",
		replaced(`"5/s"`, `"5/day"`),
		`x.hcl:16:10: rate: "5/day" is no rate; write such as "50/s" or "3000/min"`,
	},
	{
		"aim after deadline",
		replaced(`aim      = "1s"`, `aim      = "3s"`),
		`x.hcl:6:3: class lookup: the aim of 3s is later than the deadline of 2s`,
	},
	{
		"two faults in one go",
		replaced(`"10ms"`, `10`) + "fault \"flood\" {\n  at = \"1s\"\n}\n",
		"x.hcl:7:16: work: a time with its unit, such as \"250ms\" is wanted\n" +
			`x.hcl:18:7: fault: "flood" is none of break_after, break_answer, break_before, crash, deploy, ` +
			`fast_errors, garble_answer, half_peer, huge_peer, kill_sidecar, neighbour, roster_late, ` +
			`roster_move, roster_silent, shared_slow, silent_peer, slow_answer, stall_accept, ` +
			`term_sidecar, vanish`,
	},
	{
		"missing attribute",
		replaced(`    boxes = 2`, ``),
		`x.hcl:11:16: Missing required argument: The argument "boxes" is required, but no definition was found.`,
	},
	{
		"unknown attribute",
		replaced(`boxes = 2`, "boxes = 2\n    colour = 1"),
		`x.hcl:13:5: Unsupported argument: An argument named "colour" is not expected here.`,
	},
	{
		"syntax",
		replaced(`rate = "5/s"`, `rate = `),
		`x.hcl:16:10: Invalid expression: Expected the start of an expression, but found an invalid expression token.`,
	},
	{
		"unknown tier",
		good + "fault \"crash\" {\n  at   = \"1s\"\n  tier = \"back\"\n}\n",
		`x.hcl:18:1: fault: there is no tier "back" above it in the file`,
	},
	{
		"share over 1",
		good + "fault \"crash\" {\n  at   = \"1s\"\n  part = 2\n}\n",
		`x.hcl:20:10: part: 2 is no share: it is not from 0 to 1`,
	},
	{"same arm twice", good + "arm \"a\" {}\narm \"a\" {}\n", `x.hcl:19:1: arm: there are two called "a"`},
	{
		"policy for no class",
		good + "arm \"a\" {\n  class \"nobody\" {}\n}\n",
		`x.hcl:19:3: class: the site has none called "nobody"; it must stand before the arms`,
	},
	{
		"unknown policy",
		good + "arm \"a\" {\n  policy = \"best\"\n}\n",
		`x.hcl:18:1: policy: "best" is none of tuliprock, reverse_proxy, random, round_robin, least_outstanding,` +
			` two_choices, peak_ewma`,
	},
	{
		"expectation of nobody",
		good + "expect {\n  arm        = \"b\"\n  rules_kept = true\n}\n",
		`x.hcl:18:1: expect: there is no arm "b"`,
	},
	{"expectation of nothing", good + "expect {}\n", `x.hcl:18:1: expect: it asks for nothing`},
	{
		"no site",
		"experiment \"x\" {\n  question = \"?\"\n  duration = \"1s\"\n}\n",
		"x.hcl:1:1: the file has no block \"site\"\nx.hcl:1:1: the file has no block \"load\"",
	},
	{"two sites", good + "site {}\n", `x.hcl:18:1: site: there is one already, at x.hcl:5:1`},
	{
		"sweep of nothing",
		good + "sweep \"n\" {\n  values = [1]\n}\n",
		`x.hcl:18:1: sweep: there is no variable "n" in vars`,
	},
	{
		"sockets only",
		strings.Replace(good, `"10s"`, "\"10s\"\n  virtual  = true", 1) +
			"fault \"half_peer\" {\n  at = \"1s\"\n}\n",
		`x.hcl:1:1: experiment: the fault half_peer needs sockets, and this says virtual`,
	},
}

// TestBadFiles checks that each bad file produces its faults and nothing else.
func TestBadFiles(t *testing.T) {
	for _, c := range badFiles {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.text), "x.hcl", nil)
			if err == nil {
				t.Fatal("accepted")
			}
			if err.Error() != c.want {
				t.Errorf("got:\n%v\nwant:\n%s", err, c.want)
			}
		})
	}
}

func TestVariablesAndSweeps(t *testing.T) {
	text := strings.Replace(
		good,
		`"5/s"`,
		"var.rate",
		1,
	) + "vars {\n  rate = \"7/s\"\n}\nsweep \"rate\" {\n  values = [\"8/s\", \"9/s\"]\n}\n"
	points, err := Parse([]byte(text), "x.hcl", nil)
	if err != nil || len(points) != 2 || points[0].Load.Rate != 8 || points[1].Value != "rate=9/s" {
		t.Errorf("swept: %+v, %v", points, err)
	}
	points, err = Parse([]byte(text), "x.hcl", map[string]string{"rate": "60/min"})
	if err != nil || len(points) != 1 || points[0].Load.Rate != 1 || points[0].Duration != 10*time.Second {
		t.Errorf("set: %+v, %v", points, err)
	}
	_, err = Parse([]byte(text), "x.hcl", map[string]string{"speed": "1"})
	if want := "x.hcl: --set speed: the file has no such variable; it has rate"; err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add(`experiment "x" { question = var.a }` + "\nvars { a = 1 }")
	f.Fuzz(func(t *testing.T, text string) {
		points, err := Parse([]byte(text), "x.hcl", nil)
		if err == nil && len(points) > 0 && (len(points[0].Site.Tiers) == 0 || points[0].Duration <= 0) {
			t.Error("a file that cannot be run was accepted")
		}
	})
}
