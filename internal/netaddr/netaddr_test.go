package netaddr

import "testing"

func TestCheckNamesTheFieldAndTheProblem(t *testing.T) {
	for addr, want := range map[string]string{
		"":                  "listen: missing",
		"nowhere":           "listen: address nowhere: missing port in address",
		"127.0.0.1:dns":     `listen: port "dns" is not a number up to 65535`,
		"127.0.0.1:65536":   `listen: port "65536" is not a number up to 65535`,
		"127.0.0.1:-1":      `listen: port "-1" is not a number up to 65535`,
		"[::1:1":            "listen: address [::1:1: missing ']' in address",
		"127.0.0.1:65535":   "",
		"[::1]:0":           "",
		"host.example:8080": "",
	} {
		err := Check("listen", addr)
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%q: %q, want %q", addr, got, want)
		}
	}
}
