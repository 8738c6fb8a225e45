package platform

// Environment variables of a sidecar.
const (
	EnvConfig    = "ROUTER_CONFIG"    // path of the configuration file
	EnvName      = "ROUTER_NAME"      // where the file has no "name"
	EnvListen    = "ROUTER_LISTEN"    // where the file has no "listen"
	EnvDiscovery = "ROUTER_DISCOVERY" // where the file has no "discovery"
	EnvAdminAddr = "ROUTER_CONSOLE"   // instead of the file's "console"
	EnvAcceptFD  = "ROUTER_ACCEPT_FD" // descriptor of the inherited listening socket
	EnvSharedDir = "TMPDIR"           // directory that all processes of one sidecar share
)
