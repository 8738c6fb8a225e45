package sidecar

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"rowancart/internal/platform"
)

const goodConfig = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
	"console":"127.0.0.1:9100","limits":{"cores":1.0,"memory_mb":128,"sockets":512},
	"known":{"version":41,"full":true,"servers":[]},
	"settings":{"Permissions":{"ConnIdleUs":30000000,"DialTimeoutUs":200000}}}`

func noEnv(string) string { return "" }

// isFieldError reports whether err is a *platform.FieldError for the field whose text begins with
// the name of the field.
func isFieldError(err error, field string) bool {
	var fieldErr *platform.FieldError
	return errors.As(err, &fieldErr) && fieldErr.Field == field && strings.HasPrefix(err.Error(), field+": ")
}

func TestParseConfig(t *testing.T) {
	c, err := parseConfig([]byte(goodConfig), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Limits != (Limits{1, 128, 512}) || *c.KnownEndpoints.Version != 41 ||
		c.Settings.Seed != 0x8c1f30d27a5be964 || c.Settings.ConnIdle != 30*time.Second ||
		c.Settings.DialTimeout != 200*time.Millisecond {
		t.Errorf("parsed configuration differs from goodConfig: %+v", c)
	}
}

func TestLoadConfigReadsMissingFieldsFromEnvironment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(`{"seed":"1","settings":{},"listen":"127.0.0.1:1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{
		"ROUTER_CONFIG":    path,
		"ROUTER_NAME":      "n1",
		"ROUTER_LISTEN":    "127.0.0.1:2",
		"ROUTER_DISCOVERY": "127.0.0.1:3",
	}
	c, err := LoadConfig(getenvFrom(env))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n1" || c.Listen != "127.0.0.1:1" || c.Discovery != "127.0.0.1:3" ||
		c.Limits != (Limits{1, defaultMemoryMB, defaultSockets}) {
		t.Errorf("the loaded configuration has wrong values: %+v", c)
	}
	for variable, want := range map[string]string{"ROUTER_CONFIG": "ROUTER_CONFIG", "ROUTER_DISCOVERY": "discovery"} {
		incomplete := maps.Clone(env)
		delete(incomplete, variable)
		if _, err := LoadConfig(getenvFrom(incomplete)); !isFieldError(err, want) {
			t.Errorf("without %s: error %v", variable, err)
		}
	}
}

func TestAdminAddressFromEnvironmentOverridesFile(t *testing.T) {
	c, err := parseConfig([]byte(goodConfig), getenvFrom(map[string]string{"ROUTER_CONSOLE": "127.0.0.1:9200"}))
	if err != nil || c.AdminAddr != "127.0.0.1:9200" {
		t.Errorf("the admin address is %q, error %v; want the one from the environment", c.AdminAddr, err)
	}
}

func TestAdminAddressMustDifferFromListenAddress(t *testing.T) {
	const addr = "127.0.0.1:7000"
	text := strings.NewReplacer("127.0.0.1:0", addr, "127.0.0.1:9100", addr).Replace(goodConfig)
	if _, err := parseConfig([]byte(text), noEnv); !isFieldError(err, "console") {
		t.Errorf("error %v, want one for the field console", err)
	}
}

func TestParseConfigErrorNamesTheField(t *testing.T) {
	for field, replaced := range map[string][2]string{
		"config":           {`{"name"`, `{name`},
		"listen":           {`"127.0.0.1:0"`, `"nowhere"`},
		"discovery":        {`"127.0.0.1:8500"`, `"127.0.0.1:dns"`},
		"console":          {`"127.0.0.1:9100"`, `"127.0.0.1:far"`},
		"seed":             {`"8c1f30d27a5be964"`, `"8c1f30d27a5be964g"`},
		"limits.cores":     {`"cores":1.0`, `"cores":-1`},
		"limits.memory_mb": {`"memory_mb":128`, `"memory_mb":1`},
		"limits.sockets":   {`"sockets":512`, `"sockets":3`},
		"known":            {`"version":41,`, ``},
		"settings":         {`{"Permissions"`, `{"Lanes":[{"Name":"x","Semantics":"odd"}],"Permissions"`},
	} {
		text := strings.Replace(goodConfig, replaced[0], replaced[1], 1)
		if text == goodConfig {
			t.Fatalf("%s: the text to replace is not in goodConfig", field)
		}
		_, err := parseConfig([]byte(text), noEnv)
		if !isFieldError(err, field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("invalid %s: error %v, want one line that begins with the field", field, err)
		}
	}
}
