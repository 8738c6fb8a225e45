package testbed

import "fmt"

// addressesPerSubnet is how many addresses of a subnet 127.x.y.0/24 are used.
const addressesPerSubnet = 250

// loopbackRange hands out the IP addresses of a loopback range 127.x.0.0/16, each once. No outgoing
// connection uses them, so that a port on one stays free while its program is down.
type loopbackRange struct {
	second int // second byte of the addresses
	used   int
}

// next returns an address with port 0, for a listener.
func (r *loopbackRange) next() string {
	subnet := r.used / addressesPerSubnet
	host := r.used%addressesPerSubnet + 1
	r.used++
	return fmt.Sprintf("127.%d.%d.%d:0", r.second, subnet, host)
}
