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

// anyPort is the suffix of an address whose port the kernel chooses. Two listeners on such an
// address get different ports, so they do not conflict.
const anyPort = ":0"

// configFile is the field name in errors that concern the entire configuration file.
const configFile = "config"

// errMissing reports that a required field is missing.
var errMissing = errors.New("missing")

// Config is the configuration of a sidecar.
type Config struct {
	Name            string
	Listen          string // host:port of the listener for clients
	Discovery       string // host:port of the discovery service
	AdminAddr       string // host:port of the admin interface; empty: there is none
	AcceptFD        string // file descriptor of the inherited listening socket; empty: none is inherited
	SharedDirParent string // parent of the shared directory of this sidecar's processes; empty: there is none
	Limits          Limits
	KnownEndpoints  platform.EndpointList // the platform's latest list when the configuration was written
	Settings        platform.Settings
}

// LoadConfig reads the configuration file whose path is in ROUTER_CONFIG. Fields that the file
// lacks are taken from environment variables. Every error is a *platform.FieldError that names the
// invalid field or variable.
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

// parseConfig parses the text of a configuration file; LoadConfig describes the result.
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
		// Predecessor and successor may read the same file, so the environment variable overrides
		// the file's address.
		AdminAddr:       cmp.Or(getenv(platform.EnvAdminAddr), file.AdminAddr),
		AcceptFD:        getenv(platform.EnvAcceptFD),
		SharedDirParent: getenv(platform.EnvSharedDir),
		Limits:          limits.withDefaults(),
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

// parseSettings parses the balancer's settings and their random seed, a hexadecimal number.
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

// parseKnownEndpoints parses the list of known endpoints, which is optional.
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

// validateAddresses returns a *platform.FieldError for the first invalid address.
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
			Err:   fmt.Errorf("%s is also the listen address for clients", c.AdminAddr),
		}
	}
	return nil
}

// hasSameListenAndAdminAddr reports whether the admin interface has the same address as the
// listener for clients.
func (c *Config) hasSameListenAndAdminAddr() bool {
	return c.AdminAddr == c.Listen && !strings.HasSuffix(c.AdminAddr, anyPort)
}
