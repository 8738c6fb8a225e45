package main

import (
	"net"
	"os"
	"rowancart/internal/testpeer"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"rowancart": func() { os.Exit(run(os.Args[1:])) }})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Cmds: map[string]func(*testscript.TestScript, bool, []string){
		// waitfor waits until a unix socket takes connections.
		"waitfor": func(ts *testscript.TestScript, _ bool, args []string) {
			testpeer.Until(t, args[0]+" takes connections", func() bool {
				nc, err := net.Dial("unix", ts.MkAbs(args[0]))
				if err == nil {
					nc.Close()
				}
				return err == nil
			})
		},
	}})
}
