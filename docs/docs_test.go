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

// Each postmortem has all of its parts, names the tests that guard against its fault, and is linked
// from the list of incidents.
func TestPostmortemsAreCompleteAndLinked(t *testing.T) {
	list, err := os.ReadFile(filepath.Join("incidents", "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	pages := regexp.MustCompile(`\]\(([a-z0-9-]+\.md)\)`).FindAllSubmatch(list, -1)
	files, err := os.ReadDir("incidents")
	if err != nil {
		t.Fatal(err)
	}
	if len(pages) != len(files)-1 { // without the list itself
		t.Errorf("the list links %d pages, and the folder has %d", len(pages), len(files)-1)
	}
	parts := []string{"**Impact.**", "**Cause.**", "**How it was found.**", "**Mend.**", "**Why no earlier test saw it.**"}
	for _, m := range pages {
		name := string(m[1])
		page, err := os.ReadFile(filepath.Join("incidents", name))
		if err != nil {
			t.Error(err)
			continue
		}
		if strings.HasSuffix(name, "-hypotheses.md") {
			continue
		}
		for _, part := range parts {
			if !strings.Contains(string(page), part) {
				t.Errorf("%s has no part %s", name, part)
			}
		}
		requireNamedTestsExist(t, page)
	}
}

// sourceText returns the text of all Go files that are not tests.
func sourceText(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for _, dir := range []string{"../balancer", "../cmd", "../internal"} {
		err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			all.Write(text)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return all.String()
}

// firstCells returns the first cells of the rows of the table in a section of a page.
func firstCells(t *testing.T, page, section string) []string {
	t.Helper()
	_, text, found := strings.Cut(page, "## "+section+"\n")
	if !found {
		t.Fatalf("the page has no section %q", section)
	}
	text, _, _ = strings.Cut(text, "\n## ")
	var cells []string
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| ---") {
			continue
		}
		cells = append(cells, strings.Split(line, "|")[1])
	}
	if len(cells) < 2 {
		t.Fatalf("the section %q has no table", section)
	}
	return cells[1:] // without the heading
}

// The page for engineers on call names log lines, reasons and metrics that the code has. A log line
// is the first argument of a call of a logger, at the level that the page gives.
func TestOnCallPageNamesWhatTheCodeHas(t *testing.T) {
	content, err := os.ReadFile("oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	page, source := string(content), sourceText(t)
	quoted := regexp.MustCompile("`([^`]+)`")
	requireInSource := func(section string, pattern func(name string) string) {
		for _, cell := range firstCells(t, page, section) {
			for _, m := range quoted.FindAllStringSubmatch(cell, -1) {
				if !regexp.MustCompile(pattern(regexp.QuoteMeta(m[1]))).MatchString(source) {
					t.Errorf("%s: the code has no %q", section, m[1])
				}
			}
		}
	}
	requireInSource("Log lines", func(line string) string {
		return `(?i)\blog\.(Info|Warn|Error)\(\s*"` + line + `"`
	})
	requireInSource("Reasons", func(reason string) string { return `Reason = "` + reason + `"` })
	requireInSource("Metrics", func(metric string) string {
		if name, ok := strings.CutPrefix(metric, "sidecar_"); ok { // the prefix is a constant of its own
			return `"` + name + `"`
		}
		return `"` + metric + `"`
	})
	for line := range strings.Lines(page) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 || !regexp.MustCompile(`^ (info|warn|error) $`).MatchString(cells[2]) {
			continue
		}
		message := quoted.FindStringSubmatch(cells[1])[1]
		call := `(?i)\blog\.` + strings.TrimSpace(cells[2]) + `\(\s*"` + regexp.QuoteMeta(message) + `"`
		if !regexp.MustCompile(call).MatchString(source) {
			t.Errorf("%q is not logged at level %s", message, strings.TrimSpace(cells[2]))
		}
	}
}
