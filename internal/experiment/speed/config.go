package speed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"rowancart/internal/platform"
)

// sidecarConfig returns the text of the sidecar's configuration file. The reverse proxy reads such
// a file too.
func sidecarConfig(o Options, a addresses) ([]byte, error) {
	return json.Marshal(platform.ConfigFile{
		Name:      "speed",
		Listen:    a.listen,
		Discovery: a.discovery,
		Seed:      "1",
		Limits: platform.ConfigLimits{
			Cores:    float64(o.Cores),
			MemoryMB: sidecarMemoryMB,
			Sockets:  sidecarSockets + 2*o.IdleConnections,
		},
		KnownEndpoints: platform.CompleteList(1, listedEndpoints(a.servers)...),
		Settings:       sidecarSettings(),
	})
}

// Resource limits of the sidecar.
const (
	sidecarMemoryMB = 192
	sidecarSockets  = 4096 // in addition to two for each idle connection
)

// listedEndpoints returns the servers as entries of an endpoint list.
func listedEndpoints(servers []string) []platform.Endpoint {
	var endpoints []platform.Endpoint
	for i, server := range servers {
		endpoints = append(endpoints, platform.Endpoint{
			ID:     "box-" + strconv.Itoa(i),
			Addr:   server,
			Kind:   "box",
			State:  platform.StateReady,
			Weight: platform.WriteOnly[float64]{Value: 1},
		})
	}
	return endpoints
}

// sidecarSettings returns the settings in the sidecar's configuration.
func sidecarSettings() platform.SettingsObject {
	const (
		latencyObjective = time.Second
		connIdle         = 30 * time.Second
	)
	return platform.SettingsObject{
		Classes: []platform.ClassSettings{
			{Name: "get", Idempotency: platform.Idempotent,
				LatencyObjectiveUs: latencyObjective.Microseconds()},
			{Name: "post", Idempotency: platform.NonIdempotent,
				LatencyObjectiveUs: latencyObjective.Microseconds()},
		},
		Permissions: platform.Permissions{ConnIdleUs: connIdle.Microseconds(), MaxAttempts: 3, CancelAllowed: true},
	}
}

// daemonConfig returns the text of the daemon's configuration file.
func daemonConfig(o Options, addr string, servers []string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "listener \"front\" {\n  address = %q\n}\nlimits {\n  connections = %d\n}\n", addr,
		1024+o.IdleConnections)
	b.WriteString("class \"get\" {\n  effect = \"safe\"\n}\nclass \"post\" {\n  effect = \"unsafe\"\n}\n" +
		"pool \"boxes\" {\n  connections = 2048\n  connection_idle = \"30s\"\n  roster \"static\" {\n")
	for i, server := range servers {
		fmt.Fprintf(&b, "    endpoint \"box-%d\" {\n      address = %q\n      kind = \"box\"\n    }\n", i, server)
	}
	b.WriteString("  }\n}\n")
	for _, class := range []string{"get", "post"} {
		fmt.Fprintf(&b, "route %q {\n  path = \"/%s/*\"\n  class = %q\n  pool = \"boxes\"\n}\n", class, class, class)
	}
	return b.Bytes()
}
