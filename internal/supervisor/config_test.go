package supervisor

import (
	"os"
	"path/filepath"
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

// writeConfig writes the configuration file of a fleet and returns its path.
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
		t.Errorf("unexpected configuration %+v", c)
	}
}

func TestLoadConfigNamesThePlaceOfAFault(t *testing.T) {
	for _, c := range []struct{ name, instances, attributes, want string }{
		{"no instances", "0", "", ":2:3: instances: 0 is not between 1 and 1024"},
		{"too many instances", "1025", "", ":2:3: instances: 1025 is not between 1 and 1024"},
		{"backoff that shrinks", "1", "  back_off {\n    first = \"2s\"\n    most = \"1s\"\n  }\n",
			":1:1: back_off: first must be above 0, and most must not be below first"},
		{"no time to stop", "1", "  stop_within = \"0s\"\n",
			":1:1: fleet: ready_within and stop_within must be above 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := writeConfig(t, "fleet {\n  instances = "+c.instances+"\n  config = \"i.hcl\"\n  folder = \"run\"\n"+
				c.attributes+"}\n")
			_, err := LoadConfig(path)
			if want := path + c.want; err == nil || err.Error() != want {
				t.Errorf("got %v, want %s", err, want)
			}
		})
	}
}

func TestLoadConfigRequiresFleetBlock(t *testing.T) {
	path := writeConfig(t, "")
	_, err := LoadConfig(path)
	if want := path + `:1:1: the file has no block "fleet"`; err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}
