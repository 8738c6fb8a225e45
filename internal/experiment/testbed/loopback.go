package testbed

import "fmt"

// addressesPerSubnet is the number of addresses used in each subnet 127.x.y.0/24.
const addressesPerSubnet = 250

// loopbackRange allocates IP addresses from the loopback range 127.x.0.0/16, each of them once. No
// outgoing connection uses these addresses as its source, so a listener's port on one of them stays
// free while its program is down.
type loopbackRange struct {
	secondByte int // the x of 127.x.0.0/16
	used       int // number of addresses allocated
}

// next allocates an IP address and returns it with port 0, for use by a listener.
func (r *loopbackRange) next() string {
	subnet := r.used / addressesPerSubnet
	host := r.used%addressesPerSubnet + 1
	r.used++
	return fmt.Sprintf("127.%d.%d.%d:0", r.secondByte, subnet, host)
}
