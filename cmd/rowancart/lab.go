package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"rowancart/internal/experiment/hclfile"
	"rowancart/internal/experiment/report"
	"rowancart/internal/experiment/roundrobin"
	"rowancart/internal/experiment/runner"
	"rowancart/internal/platform"
)

func newLab() *cobra.Command {
	lab := &cobra.Command{Use: "lab", Short: "Play experiments with the balancer before stand-in boxes"}
	lab.AddCommand(newLabRun(), newLabCheck(), newLabList(), newLabCompare(), newSpeed(), newSubsets(), newSearch(),
		newFastHTTP(), newReverseProxy())
	return lab
}

// newReverseProxy returns the command that serves as the baseline of experiments on sockets.
func newReverseProxy() *cobra.Command {
	return &cobra.Command{
		Use:    "reverse-proxy",
		Short:  "Serve as the rival on sockets, as " + platform.EnvConfig + " says",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return roundrobin.Serve(cmd.Context(), os.Getenv(platform.EnvConfig), slog.Default())
		},
	}
}

// errMissed means that a run was complete and did not meet the expectations of its file.
var errMissed = errors.New("the experiment did not bring what its file expects")

// labRunFlags are the flags of lab run.
type labRunFlags struct {
	virtual   bool
	seed      uint64
	variant   string
	set       []string
	jsonFile  string
	reportDir string
	root      string
}

