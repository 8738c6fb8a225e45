// Package netaddr checks the addresses in configurations and endpoint lists.
package netaddr

import (
	"fmt"
	"net"
	"strconv"
)

// portBits is the size of a port number.
const portBits = 16

// Check returns nil if an address is host:port with a number for the port. An error begins with the
// name of the field.
func Check(field, addr string) error {
	if addr == "" {
		return fmt.Errorf("%s: missing", field)
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	if _, err := strconv.ParseUint(port, 10, portBits); err != nil {
		return fmt.Errorf("%s: port %q is not a number up to 65535", field, port)
	}
	return nil
}
