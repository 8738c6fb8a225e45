package main

import (
	"fmt"
	"io"
	"log/slog"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// newRoot returns the root command with all its subcommands.
func newRoot() *cobra.Command {
	var format, level string
	root := &cobra.Command{
		Use:           "rowancart",
		Short:         "Run, configure and evaluate the rowancart load balancer",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			log, err := newLogger(cmd.ErrOrStderr(), format, level)
			if err == nil {
				slog.SetDefault(log)
			}
			return err
		},
	}
	root.PersistentFlags().StringVar(&format, "log-format", "text", "format of the log: text or json")
	root.PersistentFlags().StringVar(&level, "log-level", "info",
		"lowest level that is logged: debug, info, warn or error")
	root.AddCommand(newServe(), newFleet(), newConfig(), newLab(), &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version()) },
	})
	return root
}

// newLogger returns a logger for the values of --log-format and --log-level.
func newLogger(w io.Writer, format, level string) (*slog.Logger, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("--log-level: %q is not one of debug, info, warn, error", level)
	}
	options := &slog.HandlerOptions{Level: minLevel}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(w, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, options)), nil
	}
	return nil, fmt.Errorf("--log-format: %q is not one of text, json", format)
}

// version describes the build with the information that the Go toolchain embedded in the program.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "rowancart, unknown version"
	}
	revision := "unknown revision"
	modified := ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = ", modified"
		}
	}
	return fmt.Sprintf("rowancart %s (%s%s), %s", info.Main.Version, revision, modified, info.GoVersion)
}
