package runner

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"rowancart/internal/experiment/hclfile"
)

var update = flag.Bool("update", false, "overwrite the golden files with the current results")

// excludedExperiments lists files that this test leaves out: the first can be run on sockets only,
// the others take long under the race detector.
var excludedExperiments = []string{"hostile.hcl", "scale.hcl", "overload.hcl", "rig-limit.hcl", "fleet-storm.hcl"}

// shippedExperiments returns the paths of the shipped experiments that are not listed in
// excludedExperiments.
func shippedExperiments(t *testing.T) []string {
	t.Helper()
	var paths []string
	for _, pattern := range []string{"*.hcl", "regret/*.hcl", "growth/*.hcl"} {
		found, err := filepath.Glob(filepath.Join("../../../experiments", pattern))
		if err != nil || len(found) == 0 {
			t.Fatalf("%s: found %d files, want at least 1; error: %v", pattern, len(found), err)
		}
		paths = append(paths, found...)
	}
	return slices.DeleteFunc(paths, func(path string) bool {
		return slices.Contains(excludedExperiments, filepath.Base(path))
	})
}

// virtualTimeReport runs the experiment of a file with seed 1. It returns the report as text,
// followed by the checksum of the JSON report, which holds all digits of the figures.
func virtualTimeReport(t *testing.T, path string) []byte {
	t.Helper()
	points, err := hclfile.Load(path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), points, Options{Virtual: true, Seeds: []uint64{1}})
	if err != nil {
		t.Fatal(err)
	}
	jsonPath := filepath.Join(t.TempDir(), "report.json")
	if err := r.WriteJSON(jsonPath); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(jsonPath)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	r.Text(&text)
	fmt.Fprintf(&text, "\nSHA-256 of the JSON report: %x\n", sha256.Sum256(content))
	return text.Bytes()
}

// In virtual time, the same experiment, seed and program give the same bytes. The golden files were
// recorded before the code was renamed, so they also show that renaming changed no results. They
// may change only when the Balancer's decisions change.
func TestVirtualTimeResultsAreAsRecorded(t *testing.T) {
	for _, path := range shippedExperiments(t) {
		relative := strings.TrimPrefix(filepath.ToSlash(path), "../../../experiments/")
		t.Run(relative, func(t *testing.T) {
			got := virtualTimeReport(t, path)
			golden := filepath.Join("testdata", "virtual", strings.ReplaceAll(relative, "/", "-")+".golden")
			if *update {
				if err := os.WriteFile(golden, got, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, want) {
				t.Errorf("got\n%s\nwant, from the golden file,\n%s", got, want)
			}
		})
	}
}
