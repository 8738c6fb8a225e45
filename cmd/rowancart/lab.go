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
)

func newLab() *cobra.Command {
	lab := &cobra.Command{Use: "lab", Short: "Play experiments with the balancer before stand-in boxes"}
	lab.AddCommand(newLabRun(), newLabCheck(), newLabList(), newLabCompare(), newSpeed(), newSubsets(), newSearch(), newFast(), &cobra.Command{
		Use:    "reverse-proxy",
		Short:  "Serve as the rival on sockets, as ROUTER_CONFIG says",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return roundrobin.Serve(cmd.Context(), os.Getenv("ROUTER_CONFIG"), slog.Default())
		},
	})
	return lab
}

// errMissed says that a run ended in order and did not bring what its file expects.
var errMissed = errors.New("the experiment did not bring what its file expects")

func newLabRun() *cobra.Command {
	var virtual bool
	var seed uint64
	var arm, jsonFile, reportDir, root string
	var set []string
	cmd := &cobra.Command{
		Use:   "run FILE",
		Short: "Play an experiment and report on it",
		Long: `Play an experiment and report on it.

The exit status is 0 if all that the file expects came out, else 1. An interrupt ends every program that was started
and still reports what had been measured.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			values, err := assignments(set)
			if err != nil {
				return err
			}
			plays, err := hclfile.Load(args[0], values)
			if err != nil {
				return err
			}
			o := runner.Options{Virtual: plays[0].Virtual, Variant: arm, Root: root}
			if cmd.Flags().Changed("virtual") {
				o.Virtual = virtual
			}
			if cmd.Flags().Changed("seed") {
				o.Seeds = []uint64{seed}
			}
			if !o.Virtual {
				if o.Self, err = os.Executable(); err != nil {
					return err
				}
				if o.Root == "" {
					if o.Root, err = repository(); err != nil {
						return err
					}
				}
			}
			var finish func()
			o.Progress, finish = progress(cmd.ErrOrStderr())
			r, err := runner.Run(cmd.Context(), plays, o)
			finish()
			if err != nil {
				return err
			}
			r.Text(cmd.OutOrStdout())
			if jsonFile != "" {
				if err := r.WriteJSON(jsonFile); err != nil {
					return err
				}
			}
			if reportDir != "" {
				if err := r.Write(reportDir); err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), "\nreport:", filepath.Join(reportDir, "index.html"))
			}
			switch {
			case r.Stopped != "":
				return errors.New(r.Stopped)
			case len(r.Missed) > 0:
				return errMissed
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.BoolVar(&virtual, "virtual", false, "play in virtual time, or with =false on sockets, whatever the file says")
	f.Uint64Var(&seed, "seed", 0, "play this seed only")
	f.StringVar(&arm, "arm", "", "play this arm only")
	f.StringArrayVar(&set, "set", nil, "give a variable of the file another value: KEY=VALUE")
	f.StringVar(&jsonFile, "json", "", "write the figures to this file")
	f.StringVar(&reportDir, "report", "", "write a page and the figures into this folder")
	f.StringVar(&root, "root", "", "the repository whose deploy file starts the sidecar (default: the one around the working folder)")
	return cmd
}

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

// repository finds the folder around the working one that has a deploy file.
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

// progress shows how far a run is: a bar on a terminal, a line now and then elsewhere.
func progress(w io.Writer) (show func(done, all int, part float64), finish func()) {
	const steps = 1000
	var mu sync.Mutex
	if f, ok := w.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		bar := progressbar.NewOptions(steps, progressbar.OptionSetWriter(w), progressbar.OptionSetWidth(40),
			progressbar.OptionClearOnFinish(), progressbar.OptionThrottle(100*time.Millisecond))
		show = func(done, all int, part float64) {
			mu.Lock()
			defer mu.Unlock()
			_ = bar.Set(int(steps * (float64(done) + part) / float64(all))) // a bar that can't be drawn is no matter
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
				plays, err := hclfile.Load(path, nil)
				if err != nil {
					errs = append(errs, err)
					continue
				}
				e := plays[0]
				where := "sockets"
				if e.Virtual {
					where = "virtual"
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%-24s %-8s %2d plays  %s\n", filepath.Base(path), where, len(plays)*len(e.Variants)*len(e.Seeds), e.Question)
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
			w := cmd.OutOrStdout()
			beyond := 0
			for _, d := range differences {
				if math.IsNaN(d.Noise) {
					fmt.Fprintf(w, "%-12s %-18s %-18s %12.4f -> %12.4f  (too few repeats to tell noise)\n", d.Point, d.Variant, d.Metric, d.A, d.B)
				} else if d.Significant() {
					beyond++
					fmt.Fprintf(w, "%-12s %-18s %-18s %12.4f -> %12.4f  (noise %.4f)\n", d.Point, d.Variant, d.Metric, d.A, d.B, d.Noise)
				}
			}
			fmt.Fprintf(w, "%d of %d figures differ by more than the repeats do\n", beyond, len(differences))
			return nil
		},
	}
}
