package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/spf13/cobra"

	"rowancart/internal/config"
	"rowancart/internal/daemon"
	"rowancart/internal/hcldecode"
	"rowancart/internal/hotrestart/successor"
)

const (
	gcPercent   = 300 // the live heap is small: collect less often
	heapShare   = 0.7 // of the memory limit that the heap may take before the collector works harder
	adminWithin = 5 * time.Second
)

func newServe() *cobra.Command {
	return &cobra.Command{
		Use:   "serve FILE",
		Short: "Serve as the configuration says",
		Long: `Serve as the configuration says, until SIGTERM or SIGINT has come and all that was taken has been answered.

The file is read again at each SIGHUP and whenever it changes. A good one is put in force at once, a bad one changes
nothing: the log and "rowancart config status" say what is wrong with it.

At SIGUSR2 it starts the program at its own path anew, hands it the open sockets, and ends once that serves and all that was
taken here has been answered. One that does not get to serve is ended, and this process goes on.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			hup := make(chan os.Signal, 1) // first of all: unheeded, the signal would end the process
			signal.Notify(hup, syscall.SIGHUP)
			defer signal.Stop(hup)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			usr2 := make(chan os.Signal, 1)
			signal.Notify(usr2, syscall.SIGUSR2)
			defer signal.Stop(usr2)
			predecessor, err := successor.Inherit()
			if err != nil {
				return err
			}
			self, err := exec.LookPath(os.Args[0]) // now: the successor may be another file at that path
			if err == nil {
				self, err = filepath.Abs(self)
			}
			if err != nil {
				return fmt.Errorf("this program can't be found: %w", err)
			}
			successor := func() *exec.Cmd {
				c := exec.Command(self, os.Args[1:]...)
				c.Stdin, c.Stdout, c.Stderr = os.Stdin, os.Stdout, os.Stderr
				return c
			}
			debug.SetGCPercent(gcPercent)
			d, err := daemon.New(daemon.Options{ConfigPath: args[0], LookupEnv: os.LookupEnv, Log: slog.Default(), Predecessor: predecessor,
				NewSuccessor: successor, HandoverSignal: usr2, OnApply: func(c *config.Config) {
					debug.SetMemoryLimit(int64(heapShare * float64(c.Limits.Memory)))
				}})
			if err != nil {
				return err
			}
			return d.Run(ctx, hup)
		},
	}
}

func newConfig() *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Check, show and compare configurations of the daemon"}
	var write bool
	format := &cobra.Command{
		Use:   "format FILE",
		Short: "Print a configuration in the usual layout",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if _, err := hcldecode.Parse(text, args[0]); err != nil {
				return err
			}
			if text = hclwrite.Format(text); write {
				return os.WriteFile(args[0], text, 0o644)
			}
			_, err = cmd.OutOrStdout().Write(text)
			return err
		},
	}
	format.Flags().BoolVar(&write, "write", false, "write the file instead")
	var admin string
	status := &cobra.Command{
		Use:   "status",
		Short: "Print the state of a daemon that runs, as JSON",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return ask(cmd.Context(), cmd.OutOrStdout(), admin, http.MethodGet, "/status")
		},
	}
	reload := &cobra.Command{
		Use:   "reload",
		Short: "Make a daemon that runs read its configuration again, and print what is wrong with it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return ask(cmd.Context(), cmd.OutOrStdout(), admin, http.MethodPost, "/reload")
		},
	}
	for _, c := range []*cobra.Command{status, reload} {
		c.Flags().StringVar(&admin, "admin", "127.0.0.1:9901", "where its admin listener is: host:port, or unix: and a path")
	}
	command.AddCommand(format, status, reload, &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration and name all that is wrong with it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := config.Load(args[0], os.LookupEnv)
			if err != nil {
				return err
			}
			for _, w := range c.Warnings {
				fmt.Fprintln(cmd.ErrOrStderr(), "warning:", w)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good: %d listeners, %d routes, %d pools\n", args[0], len(c.Listeners), len(c.Routes), len(c.Pools))
			return nil
		},
	}, &cobra.Command{
		Use:   "show FILE",
		Short: "Print the policy of each route, and where each value was said",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := config.Load(args[0], os.LookupEnv)
			if err != nil {
				return err
			}
			return c.Show(cmd.OutOrStdout())
		},
	}, &cobra.Command{
		Use:   "compare OLD NEW",
		Short: "Print which parts of a configuration another one changes",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			old, err := config.Load(args[0], os.LookupEnv)
			if err != nil {
				return err
			}
			next, err := config.Load(args[1], os.LookupEnv)
			if err != nil {
				return err
			}
			for _, line := range old.Compare(next) {
				fmt.Fprintln(cmd.OutOrStdout(), line)
			}
			return nil
		},
	})
	return command
}

// ask makes a request to a daemon's admin listener and passes on the answer.
func ask(ctx context.Context, out io.Writer, admin, method, path string) error {
	ctx, cancel := context.WithTimeout(ctx, adminWithin)
	defer cancel()
	network, address := "tcp", admin
	if socket, ok := strings.CutPrefix(admin, "unix:"); ok {
		network, address = "unix", socket
	}
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, method, "http://admin"+path, nil)
	if err != nil {
		return err
	}
	resp, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return fmt.Errorf("--admin: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New(strings.TrimSpace(string(text)))
	}
	_, err = out.Write(text)
	return err
}
