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
		Short: "Measure how fast the programs pass requests on, beside rivals in the same run",
		Long: `Measure how fast the programs pass requests on, beside rivals in the same run: the platform's
sidecar, the daemon, net/http/httputil's ReverseProxy in turns, and fasthttp's LBClient. Each is
a process of its own before boxes that answer at once. Figures are medians over rounds; on a
machine that others use, only their ratios mean something.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return measureSpeed(cmd, o)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&o.Programs, "programs", speed.Programs, "what to compare")
	f.IntVar(&o.Servers, "boxes", 12, "boxes that answer at once")
	f.IntVar(&o.Connections, "connections", 32, "connections of clients, each with one request at a time")
	f.IntVar(&o.BodySize, "body", 0, "bytes that a request posts; 0: a GET")
	f.IntVar(&o.Cores, "cores", 1, "cores of each program")
	f.IntVar(&o.Rounds, "rounds", 5, "rounds in which each program has a turn, after one that warms up")
	f.DurationVar(&o.SampleTime, "turn", time.Second, "time of a turn")
	f.IntVar(&o.IdleConnections, "idle", 0, "further connections of clients that send nothing")
	f.StringVar(&o.Sidecar, "sidecar", "",
		"the platform's program (default: built from the repository around the working folder)")
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
		Short:  "Serve as the rival on fasthttp",
		Hidden: true,
		Args:   cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return speed.ServeFastHTTP(cmd.Context(), args[0], args[1:])
		},
	}
}
