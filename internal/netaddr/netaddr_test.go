package netaddr

import (
	"errors"
	"net"
	"testing"
)

func TestCheckField(t *testing.T) {
	for addr, want := range map[string]string{
		"127.0.0.1:80":    "",
		"[::1]:0":         "",
		"host:65535":      "",
		":8080":           "",
		"":                "listen: missing",
		"host":            "listen: address host: missing port in address",
		"::1:80":          "listen: address ::1:80: too many colons in address",
		"[::1:1":          "listen: address [::1:1: missing ']' in address",
		"host:":           `listen: port "" is not a number up to 65535`,
		"host:http":       `listen: port "http" is not a number up to 65535`,
		"host:65536":      `listen: port "65536" is not a number up to 65535`,
		"host:-1":         `listen: port "-1" is not a number up to 65535`,
		"host:80/healthz": `listen: port "80/healthz" is not a number up to 65535`,
	} {
		t.Run(addr, func(t *testing.T) {
			got := ""
			if err := CheckField("listen", addr); err != nil {
				got = err.Error()
			}
			if got != want {
				t.Errorf("error %q, want %q", got, want)
			}
		})
	}
}

func TestErrorsAreTyped(t *testing.T) {
	if err := CheckField("listen", ""); !errors.Is(err, ErrMissing) {
		t.Errorf("no address: %v", err)
	}
	var addrErr *net.AddrError
	if err := CheckField("listen", "host"); !errors.As(err, &addrErr) {
		t.Errorf("no port: %v", err)
	}
	var portErr *PortError
	if err := CheckField("listen", "host:http"); !errors.As(err, &portErr) || portErr.Port != "http" {
		t.Errorf("a port that is not a number: %v", err)
	}
}
