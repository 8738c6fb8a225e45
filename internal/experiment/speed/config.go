package speed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"rowancart/internal/platform"
)

// sidecarConfig returns the configuration of a program that serves as DEPLOY describes.
func sidecarConfig(o Options, addr, discoveryAddr string, servers []string) ([]byte, error) {
	return json.Marshal(platform.ConfigFile{
		Name:      "speed",
		Listen:    addr,
		Discovery: discoveryAddr,
		Seed:      "1",
		Limits: platform.ConfigLimits{
			Cores:    float64(o.Cores),
			MemoryMB: sidecarMemoryMB,
			Sockets:  sidecarSockets + 2*o.IdleConnections,
		},
		Known:    platform.CompleteList(1, listedEndpoints(servers)...),
		Settings: sidecarSettings(),
	})
}

// Limits of a sidecar. Its sockets are without those for idle connections.
const (
	sidecarMemoryMB = 192
	sidecarSockets  = 4096
)

// listedEndpoints returns the servers as discovery lists them.
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

func sidecarSettings() platform.SettingsObject {
	const latencyObjective, connIdle = time.Second, 30 * time.Second
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

// daemonConfig returns the configuration of the daemon.
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