func newLabRun() *cobra.Command {
	var flags labRunFlags
	cmd := &cobra.Command{
		Use:   "run FILE",
		Short: "Play an experiment and report on it",
		Long: `Play an experiment and report on it.

The exit status is 0 if all that the file expects came out, else 1. An interrupt ends every program that was started
and still reports what had been measured.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return flags.run(cmd, args[0]) },
	}
	f := cmd.Flags()
	f.BoolVar(&flags.virtual, "virtual", false, "play in virtual time, or with =false on sockets, whatever the file says")
	f.Uint64Var(&flags.seed, "seed", 0, "play this seed only")
	f.StringVar(&flags.variant, "arm", "", "play this arm only")
	f.StringArrayVar(&flags.set, "set", nil, "give a variable of the file another value: KEY=VALUE")
	f.StringVar(&flags.jsonFile, "json", "", "write the figures to this file")
	f.StringVar(&flags.reportDir, "report", "", "write a page and the figures into this folder")
	f.StringVar(&flags.root, "root", "",
		"the repository whose deploy file starts the sidecar (default: the one around the working folder)")
	return cmd
}

// run runs the experiment of a file and writes the reports.
func (flags *labRunFlags) run(cmd *cobra.Command, path string) error {
	values, err := assignments(flags.set)
	if err != nil {
		return err
	}
	points, err := hclfile.Load(path, values)
	if err != nil {
		return err
	}
	options, err := flags.options(cmd, points[0].Virtual)
	if err != nil {
		return err
	}
	var finish func()
	options.Progress, finish = progress(cmd.ErrOrStderr())
	r, err := runner.Run(cmd.Context(), points, options)
	finish()
	if err != nil {
		return err
	}
	if err := flags.write(cmd.OutOrStdout(), r); err != nil {
		return err
	}
	switch {
	case r.Stopped != "":
		return errors.New(r.Stopped)
	case len(r.Missed) > 0:
		return errMissed
	}
	return nil
}

// options returns how to run; virtual is what the file says.
func (flags *labRunFlags) options(cmd *cobra.Command, virtual bool) (runner.Options, error) {
	o := runner.Options{Virtual: virtual, Variant: flags.variant, Root: flags.root}
	if cmd.Flags().Changed("virtual") {
		o.Virtual = flags.virtual
	}
	if cmd.Flags().Changed("seed") {
		o.Seeds = []uint64{flags.seed}
	}
	if o.Virtual {
		return o, nil
	}
	var err error
	if o.Self, err = os.Executable(); err != nil {
		return o, err
	}
	if o.Root == "" {
		o.Root, err = repository()
	}
	return o, err
}

// write writes the report in all forms that were asked for.
func (flags *labRunFlags) write(w io.Writer, r *report.Report) error {
	r.Text(w)
	if flags.jsonFile != "" {
		if err := r.WriteJSON(flags.jsonFile); err != nil {
			return err
		}
	}
	if flags.reportDir != "" {
		if err := r.Write(flags.reportDir); err != nil {
			return err
		}
		fmt.Fprintln(w, "\nreport:", filepath.Join(flags.reportDir, "index.html"))
	}
	return nil
}

// assignments parses KEY=VALUE arguments.
func assignments(set []string) (map[string]string, error) {
	out := map[string]string{}
	for _, s := range set {
		key, value, ok := strings.Cut(s, "=")
		if !ok || key == "" {
			return nil, fmt.Errorf("--set %s: KEY=VALUE is wanted", s)
		}
		out[key] = value
	}
	return out, nil
}

// repository returns the nearest directory, from the working directory upwards, that has a deploy
// file.
func repository() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "balancer.toml")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no deploy/balancer.toml here or above: run within the repository, or name it with --root")
		}
		dir = parent
	}
}

// progress returns functions that show the progress of a run: as a bar on a terminal, and elsewhere
// as a line for each run. Finish removes the bar.
func progress(w io.Writer) (show func(done, all int, part float64), finish func()) {
	const steps = 1000 // of the bar
	var mu sync.Mutex
	if f, ok := w.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		bar := progressbar.NewOptions(steps, progressbar.OptionSetWriter(w), progressbar.OptionSetWidth(40),
			progressbar.OptionClearOnFinish(), progressbar.OptionThrottle(100*time.Millisecond))
		show = func(done, all int, part float64) {
			mu.Lock()
			defer mu.Unlock()
			_ = bar.Set(int(steps * (float64(done) + part) / float64(all))) // the bar is not essential
		}
		return show, func() { _ = bar.Finish() }
	}
	last := -1
	return func(done, all int, _ float64) {
		mu.Lock()
		defer mu.Unlock()
		if done != last {
			last = done
			fmt.Fprintf(w, "played %d of %d\n", done, all)
		}
	}, func() {}
}

func newLabCheck() *cobra.Command {
	var set []string
	cmd := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check experiment files without playing them",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			values, err := assignments(set)
			if err != nil {
				return err
			}
			var errs []error
			for _, path := range args {
				if _, err := hclfile.Load(path, values); err != nil {
					errs = append(errs, err)
					continue
				}
				fmt.Fprintln(cmd.OutOrStdout(), path+": ok")
			}
			return errors.Join(errs...)
		},
	}
	cmd.Flags().StringArrayVar(&set, "set", nil, "give a variable of the file another value: KEY=VALUE")
	return cmd
}

func newLabList() *cobra.Command {
	return &cobra.Command{
		Use:   "list [DIR]",
		Short: "List the experiments in a folder and the questions that they answer",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			dir := "experiments"
			if len(args) > 0 {
				dir = args[0]
			}
			paths, err := filepath.Glob(filepath.Join(dir, "*.hcl"))
			if err != nil {
				return err
			}
			if len(paths) == 0 {
				return fmt.Errorf("%s: no experiment files (*.hcl)", dir)
			}
			var errs []error
			for _, path := range paths {
				points, err := hclfile.Load(path, nil)
				if err != nil {
					errs = append(errs, err)
					continue
				}
				e := points[0]
				where := "sockets"
				if e.Virtual {
					where = "virtual"
				}
				count := len(points) * len(e.Variants) * len(e.Seeds)
				fmt.Fprintf(cmd.OutOrStdout(), "%-24s %-8s %2d plays  %s\n", filepath.Base(path), where, count, e.Question)
			}
			return errors.Join(errs...)
		},
	}
}

func newLabCompare() *cobra.Command {
	return &cobra.Command{
		Use:   "compare A.json B.json",
		Short: "Tell two runs of one experiment apart, beyond the noise of their repeats",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := report.ReadJSON(args[0])
			if err != nil {
				return err
			}
			b, err := report.ReadJSON(args[1])
			if err != nil {
				return err
			}
			differences, err := report.Compare(a, b)
			if err != nil {
				return err
			}
			writeDifferences(cmd.OutOrStdout(), differences)
			return nil
		},
	}
}

// writeDifferences writes the differences that are significant, and those of which that is not
// known.
func writeDifferences(w io.Writer, differences []report.Difference) {
	significant := 0
	for _, d := range differences {
		if math.IsNaN(d.Noise) {
			fmt.Fprintf(w, "%-12s %-18s %-18s %12.4f -> %12.4f  (too few repeats to tell noise)\n", d.Point, d.Variant,
				d.Metric, d.A, d.B)
		} else if d.Significant() {
			significant++
			fmt.Fprintf(w, "%-12s %-18s %-18s %12.4f -> %12.4f  (noise %.4f)\n", d.Point, d.Variant, d.Metric, d.A, d.B,
				d.Noise)
		}
	}
	fmt.Fprintf(w, "%d of %d figures differ by more than the repeats do\n", significant, len(differences))
}
