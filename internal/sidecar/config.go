package sidecar

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"rowancart/internal/netaddr"
	"rowancart/internal/platform"
)

// anyPort ends an address whose port the kernel chooses: two such addresses are not the same.
const anyPort = ":0"

// Config is the configuration of a sidecar.
type Config struct {
	Name           string
	Listen         string // host:port on which clients connect
	Discovery      string // host:port of discovery
	AdminAddr      string // host:port on which operators connect; empty: there is no admin interface
	AcceptFD       string // descriptor of the inherited listening socket; empty: none was inherited
	SharedDir      string // directory that all processes of this sidecar share; empty: none
	Limits         Limits
	KnownEndpoints platform.EndpointList // the latest list that the platform had
	Settings       platform.Settings
}

// LoadConfig reads the configuration file that ROUTER_CONFIG names. Environment variables fill in
// what the file lacks. An error begins with the name of the field or variable at fault.
func LoadConfig(getenv func(string) string) (Config, error) {
	path := getenv(platform.EnvConfig)
	if path == "" {
		return Config{}, fmt.Errorf("%s: not set", platform.EnvConfig)
	}
	text, err := retryTransient(func() ([]byte, error) { return os.ReadFile(path) })
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", platform.EnvConfig, err)
	}
	return parseConfig(text, getenv)
}

// parseConfig is LoadConfig for the text of a configuration file.
func parseConfig(text []byte, getenv func(string) string) (Config, error) {
	var file struct {
		Name, Listen, Discovery, Seed, Console string
		Limits                                 Limits
		Known, Settings                        json.RawMessage
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	orEnv := func(value, variable string) string {
		if value == "" {
			return getenv(variable)
		}
		return value
	}
	c := Config{
		Name:      orEnv(file.Name, platform.EnvName),
		Listen:    orEnv(file.Listen, platform.EnvListen),
		Discovery: orEnv(file.Discovery, platform.EnvDiscovery),
		// Two processes of one sidecar may read the same file: what this one was started with comes
		// first.
		AdminAddr: cmp.Or(getenv(platform.EnvAdminAddr), file.Console),
		AcceptFD:  getenv(platform.EnvAcceptFD),
		SharedDir: getenv(platform.EnvSharedDir),
		Limits:    file.Limits.withDefaults(),
	}
	if err := c.validateAddresses(); err != nil {
		return c, err
	}
	if err := file.Limits.validate(); err != nil {
		return c, err
	}
	var err error
	if c.Settings, err = parseSettings(file.Settings, file.Seed); err != nil {
		return c, err
	}
	if len(file.Known) > 0 {
		if c.KnownEndpoints, err = platform.ParseEndpointList(file.Known); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// parseSettings parses the balancer's settings and their seed, which is hexadecimal.
func parseSettings(text json.RawMessage, seed string) (platform.Settings, error) {
	if len(text) == 0 {
		return platform.Settings{}, errors.New("settings: missing")
	}
	settings, err := platform.ParseSettings(text)
	if err != nil {
		return platform.Settings{}, fmt.Errorf("settings: %w", err)
	}
	if settings.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		return platform.Settings{}, fmt.Errorf("seed: %w", err)
	}
	return settings, nil
}

// validateAddresses returns an error that names the first address at fault.
func (c *Config) validateAddresses() error {
	if err := netaddr.CheckField("listen", c.Listen); err != nil {
		return err
	}
	if err := netaddr.CheckField("discovery", c.Discovery); err != nil {
		return err
	}
	if c.AdminAddr == "" {
		return nil
	}
	if err := netaddr.CheckField("console", c.AdminAddr); err != nil {
		return err
	}
	if c.AdminAddr == c.Listen && !strings.HasSuffix(c.AdminAddr, anyPort) {
		return fmt.Errorf("console: %s is where clients connect", c.AdminAddr)
	}
	return nil
}
