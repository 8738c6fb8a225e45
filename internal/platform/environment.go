package platform

// Environment variables of a sidecar.
const (
	EnvConfig    = "ROUTER_CONFIG"    // path of the configuration file
	EnvName      = "ROUTER_NAME"      // used if the file has no "name"
	EnvListen    = "ROUTER_LISTEN"    // used if the file has no "listen"
	EnvDiscovery = "ROUTER_DISCOVERY" // used if the file has no "discovery"
	EnvAdminAddr = "ROUTER_CONSOLE"   // overrides "console" in the file
	EnvAcceptFD  = "ROUTER_ACCEPT_FD" // file descriptor of the inherited listening socket
	EnvSharedDir = "TMPDIR"           // parent of the directory that all processes of one sidecar share
)
