package hclfile

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// validFile is the text of a valid experiment file.
const validFile = `experiment "x" {
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

func TestShippedFilesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../../experiments/*.hcl")
	if err != nil || len(paths) < 8 {
		t.Fatalf("found %d experiment files, want at least 8; error: %v", len(paths), err)
	}
	for _, path := range paths {
		points, err := Load(path, nil)
		if err != nil {
			t.Error(err)
			continue
		}
		if want := strings.TrimSuffix(filepath.Base(path), ".hcl"); points[0].Name != want {
			t.Errorf("%s: the experiment is called %q, want the name of the file", path, points[0].Name)
		}
	}
}

// replaceInValid returns validFile with the first occurrence of old replaced.
func replaceInValid(old, replacement string) string {
	if !strings.Contains(validFile, old) {
		panic(fmt.Sprintf("validFile does not contain %q", old))
	}
	return strings.Replace(validFile, old, replacement, 1)
}

// invalidFileCases are invalid files with the complete error message for each.
var invalidFileCases = []struct {
	name string
	text string
	want string
}{
	{"duration without a unit", replaceInValid(`"10ms"`, `10`),
		`x.hcl:7:16: work: must be a duration with its unit, such as "250ms"`},
	{
		"not a duration",
		replaceInValid(`"10ms"`, `"10 parsecs"`),
		`x.hcl:7:16: work: "10 parsecs" is not a duration; examples: "250ms", "2.5s"`,
	},
	{"rate without a unit", replaceInValid(`"5/s"`, `5`),
		`x.hcl:16:10: rate: must be a rate with its unit, such as "50/s"`},
	{
		"rate with an unknown unit",
		replaceInValid(`"5/s"`, `"5/day"`),
		`x.hcl:16:10: rate: "5/day" is not a rate; examples: "50/s", "3000/min"`,
	},
	{
		"aim after deadline",
		replaceInValid(`aim      = "1s"`, `aim      = "3s"`),
		`x.hcl:6:3: class lookup: aim 3s is longer than deadline 2s`,
	},
	{
		"several errors",
		replaceInValid(`"10ms"`, `10`) + "fault \"flood\" {\n  at = \"1s\"\n}\n",
		"x.hcl:7:16: work: must be a duration with its unit, such as \"250ms\"\n" +
			`x.hcl:18:7: fault: "flood" is not one of break_after, break_answer, break_before, crash, deploy, ` +
			`fast_errors, garble_answer, half_peer, huge_peer, kill_sidecar, neighbour, roster_late, ` +
			`roster_move, roster_silent, shared_slow, silent_peer, slow_answer, stall_accept, ` +
			`term_sidecar, vanish`,
	},
	{
		"missing attribute",
		replaceInValid(`    boxes = 2`, ``),
		`x.hcl:11:16: Missing required argument: The argument "boxes" is required, but no definition was found.`,
	},
	{
		"unknown attribute",
		replaceInValid(`boxes = 2`, "boxes = 2\n    colour = 1"),
		`x.hcl:13:5: Unsupported argument: An argument named "colour" is not expected here.`,
	},
	{
		"syntax",
		replaceInValid(`rate = "5/s"`, `rate = `),
		`x.hcl:16:10: Invalid expression: Expected the start of an expression, but found an invalid expression token.`,
	},
	{
		"unknown tier",
		validFile + "fault \"crash\" {\n  at   = \"1s\"\n  tier = \"back\"\n}\n",
		`x.hcl:18:1: fault: tier "back" is not defined in the site block, which must precede the fault`,
	},
	{
		"fraction above 1",
		validFile + "fault \"crash\" {\n  at   = \"1s\"\n  part = 2\n}\n",
		`x.hcl:20:10: part: 2 is not between 0 and 1`,
	},
	{"duplicate arm", validFile + "arm \"a\" {}\narm \"a\" {}\n", `x.hcl:19:1: arm: "a" is defined twice`},
	{
		"policy for an unknown class",
		validFile + "arm \"a\" {\n  class \"nobody\" {}\n}\n",
		`x.hcl:19:3: class: "nobody" is not defined in the site block, which must precede the arm`,
	},
	{
		"unknown policy",
		validFile + "arm \"a\" {\n  policy = \"best\"\n}\n",
		`x.hcl:18:1: policy: "best" is not one of tuliprock, reverse_proxy, random, round_robin, least_outstanding,` +
			` two_choices, peak_ewma`,
	},
	{
		"expectation of an unknown arm",
		validFile + "expect {\n  arm        = \"b\"\n  rules_kept = true\n}\n",
		`x.hcl:18:1: expect: arm "b" is not defined`,
	},
	{"expectation without a requirement", validFile + "expect {}\n",
		`x.hcl:18:1: expect: must set at least one requirement`},
	{
		"missing blocks",
		"experiment \"x\" {\n  question = \"?\"\n  duration = \"1s\"\n}\n",
		"x.hcl:1:1: the file has no block \"site\"\nx.hcl:1:1: the file has no block \"load\"",
	},
	{"duplicate site", validFile + "site {}\n", `x.hcl:18:1: site: already defined at x.hcl:5:1`},
	{
		"sweep of an unknown variable",
		validFile + "sweep \"n\" {\n  values = [1]\n}\n",
		`x.hcl:18:1: sweep: variable "n" is not defined in vars`,
	},
	{
		"fault that needs sockets in virtual time",
		replaceInValid(`"10s"`, "\"10s\"\n  virtual  = true") +
			"fault \"half_peer\" {\n  at = \"1s\"\n}\n",
		`x.hcl:1:1: experiment: fault half_peer cannot be injected in virtual time`,
	},
}

// TestParseReportsEveryError checks that each invalid file produces its errors and no others.
func TestParseReportsEveryError(t *testing.T) {
	for _, c := range invalidFileCases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.text), "x.hcl", nil)
			if err == nil {
				t.Fatal("an invalid file was accepted")
			}
			if err.Error() != c.want {
				t.Errorf("got:\n%v\nwant:\n%s", err, c.want)
			}
		})
	}
}

func TestVariablesAndSweeps(t *testing.T) {
	const varsAndSweep = `vars {
  rate = "7/s"
}
sweep "rate" {
  values = ["8/s", "9/s"]
}
`
	text := replaceInValid(`"5/s"`, "var.rate") + varsAndSweep
	points, err := Parse([]byte(text), "x.hcl", nil)
	if err != nil || len(points) != 2 || points[0].Load.Rate != 8 || points[1].Value != "rate=9/s" {
		t.Errorf("with the sweep: got points %+v, error %v", points, err)
	}
	points, err = Parse([]byte(text), "x.hcl", map[string]string{"rate": "60/min"})
	if err != nil || len(points) != 1 || points[0].Load.Rate != 1 || points[0].Duration != 10*time.Second {
		t.Errorf("with the swept variable set: got points %+v, error %v", points, err)
	}
	_, err = Parse([]byte(text), "x.hcl", map[string]string{"speed": "1"})
	if want := "x.hcl: --set speed: the file has no such variable; it has rate"; err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validFile)
	f.Add(`experiment "x" { question = var.a }` + "\nvars { a = 1 }")
	f.Fuzz(func(t *testing.T, text string) {
		points, err := Parse([]byte(text), "x.hcl", nil)
		if err == nil && len(points) > 0 && (len(points[0].Site.Tiers) == 0 || points[0].Duration <= 0) {
			t.Error("accepted a file without tiers or without a positive duration")
		}
	})
}
