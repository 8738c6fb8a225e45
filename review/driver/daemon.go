package main

import (
	"fmt"
	"time"
)

// startDaemon starts the daemon with one listener and the given blocks, and waits until it is
// healthy.
func (e *environment) startDaemon(blocks string) (addr string, err error) {
	if addr, err = freeAddr(); err != nil {
		return "", err
	}
	config, err := e.writeFile("daemon.hcl", fmt.Sprintf(`limits {
  memory      = "192MiB"
  connections = 1024
}
listener "front" {
  address = %q
}
`, addr)+blocks)
	if err != nil {
		return "", err
	}
	if _, err := e.run("daemon", "exec bin/rowancart serve "+config); err != nil {
		return "", err
	}
	return addr, awaitHealthy(addr, 10*time.Second)
}
