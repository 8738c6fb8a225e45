package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// What the page of crossings names has to exist: a test that was renamed or removed must not pass
// for one that guards a crossing.
func TestCrossingsPageNamesExistingTestsAndFiles(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("design", "crossings.md"))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]bool{}
	declared := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
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
	named := regexp.MustCompile("`(Test\\w+)`").FindAllSubmatch(page, -1)
	if len(named) == 0 {
		t.Error("no test is named")
	}
	for _, m := range named {
		if !tests[string(m[1])] {
			t.Errorf("there is no %s", m[1])
		}
	}
	for _, m := range regexp.MustCompile("`([a-z]+/[a-z/]+\\.go)`").FindAllSubmatch(page, -1) {
		if _, err := os.Stat(filepath.Join("..", string(m[1]))); err != nil {
			t.Error(err)
		}
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
