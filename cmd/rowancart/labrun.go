package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"rowancart/internal/experiment/hclfile"
	"rowancart/internal/experiment/report"
	"rowancart/internal/experiment/runner"
)

// errExpectationsNotMet is returned if an experiment was completed and its results miss an
// expectation.
var errExpectationsNotMet = errors.New("the results do not meet the expectations of the experiment file")

// labRunFlags holds the values of the flags of "lab run".
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
		Short: "Run an experiment and report its results",
		Long: `Run an experiment and report its results.

The exit status is 0 if the results meet all expectations of the file, else 1. An interrupt terminates all programs
that the experiment has started; the results up to then are reported.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return flags.run(cmd, args[0]) },
	}
	f := cmd.Flags()
	f.BoolVar(&flags.virtual, "virtual", false,
		"run in virtual time, or on sockets with --virtual=false; overrides the file")
	f.Uint64Var(&flags.seed, "seed", 0, "run only this seed")
	f.StringVar(&flags.variant, "arm", "", "run only this arm: one variant that the file defines")
	f.StringArrayVar(&flags.set, "set", nil, "set a variable of the file: KEY=VALUE")
	f.StringVar(&flags.jsonFile, "json", "", "write the results to this file")
	f.StringVar(&flags.reportDir, "report", "", "write an HTML page and the results as JSON into this directory")
	f.StringVar(&flags.root, "root", "",
		"repository whose deploy/balancer.toml says how to start the sidecar (default: that of the working directory)")
	return cmd
}

// run runs the experiment in the file at path and writes the reports that the flags select.
func (flags *labRunFlags) run(cmd *cobra.Command, path string) error {
	values, err := parseAssignments(flags.set)
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
	display := newProgressDisplay(cmd.ErrOrStderr())
	options.Progress = display.show
	r, err := runner.Run(cmd.Context(), points, options)
	display.finish()
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
		return errExpectationsNotMet
	}
	return nil
}

// options returns the options for the runner. Virtual is the setting of the file, which the flag
// --virtual overrides.
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
		o.Root, err = findRepository()
	}
	return o, err
}

// write prints the report, and writes it in each other form that a flag selects.
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

// parseAssignments parses the KEY=VALUE arguments of --set.
func parseAssignments(set []string) (map[string]string, error) {
	out := map[string]string{}
	for _, s := range set {
		key, value, ok := strings.Cut(s, "=")
		if !ok || key == "" {
			return nil, fmt.Errorf("--set %s: must be KEY=VALUE", s)
		}
		out[key] = value
	}
	return out, nil
}

// findRepository returns the nearest directory with a file deploy/balancer.toml: the working
// directory or one of its parents.
func findRepository() (string, error) {
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
			return "", errors.New(
				"no deploy/balancer.toml here or in a parent: run in the repository, or set --root (run) or --sidecar (speed)")
		}
		dir = parent
	}
}
