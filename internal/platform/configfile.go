package platform

// ConfigFile is the JSON form of a sidecar's configuration file, for those that write one.
type ConfigFile struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`            // host:port on which clients connect
	Discovery string         `json:"discovery"`         // host:port of discovery
	AdminAddr string         `json:"console,omitempty"` // host:port on which operators connect
	Seed      string         `json:"seed"`              // hexadecimal
	Limits    ConfigLimits   `json:"limits"`
	Known     EndpointList   `json:"known,omitzero"` // the latest list that the platform had
	Settings  SettingsObject `json:"settings"`
}

// ConfigLimits are the limits in a ConfigFile; 0 stands for no limit.
type ConfigLimits struct {
	Cores    float64 `json:"cores,omitempty"`
	MemoryMB int     `json:"memory_mb,omitempty"`
	Sockets  int     `json:"sockets,omitempty"`
}
