package testbed

import "testing"

func TestLoopbackAddressesAreUsedOnce(t *testing.T) {
	r := loopbackRange{secondByte: 80}
	seen := map[string]bool{}
	for range 3 * addressesPerSubnet {
		addr := r.next()
		if seen[addr] {
			t.Fatalf("%s is allocated twice", addr)
		}
		seen[addr] = true
	}
	for _, addr := range []string{"127.80.0.1:0", "127.80.0.250:0", "127.80.1.1:0", "127.80.2.250:0"} {
		if !seen[addr] {
			t.Errorf("%s is never allocated", addr)
		}
	}
}
