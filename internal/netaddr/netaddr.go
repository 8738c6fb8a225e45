// Package netaddr checks the addresses in configurations and endpoint lists.
package netaddr

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// errMissing says that there is no address.
var errMissing = errors.New("missing")

// portBits is the size of a port number.
const portBits = 16

// Check is like Validate, but an error begins with the name of the field that holds the address.
func Check(field, addr string) error {
	if err := Validate(addr); err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}

// Validate returns nil if an address is host:port with a number for the port.
func Validate(addr string) error {
	if addr == "" {
		return errMissing
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, portBits); err != nil {
		return fmt.Errorf("port %q is not a number up to 65535", port)
	}
	return nil
}
