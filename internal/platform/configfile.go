package platform

import "encoding/json"

// ConfigFile is the JSON form of a sidecar's configuration file, for those that write one.
type ConfigFile struct {
	Name           string         `json:"name"`
	Listen         string         `json:"listen"`            // host:port on which clients connect
	Discovery      string         `json:"discovery"`         // host:port of discovery
	AdminAddr      string         `json:"console,omitempty"` // host:port on which operators connect
	Seed           string         `json:"seed"`              // hexadecimal
	Limits         ConfigLimits   `json:"limits"`
	KnownEndpoints EndpointList   `json:"known,omitzero"` // the latest list that the platform had
	Settings       SettingsObject `json:"settings"`
}

// ConfigLimits are the limits in a ConfigFile; 0 stands for no limit.
type ConfigLimits struct {
	Cores    float64 `json:"cores,omitempty"`
	MemoryMB int     `json:"memory_mb,omitempty"`
	Sockets  int     `json:"sockets,omitempty"`
}

// RawConfigFile is a ConfigFile as a sidecar reads it. Its endpoint list and its settings are
// parsed by ParseEndpointList and ParseSettings, so that an error can name the field that it is in.
type RawConfigFile struct {
	ConfigFile
	KnownEndpoints json.RawMessage `json:"known"`
	Settings       json.RawMessage `json:"settings"`
}

// Names of the fields of a ConfigFile, for errors.
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
