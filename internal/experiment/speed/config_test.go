package speed

import (
	"os"
	"path/filepath"
	"testing"

	"rowancart/internal/platform"
	"rowancart/internal/sidecar"
)

func TestSidecarAcceptsItsConfig(t *testing.T) {
	text, err := sidecarConfig(Options{Cores: 2, IdleConnections: 100}, "127.0.0.1:1", "127.0.0.1:2",
		[]string{"127.0.0.1:3", "127.0.0.1:4"})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := sidecar.LoadConfig(func(name string) string {
		if name == platform.EnvConfig {
			return path
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	if config.Limits != (sidecar.Limits{Cores: 2, MemoryMB: 192, Sockets: 4296}) {
		t.Errorf("limits %+v", config.Limits)
	}
	if endpoints := config.KnownEndpoints.Endpoints; len(endpoints) != 2 || endpoints[1].Addr != "127.0.0.1:4" {
		t.Errorf("known endpoints %+v", endpoints)
	}
	if s := config.Settings; len(s.Classes) != 2 || s.MaxAttempts != 3 || !s.CancelAllowed {
		t.Errorf("settings %+v", s)
	}
}
