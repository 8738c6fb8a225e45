package sidecar

import (
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// If the listen address is still in use when the process starts, as may be right after a restart,
// the start succeeds once the address is free.
func TestStartWaitsForItsAddress(t *testing.T) {
	inUse, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("127.0.0.1:0", inUse.Addr().String(), "127.0.0.1:9100", "").Replace(goodConfig)
	c, err := parseConfig([]byte(text), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(300*time.Millisecond, func() { inUse.Close() })
	s, err := Start(c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if s.Addr().String() != c.Listen {
		t.Errorf("the sidecar listens on %v, not on the configured address", s.Addr())
	}
	s.listener.Close()
}
