package knownred

import (
	"runtime"
	"strings"
	"testing"
)

// otherArchitecture is a supported architecture that this machine doesn't have.
func otherArchitecture() string {
	if runtime.GOARCH == "arm64" {
		return "amd64"
	}
	return "arm64"
}

// Guards against a CI verdict that differs between machines because a test fails on one alone.
func TestEntryIsHeldToItsArchitecture(t *testing.T) {
	failing := failingTest + "\n" + failingSubtest // all tests of the module that fail
	passing := failing + "\n" + entry("./a TestPasses", "go test ./a -run TestPasses", "9")
	for _, c := range []struct {
		name, list, architecture string
		succeeds                 bool
		want                     string
	}{
		{"fails on this one", failing, runtime.GOARCH, true, "known to fail: ./a TestParts/bad"},
		{"passes on this one", passing, runtime.GOARCH, false, "TestPasses passes and must be removed from the list"},
		{"passes on this one, listed for another", passing, otherArchitecture(), true, "ok  \texample/a"},
		{"fails on this one, listed for another", failing, otherArchitecture(), false, "--- FAIL: TestParts/bad"},
		{"an unknown one", failing, "vax", false, "unknown architecture: vax"},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, err := runScript(t, c.list+"architecture: "+c.architecture+"\n") // of the last entry
			if (err == nil) != c.succeeds || !strings.Contains(out, c.want) {
				t.Errorf("error %v, want success %v and output with %q, got\n%s", err, c.succeeds, c.want, out)
			}
		})
	}
}

// Guards against a script that skips nothing, or everything, where all entries are for another
// architecture.
func TestListForAnotherArchitectureSkipsNothing(t *testing.T) {
	out, err := runScript(t, failingTest+"architecture: "+otherArchitecture()+"\n")
	if err == nil || !strings.Contains(out, "--- FAIL: TestFails") {
		t.Errorf("error %v, want the failure of TestFails, got\n%s", err, out)
	}
}
