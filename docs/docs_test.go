package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// declaredTests returns the names of all tests of the repository.
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	tests := map[string]bool{}
	declared := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range declared.FindAllSubmatch(text, -1) {
			tests[string(m[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return tests
}

// requireNamedTestsExist checks that a page names tests, and that all of them exist.
func requireNamedTestsExist(t *testing.T, page []byte) {
	t.Helper()
	tests := declaredTests(t)
	named := regexp.MustCompile("`(Test\\w+)`").FindAllSubmatch(page, -1)
	if len(named) == 0 {
		t.Error("no test is named")
	}
	for _, m := range named {
		if !tests[string(m[1])] {
			t.Errorf("there is no %s", m[1])
		}
	}
}

// What the page of crossings names has to exist: a test that was renamed or removed must not pass
// for one that guards a crossing.
func TestCrossingsPageNamesExistingTestsAndFiles(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("design", "crossings.md"))
	if err != nil {
		t.Fatal(err)
	}
	requireNamedTestsExist(t, page)
	for _, m := range regexp.MustCompile("`([a-z]+/[a-z/]+\\.go)`").FindAllSubmatch(page, -1) {
		if _, err := os.Stat(filepath.Join("..", string(m[1]))); err != nil {
			t.Error(err)
		}
	}
}

// Each row of the audit has a mark, and the tests that it names exist. Of the rows that could lose,
// repeat or misroute a request, none is left out.
func TestTermsAuditIsMarkedAndNamesExistingTests(t *testing.T) {
	page, err := os.ReadFile("terms-audit.md")
	if err != nil {
		t.Fatal(err)
	}
	requireNamedTestsExist(t, page)
	const columns = 6
	mark := regexp.MustCompile(`^(holds|fixed|open|not reached)\b`)
	text, _, _ := strings.Cut(string(page), "## Faults found")
	gravest, _, found := strings.Cut(text, "## Other clauses")
	rows := 0
	for line := range strings.Lines(text) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if !strings.HasPrefix(line, "| ") || cells[0] == " page " || strings.HasPrefix(cells[0], " ---") {
			continue
		}
		rows++
		if len(cells) != columns || !mark.MatchString(strings.TrimSpace(cells[columns-1])) {
			t.Errorf("no mark: %s", line)
		}
	}
	if rows < 50 || !found {
		t.Errorf("%d rows", rows)
	}
	if strings.Contains(gravest, "| not reached") {
		t.Error("a row that could lose, repeat or misroute a request is not reached")
	}
}

// The packages and files that the architecture page names exist.
func TestArchitecturePageNamesExistingPackages(t *testing.T) {
	page, err := os.ReadFile("architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	paths := regexp.MustCompile("`((?:internal|cmd|deploy)/[a-z0-9_/.]*[a-z0-9])").FindAllSubmatch(page, -1)
	if len(paths) == 0 {
		t.Error("no package is named")
	}
	for _, m := range paths {
		if _, err := os.Stat(filepath.Join("..", string(m[1]))); err != nil {
			t.Error(err)
		}
	}
}
