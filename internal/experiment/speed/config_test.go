package speed

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"rowancart/internal/config"
	"rowancart/internal/platform"
	"rowancart/internal/sidecar"
)

var testAddresses = addresses{
	listen:    "127.0.0.1:1",
	discovery: "127.0.0.1:2",
	servers:   []string{"127.0.0.1:3", "127.0.0.1:4"},
}

func TestSidecarAcceptsItsConfig(t *testing.T) {
	text, err := sidecarConfig(Options{Cores: 2, IdleConnections: 100}, testAddresses)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, err := sidecar.LoadConfig(func(name string) string {
		if name == platform.EnvConfig {
			return path
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	if loaded.Limits != (sidecar.Limits{Cores: 2, MemoryMB: 192, Sockets: 4296}) {
		t.Errorf("limits are %+v, want 2 cores, 192 MB and 4296 sockets", loaded.Limits)
	}
	if endpoints := loaded.KnownEndpoints.Endpoints; len(endpoints) != 2 || endpoints[1].Addr != "127.0.0.1:4" {
		t.Errorf("known endpoints are %+v, want both servers", endpoints)
	}
	if s := loaded.Settings; len(s.Classes) != 2 || s.MaxAttempts != 3 || !s.CancelAllowed {
		t.Errorf("settings are %+v, want 2 classes, 3 attempts and cancellation allowed", s)
	}
}

func TestDaemonAcceptsItsConfig(t *testing.T) {
	text := daemonConfig(Options{IdleConnections: 100}, testAddresses.listen, testAddresses.servers)
	c, err := config.Parse(text, "speed.hcl", func(string) (string, bool) { return "", false })
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Warnings) > 0 || c.Limits.MaxConns != 1124 || len(c.Routes) != 2 {
		t.Errorf("configuration is %+v, want no warnings, 1124 connections and 2 routes", c)
	}
	if list := c.Pools[0].Source.Static; len(list) != 2 || list[1].Address != "127.0.0.1:4" {
		t.Errorf("endpoints are %+v, want both servers", list)
	}
}

func TestCommandsOfPrograms(t *testing.T) {
	o := Options{Self: "/bin/rowancart", Sidecar: "/bin/sidecar", Dir: "/d"}
	for _, c := range []struct {
		program    string
		args, env  []string
		configPath string
	}{
		{sidecarProgram, []string{"/bin/sidecar"},
			[]string{platform.EnvConfig + "=/d/tuliprock.json"}, "/d/tuliprock.json"},
		{reverseProxyProgram, []string{"/bin/rowancart", "lab", "reverse-proxy"},
			[]string{platform.EnvConfig + "=/d/reverse_proxy.json"}, "/d/reverse_proxy.json"},
		{daemonProgram, []string{"/bin/rowancart", "serve", "/d/daemon.hcl"}, nil, "/d/daemon.hcl"},
		{fastHTTPProgram,
			[]string{"/bin/rowancart", "lab", "fasthttp", "127.0.0.1:1", "127.0.0.1:3", "127.0.0.1:4"}, nil, ""},
	} {
		t.Run(c.program, func(t *testing.T) {
			got, err := newCommand(o, c.program, testAddresses)
			if err != nil {
				t.Fatal(err)
			}
			if !slices.Equal(got.args, c.args) || !slices.Equal(got.env, c.env) || got.configPath != c.configPath {
				t.Errorf("got arguments %q, environment %q and configuration path %q", got.args, got.env, got.configPath)
			}
			if (got.config == nil) != (c.configPath == "") {
				t.Errorf("configuration is %q for the path %q, want both or neither", got.config, got.configPath)
			}
		})
	}
	_, err := newCommand(o, "nginx", testAddresses)
	const want = `program "nginx" is not one of tuliprock, daemon, reverse_proxy, fasthttp`
	if err == nil || err.Error() != want {
		t.Errorf("unknown program: got error %v", err)
	}
}
