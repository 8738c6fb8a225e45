package deploy_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// policyFiles are the files of package balancer that contain load-balancing decisions.
var policyFiles = []string{
	"balancer/balancer.go",
	"balancer/endpoints.go",
	"balancer/subset.go",
	"balancer/selection.go",
	"balancer/slowstart.go",
	"balancer/ejection.go",
	"balancer/straggling.go",
	"balancer/trials.go",
	"balancer/admission.go",
	"balancer/concurrency.go",
	"balancer/retry.go",
	"balancer/hedge.go",
	"balancer/timers.go",
}

// purposeComment matches the comment below the package clause that says what a file decides.
var purposeComment = regexp.MustCompile(`^package balancer\n\n// [A-Z][a-z]+( [A-Za-z]+)*: `)

// TestModuleFitsItsLimits checks that the deploy file has its commands and lists policyFiles, that
// each of these files says at its top what it decides, and that it is small enough to be read as a
// whole.
func TestModuleFitsItsLimits(t *testing.T) {
	const leastLines, mostLines, mostColumns, tab = 20, 220, 110, 4
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"build", "sim"} {
		if !regexp.MustCompile(`(?m)^` + key + ` = "[^"]+"$`).Match(text) {
			t.Errorf("deploy file has no %q command", key)
		}
	}
	policy := regexp.MustCompile(`(?m)^policy = \["([^]]+)"\]$`).FindSubmatch(text)
	if policy == nil {
		t.Fatal("deploy file has no line \"policy = [...]\"")
	}
	files := strings.Split(string(policy[1]), `", "`)
	if !slices.Equal(files, policyFiles) {
		t.Fatalf("policy lists %q, want %q", files, policyFiles)
	}
	for _, file := range files {
		lines := 0
		module, err := os.ReadFile(filepath.Join("..", file))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(module), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", strings.Repeat(" ", tab))); n > mostColumns {
				t.Errorf("%s:%d has %d columns, more than the limit", file, i+1, n)
			}
		}
		head := strings.Join(strings.Split(string(module), "\n")[:6], "\n")
		if file == "balancer/balancer.go" && !strings.Contains(head, "api.go") {
			t.Error("the first 6 lines of balancer/balancer.go do not mention api.go")
		}
		if !purposeComment.Match(module) {
			t.Errorf("%s: no comment below the package clause says what the file decides", file)
		}
		if lines < leastLines || lines > mostLines {
			t.Errorf("%s has %d lines that are not blank, want %d to %d", file, lines, leastLines, mostLines)
		}
	}
}

// The folders of the sidecar's source that the deploy file lists under node exist. Otherwise a
// package that moves would no longer be on the list that operators read.
func TestNodeNamesExistingFolders(t *testing.T) {
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	node := regexp.MustCompile(`(?m)^node = \["([^]]+)"\]$`).FindSubmatch(text)
	if node == nil {
		t.Fatal("deploy file has no line \"node = [...]\"")
	}
	for _, folder := range strings.Split(string(node[1]), `", "`) {
		if info, err := os.Stat(filepath.Join("..", folder)); err != nil || !info.IsDir() {
			t.Errorf("node lists %s, which is not a folder (error: %v)", folder, err)
		}
	}
}
