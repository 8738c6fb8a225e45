package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestOnlyADynamicProgramPasses builds the same program statically and dynamically, and checks that
// only the one that needs a dynamic loader is accepted.
func TestOnlyADynamicProgramPasses(t *testing.T) {
	dir := t.TempDir()
	source := filepath.Join(dir, "main.go")
	if err := os.WriteFile(source, []byte("package main\n\nfunc main() {}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for cgo, want := range map[string]string{"0": "is not linked dynamically", "1": ""} {
		program := filepath.Join(dir, "linked"+cgo)
		args := []string{"build", "-o", program, source}
		if cgo == "1" {
			args = []string{"build", "-ldflags=-linkmode=external", "-o", program, source}
		}
		build := exec.Command("go", args...)
		build.Env = append(os.Environ(), "CGO_ENABLED="+cgo)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		err := check(program)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("CGO_ENABLED=%s: error %v, want %q", cgo, err, want)
		}
	}
	if err := check(source); err == nil || !strings.Contains(err.Error(), source) {
		t.Errorf("check of a source file: error %v, want one that names the file", err)
	}
}
