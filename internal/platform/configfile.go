package platform

import "encoding/json"

// ConfigFile is the JSON form of a sidecar's configuration file, for programs that write one. The
// sidecar itself reads a RawConfigFile.
type ConfigFile struct {
	Name           string         `json:"name"`
	Listen         string         `json:"listen"`            // host:port on which the sidecar accepts clients
	Discovery      string         `json:"discovery"`         // host:port of endpoint discovery
	AdminAddr      string         `json:"console,omitempty"` // host:port of the admin interface
	Seed           string         `json:"seed"`              // random seed, in hexadecimal
	Limits         ConfigLimits   `json:"limits"`
	KnownEndpoints EndpointList   `json:"known,omitzero"` // the platform's latest list when the file was written
	Settings       SettingsObject `json:"settings"`
}

// ConfigLimits are the resource limits in a ConfigFile. If a limit is 0, the sidecar uses its
// default.
type ConfigLimits struct {
	Cores    float64 `json:"cores,omitempty"`
	MemoryMB int     `json:"memory_mb,omitempty"`
	Sockets  int     `json:"sockets,omitempty"`
}

// RawConfigFile is a ConfigFile as a sidecar reads it, with its endpoint list and its settings not
// decoded yet. ParseEndpointList and ParseSettings decode them, so that an error can name the
// invalid field.
type RawConfigFile struct {
	ConfigFile
	KnownEndpoints json.RawMessage `json:"known"`
	Settings       json.RawMessage `json:"settings"`
}

// Names of the fields of a ConfigFile, for error messages.
const (
	ListenField         = "listen"
	DiscoveryField      = "discovery"
	AdminAddrField      = "console"
	SeedField           = "seed"
	KnownEndpointsField = "known"
	ConfigSettingsField = "settings"
	CoresField          = "limits.cores"
	MemoryMBField       = "limits.memory_mb"
	SocketsField        = "limits.sockets"
)
