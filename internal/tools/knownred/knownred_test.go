package knownred

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// moduleFiles are the files of a module that has a test that passes, a test that fails, and a test
// with one failing subtest.
var moduleFiles = map[string]string{
	"go.mod": "module example\n\ngo 1.26\n",
	"a/a_test.go": `package a

import "testing"

func TestPasses(t *testing.T) {}

func TestFails(t *testing.T) { t.Error("as expected") }

func TestParts(t *testing.T) {
	t.Run("good", func(t *testing.T) {})
	t.Run("bad", func(t *testing.T) { t.Error("as expected") })
}
`,
}

// entry returns one entry of the list of tests that are known to fail.
func entry(test, command, issue string) string {
	return "test: " + test + "\ncommand: " + command + "\nseen: it fails\nissue: " + issue + "\n"
}

var (
	failingTest    = entry("./a TestFails", "go test ./a -run TestFails", "7")
	failingSubtest = entry("./a TestParts/bad", "go test ./a -run TestParts", "8")
)

// runScript runs the script in the test module with a list of known failures. It returns the
// script's output, and an error if the script failed.
func runScript(t *testing.T, list string) (output string, err error) {
	t.Helper()
	script, err := filepath.Abs("../../../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for name, content := range moduleFiles {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "KNOWN-RED.txt"), []byte(list), 0o644); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command("bash", script, "go test ./...")
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}

func TestListedTestsAreSkipped(t *testing.T) {
	out, err := runScript(t, failingTest+"\n"+failingSubtest)
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, want := range []string{
		"known to fail: ./a TestFails: it fails (issue 7; go test ./a -run TestFails)\n",
		"known to fail: ./a TestParts/bad: it fails (issue 8; go test ./a -run TestParts)\n",
		"ok  \texample/a",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
}

func TestScriptFails(t *testing.T) {
	for name, c := range map[string]struct{ list, want string }{
		"a failing test is not listed": {
			failingTest,
			"--- FAIL: TestParts/bad",
		},
		"a listed test passes": {
			entry("./a TestPasses", "go test ./a -run TestPasses", "7"),
			"must be removed from the list",
		},
		"a listed subtest passes": {
			entry("./a TestParts/good", "go test ./a -run TestParts/good", "7"),
			"must be removed from the list",
		},
		"a listed test does not exist": {
			entry("./a TestNone", "go test ./a -run TestNone", "7"),
			"must be a test of ./a and of no other package",
		},
		"a listed package does not exist": {
			entry("./b TestFails", "go test ./a -run TestFails", "7"),
			"must be a test of ./b and of no other package",
		},
		"the command runs another test": {
			entry("./a TestFails", "go test ./a -run TestParts", "7"),
			"did not run, or did not fail",
		},
		"the command is not a test command": {
			entry("./a TestFails", "false", "7"),
			`does not begin with "go test "`,
		},
		"a package is missing": {
			entry("TestFails", "go test ./a -run TestFails", "7"),
			`not of the form "./PACKAGE TEST"`,
		},
		"the issue is not a number": {
			entry("./a TestFails", "go test ./a -run TestFails", "soon"),
			"is not a number: soon",
		},
		"a line is missing": {
			"test: ./a TestFails\nseen: it fails\nissue: 7\n",
			`want a line "command: ..."`,
		},
		"the last entry is incomplete": {
			"test: ./a TestFails\n",
			`want a line "command: ..."`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := runScript(t, c.list)
			if err == nil || !strings.Contains(out, c.want) {
				t.Errorf("error %v, want output with %q, got\n%s", err, c.want, out)
			}
		})
	}
}
