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

// policyFiles are all the files of the decision module that hold a decision.
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

// concern matches the comment with which a file of the module says what it decides.
var concern = regexp.MustCompile(`^package balancer\n\n// [A-Z][a-z]+( [A-Za-z]+)*: `)

// TestModuleFitsItsLimits reads the deploy file as the operators do, and holds each file of the
// module to one concern, which it names, and to a size that can be read at once.
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
		t.Fatal("deploy file has no policy")
	}
	files := strings.Split(string(policy[1]), `", "`)
	if !slices.Equal(files, policyFiles) {
		t.Fatalf("policy names %q, and the files that decide are %q", files, policyFiles)
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
				t.Errorf("%s:%d has %d columns", file, i+1, n)
			}
		}
		head := strings.Join(strings.Split(string(module), "\n")[:6], "\n")
		if file == "balancer/balancer.go" && !strings.Contains(head, "api.go") {
			t.Error("the first lines of the module do not name api.go")
		}
		if !concern.Match(module) {
			t.Errorf("%s does not say at its top what it decides", file)
		}
		if lines < leastLines || lines > mostLines {
			t.Errorf("%s has %d lines, %d to %d are allowed", file, lines, leastLines, mostLines)
		}
	}
}

// The folders of the real sidecar that the deploy file names exist, so that a package that moves
// can't drop out of what the operators read.
func TestNodeNamesExistingFolders(t *testing.T) {
	text, err := os.ReadFile("balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	node := regexp.MustCompile(`(?m)^node = \["([^]]+)"\]$`).FindSubmatch(text)
	if node == nil {
		t.Fatal("deploy file has no node")
	}
	for _, folder := range strings.Split(string(node[1]), `", "`) {
		if info, err := os.Stat(filepath.Join("..", folder)); err != nil || !info.IsDir() {
			t.Errorf("%s is no folder (%v)", folder, err)
		}
	}
}
