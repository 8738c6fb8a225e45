// Package netaddr checks the addresses in configurations and endpoint lists.
package netaddr

import (
	"errors"
	"fmt"
	"net"
	"strconv"
)

// ErrMissing is returned for an empty address.
var ErrMissing = errors.New("missing")

// PortError reports that the port of an address is not a number from 0 to 65535.
type PortError struct{ Port string }

// Error implements error.
func (e *PortError) Error() string {
	return fmt.Sprintf("port %q is not a number up to 65535", e.Port)
}

// portBits is the size of a port number in bits.
const portBits = 16

// Check returns nil if an address has the form host:port with a numeric port. Otherwise it returns
// ErrMissing, a *net.AddrError or a *PortError.
func Check(addr string) error {
	if addr == "" {
		return ErrMissing
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, portBits); err != nil {
		return &PortError{port}
	}
	return nil
}

// CheckField checks the address in a field. Its error begins with the name of the field and wraps
// the error of Check.
func CheckField(field, addr string) error {
	if err := Check(addr); err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}
