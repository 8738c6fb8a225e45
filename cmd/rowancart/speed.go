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
		Short: "Compare how fast the sidecar, the daemon and other proxies forward requests",
		Long: `Compare how fast programs forward requests: the platform's sidecar, the daemon,
net/http/httputil's ReverseProxy and fasthttp's LBClient. Each is a process of its own and forwards
to endpoints that respond at once. Each result is the median over several rounds; in a round the
programs are measured one after another. On a machine with other load only the ratios between the
results are meaningful.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return measureSpeed(cmd, o)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&o.Programs, "programs", speed.Programs, "programs to compare")
	f.IntVar(&o.Servers, "boxes", 12, "number of endpoints, which respond at once")
	f.IntVar(&o.Connections, "connections", 32, "client connections, each with one request in flight at a time")
	f.IntVar(&o.BodySize, "body", 0, "size of the body of a POST request in bytes; 0: GET requests")
	f.IntVar(&o.Cores, "cores", 1, "number of cores that each program may use")
	f.IntVar(&o.Rounds, "rounds", 5, "rounds in which each program is measured once, after a warm-up round")
	f.DurationVar(&o.SampleTime, "turn", time.Second, "duration of one measurement")
	f.IntVar(&o.IdleConnections, "idle", 0, "additional client connections on which nothing is sent")
	f.StringVar(&o.Sidecar, "sidecar", "",
		"path of the sidecar program (default: built from the repository of the working directory)")
	return cmd
}

// measureSpeed measures the programs, with a temporary directory for their files, and prints the
// results. It builds the sidecar unless the options have the path of one.
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

// buildSidecar builds the sidecar, at path, from the repository that holds the working directory.
func buildSidecar(cmd *cobra.Command, path string) error {
	root, err := findRepository()
	if err != nil {
		return err
	}
	build := exec.CommandContext(cmd.Context(), "go", "build", "-o", path, "./cmd/sidecar")
	build.Dir = root
	build.Stderr = cmd.ErrOrStderr()
	return build.Run()
}

// newFastHTTP returns the command that runs the baseline proxy built on fasthttp.
func newFastHTTP() *cobra.Command {
	return &cobra.Command{
		Use:    "fasthttp LISTEN ENDPOINT...",
		Short:  "Run the baseline proxy that is built on fasthttp",
		Hidden: true,
		Args:   cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return speed.ServeFastHTTP(cmd.Context(), args[0], args[1:])
		},
	}
}
