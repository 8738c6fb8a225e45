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

// configFile stands for the entire configuration file where an error names a field.
const configFile = "config"

// errMissing says that a field is missing.
var errMissing = errors.New("missing")

// Config is the configuration of a sidecar.
type Config struct {
	Name           string
	Listen         string // host:port on which clients connect
	Discovery      string // host:port of discovery
	AdminAddr      string // host:port on which operators connect; empty: there is no admin interface
	AcceptFD       string // file descriptor of the inherited listening socket; empty: none is inherited
	SharedDir      string // parent of the shared directory of this sidecar's processes; empty: there is none
	Limits         Limits
	KnownEndpoints platform.EndpointList // the latest list that the platform had
	Settings       platform.Settings
}

// LoadConfig reads the configuration file that ROUTER_CONFIG names. Environment variables provide
// fields that the file lacks. An error is a *platform.FieldError for the field or variable at
// fault.
func LoadConfig(getenv func(string) string) (Config, error) {
	path := getenv(platform.EnvConfig)
	if path == "" {
		return Config{}, &platform.FieldError{Field: platform.EnvConfig, Err: errors.New("not set")}
	}
	text, err := retryTransient(func() ([]byte, error) { return os.ReadFile(path) })
	if err != nil {
		return Config{}, &platform.FieldError{Field: platform.EnvConfig, Err: err}
	}
	return parseConfig(text, getenv)
}

// parseConfig is LoadConfig for the text of a configuration file.
func parseConfig(text []byte, getenv func(string) string) (Config, error) {
	var file platform.RawConfigFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, &platform.FieldError{Field: configFile, Err: err}
	}
	limits := Limits(file.Limits)
	c := Config{
		Name:      cmp.Or(file.Name, getenv(platform.EnvName)),
		Listen:    cmp.Or(file.Listen, getenv(platform.EnvListen)),
		Discovery: cmp.Or(file.Discovery, getenv(platform.EnvDiscovery)),
		// Predecessor and successor may read the same file: here the environment comes first.
		AdminAddr: cmp.Or(getenv(platform.EnvAdminAddr), file.AdminAddr),
		AcceptFD:  getenv(platform.EnvAcceptFD),
		SharedDir: getenv(platform.EnvSharedDir),
		Limits:    limits.withDefaults(),
	}
	if err := c.validateAddresses(); err != nil {
		return c, err
	}
	if err := limits.validate(); err != nil {
		return c, err
	}
	var err error
	if c.Settings, err = parseSettings(file.Settings, file.Seed); err != nil {
		return c, err
	}
	c.KnownEndpoints, err = parseKnownEndpoints(file.KnownEndpoints)
	return c, err
}

// parseSettings parses the balancer's settings and their seed, which is hexadecimal.
func parseSettings(text json.RawMessage, seed string) (platform.Settings, error) {
	if len(text) == 0 {
		return platform.Settings{}, &platform.FieldError{Field: platform.ConfigSettingsField, Err: errMissing}
	}
	settings, err := platform.ParseSettings(text)
	if err != nil {
		return platform.Settings{}, &platform.FieldError{Field: platform.ConfigSettingsField, Err: err}
	}
	if settings.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		return platform.Settings{}, &platform.FieldError{Field: platform.SeedField, Err: err}
	}
	return settings, nil
}

// parseKnownEndpoints parses the list of known endpoints, which may be missing.
func parseKnownEndpoints(text json.RawMessage) (platform.EndpointList, error) {
	if len(text) == 0 {
		return platform.EndpointList{}, nil
	}
	list, err := platform.ParseEndpointList(text)
	if err != nil {
		return list, &platform.FieldError{Field: platform.KnownEndpointsField, Err: err}
	}
	return list, nil
}

// validateAddresses returns a *platform.FieldError for the first address at fault.
func (c *Config) validateAddresses() error {
	if err := netaddr.Check(c.Listen); err != nil {
		return &platform.FieldError{Field: platform.ListenField, Err: err}
	}
	if err := netaddr.Check(c.Discovery); err != nil {
		return &platform.FieldError{Field: platform.DiscoveryField, Err: err}
	}
	if c.AdminAddr == "" {
		return nil
	}
	if err := netaddr.Check(c.AdminAddr); err != nil {
		return &platform.FieldError{Field: platform.AdminAddrField, Err: err}
	}
	if c.hasSameListenAndAdminAddr() {
		return &platform.FieldError{
			Field: platform.AdminAddrField,
			Err:   fmt.Errorf("%s is where clients connect", c.AdminAddr),
		}
	}
	return nil
}

// hasSameListenAndAdminAddr reports whether clients and operators would connect to one address.
func (c *Config) hasSameListenAndAdminAddr() bool {
	return c.AdminAddr == c.Listen && !strings.HasSuffix(c.AdminAddr, anyPort)
}
