package supervisor

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validConfig = `fleet {
  instances = 3
  config = "i.hcl"
  folder = "run"
  back_off {
    first = "1s"
    most = "4s"
  }
}
`

// writeConfig writes a fleet's file and returns its path.
func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.hcl")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadConfig(t *testing.T) {
	path := writeConfig(t, validConfig)
	c, err := LoadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Dir(path)
	if c.Instances != 3 || c.InstanceConfig != filepath.Join(dir, "i.hcl") || c.Folder != filepath.Join(dir, "run") ||
		c.MaxBackoff != 4*c.InitialBackoff {
		t.Errorf("read as %+v", c)
	}
}

func TestLoadConfigNamesThePlaceOfAFault(t *testing.T) {
	path := writeConfig(t, "fleet {\n  instances = 0\n  config = \"i.hcl\"\n  folder = \"run\"\n}\n")
	_, err := LoadConfig(path)
	if err == nil || !strings.HasPrefix(err.Error(), path+":2:") || strings.Count(err.Error(), "\n") != 0 {
		t.Errorf("no instances: %v", err)
	}
}
