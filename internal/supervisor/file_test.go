package supervisor

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestAFleetFileIsReadAndItsFaultsAreNamed(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "fleet.hcl")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("fleet {\n  instances = 3\n  config = \"i.hcl\"\n  folder = \"run\"\n  back_off {\n    first = \"1s\"\n    most = \"4s\"\n  }\n}\n")
	f, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if f.Instances != 3 || f.Config != filepath.Join(dir, "i.hcl") || f.Folder != filepath.Join(dir, "run") || f.Most != 4*f.First {
		t.Errorf("read as %+v", f)
	}
	write("fleet {\n  instances = 0\n  config = \"i.hcl\"\n  folder = \"run\"\n}\n")
	if _, err := Load(path); err == nil || !strings.HasPrefix(err.Error(), path+":2:") || strings.Count(err.Error(), "\n") != 0 {
		t.Errorf("no instances: %v", err)
	}
}
