package speed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// sidecarConfig returns the configuration of a program that serves as DEPLOY describes.
func sidecarConfig(o Options, addr, discoveryAddr string, servers []string) []byte {
	type endpoint struct {
		ID    string `json:"id"`
		Addr  string `json:"addr"`
		Kind  string `json:"kind"`
		State string `json:"state"`
	}
	var endpoints []endpoint
	for i, server := range servers {
		endpoints = append(endpoints, endpoint{ID: "box-" + strconv.Itoa(i), Addr: server, Kind: "box", State: "Ready"})
	}
	text, _ := json.Marshal(map[string]any{ // plain values: it cannot fail
		"name": "speed", "listen": addr, "discovery": discoveryAddr, "seed": "1",
		"limits": map[string]any{"cores": o.Cores, "memory_mb": 192, "sockets": 4096 + 2*o.IdleConnections},
		"known":  map[string]any{"version": 1, "full": true, "servers": endpoints},
		"settings": map[string]any{
			"Lanes": []map[string]any{
				{"Name": "get", "Semantics": "read_like", "OnTimeUs": 1000000},
				{"Name": "post", "Semantics": "non_idempotent", "OnTimeUs": 1000000}},
			"Permissions": map[string]any{"ConnIdleUs": 30000000, "TryLimit": 3, "MayCancel": true}},
	})
	return text
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
