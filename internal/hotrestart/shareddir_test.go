package hotrestart

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestDisabledEndpointsAreStoredByID(t *testing.T) {
	dir := openSharedDir(t)
	longest := strings.Repeat("y", maxDisabledIDBytes)
	for _, id := range []string{"s-1", "../x", "s-1", longest} {
		if err := dir.Disable(id); err != nil {
			t.Fatal(err)
		}
	}
	if err := dir.Disable(longest + "y"); !errors.Is(err, ErrIDTooLong) {
		t.Errorf("an ID that is too long: %v", err)
	}
	for range 2 { // enabling twice is not an error
		if err := dir.Enable("s-1"); err != nil {
			t.Error(err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir.path, disabledDir, "zz"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	reopened := &SharedDir{path: dir.path}
	disabled, err := reopened.Disabled()
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(disabled.IDs)
	if want := []string{"../x", longest}; !slices.Equal(disabled.IDs, want) {
		t.Errorf("disabled endpoints %q, want %q", disabled.IDs, want)
	}
	if want := []string{"zz"}; !slices.Equal(disabled.ForeignFiles, want) {
		t.Errorf("foreign files %q, want %q", disabled.ForeignFiles, want)
	}
	if err := os.RemoveAll(dir.path); err != nil {
		t.Fatal(err)
	}
	if _, err := dir.Disabled(); err == nil {
		t.Error("Disabled returned no error for a directory that does not exist")
	}
}
