package main

import (
	"net"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"rowancart/internal/testpeer"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"rowancart": func() { os.Exit(run(os.Args[1:])) }})
}

func TestScripts(t *testing.T) {
	// waitfor SOCKET waits until a unix socket accepts connections.
	waitFor := func(ts *testscript.TestScript, _ bool, args []string) {
		testpeer.WaitUntil(t, args[0]+" accepts connections", func() bool {
			nc, err := net.Dial("unix", ts.MkAbs(args[0]))
			if err == nil {
				nc.Close()
			}
			return err == nil
		})
	}
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"waitfor": waitFor},
	})
}
