package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"rowancart/internal/experiment/speed"
)

func newSpeed() *cobra.Command {
	o := speed.Options{}
	cmd := &cobra.Command{
		Use:   "speed",
		Short: "Measure how fast the programs forward requests, compared with other proxies in one run",
		Long: `Measure how fast the programs forward requests: the platform's sidecar, the daemon,
net/http/httputil's ReverseProxy and fasthttp's LBClient. Each is a process of its own, with
endpoints that respond at once. Results are medians over rounds in which the programs are measured
one after another; on a machine with other load only their ratios are meaningful.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return measureSpeed(cmd, o)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&o.Programs, "programs", speed.Programs, "programs to compare")
	f.IntVar(&o.Servers, "boxes", 12, "number of endpoints, which respond at once")
	f.IntVar(&o.Connections, "connections", 32, "client connections, each with one request at a time")
	f.IntVar(&o.BodySize, "body", 0, "size of the body of a POST request in bytes; 0: GET requests")
	f.IntVar(&o.Cores, "cores", 1, "cores of each program")
	f.IntVar(&o.Rounds, "rounds", 5, "rounds in which each program is measured once, after one for warming up")
	f.DurationVar(&o.SampleTime, "turn", time.Second, "duration of one measurement")
	f.IntVar(&o.IdleConnections, "idle", 0, "additional client connections that send nothing")
	f.StringVar(&o.Sidecar, "sidecar", "",
		"the sidecar program (default: built from the repository of the working directory)")
	return cmd
}

// measureSpeed measures in a temporary directory and prints the results. It builds the sidecar if
// the options have none.
func measureSpeed(cmd *cobra.Command, o speed.Options) error {
	var err error
	o.Self, err = os.Executable()
	if err != nil {
		return err
	}
	o.Dir, err = os.MkdirTemp("", "rowancart-speed")
	if err != nil {
		return err
	}
	defer os.RemoveAll(o.Dir)
	if o.Sidecar == "" {
		o.Sidecar = filepath.Join(o.Dir, "sidecar")
		if err := buildSidecar(cmd, o.Sidecar); err != nil {
			return err
		}
	}
	results, err := speed.Run(cmd.Context(), o)
	if err != nil {
		return err
	}
	return speed.Text(cmd.OutOrStdout(), results)
}

// buildSidecar builds the platform's program from the repository around the working directory.
func buildSidecar(cmd *cobra.Command, path string) error {
	root, err := repository()
	if err != nil {
		return err
	}
	build := exec.CommandContext(cmd.Context(), "go", "build", "-o", path, "./cmd/sidecar")
	build.Dir = root
	build.Stderr = cmd.ErrOrStderr()
	return build.Run()
}

// newFastHTTP returns the command that serves as the baseline on fasthttp.
func newFastHTTP() *cobra.Command {
	return &cobra.Command{
		Use:    "fasthttp LISTEN ENDPOINT...",
		Short:  "Serve as the baseline on fasthttp",
		Hidden: true,
		Args:   cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return speed.ServeFastHTTP(cmd.Context(), args[0], args[1:])
		},
	}
}
