package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/spf13/cobra"

	"rowancart/internal/config"
	"rowancart/internal/hcldecode"
)

const (
	adminTimeout     = 5 * time.Second // limit for one request to the admin interface
	defaultAdminAddr = "127.0.0.1:9901"
)

func newConfig() *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Check, show and compare configurations of the daemon"}
	command.AddCommand(newConfigFormat(), newConfigStatus(), newConfigReload(), newConfigCheck(), newConfigShow(),
		newConfigCompare())
	return command
}

func newConfigFormat() *cobra.Command {
	var write bool
	command := &cobra.Command{
		Use:   "format FILE",
		Short: "Print a configuration file in the standard layout",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if _, err := hcldecode.Parse(text, args[0]); err != nil {
				return err
			}
			formatted := hclwrite.Format(text)
			if write {
				return os.WriteFile(args[0], formatted, 0o644)
			}
			_, err = cmd.OutOrStdout().Write(formatted)
			return err
		},
	}
	command.Flags().BoolVar(&write, "write", false, "write the result to the file instead of printing it")
	return command
}

func newConfigStatus() *cobra.Command {
	return newAdminCommand("status", "Print the state of a running daemon as JSON", http.MethodGet)
}

func newConfigReload() *cobra.Command {
	const short = "Make a running daemon reload its configuration file, and print the errors if it is invalid"
	return newAdminCommand("reload", short, http.MethodPost)
}

// newAdminCommand returns a command that requests the path /NAME from a daemon's admin interface,
// where NAME is the command's name, and prints the response.
func newAdminCommand(name, short, method string) *cobra.Command {
	var admin string
	command := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := requestAdmin(cmd.Context(), admin, method, "/"+name)
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(text)
			return err
		},
	}
	command.Flags().StringVar(&admin, "admin", defaultAdminAddr,
		"address of the daemon's admin listener: host:port, or unix: followed by a path")
	return command
}

func newConfigCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration file and report all errors in it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := config.Load(args[0], os.LookupEnv)
			if err != nil {
				return err
			}
			for _, w := range c.Warnings {
				fmt.Fprintln(cmd.ErrOrStderr(), "warning:", w)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good: %d listeners, %d routes, %d pools\n",
				args[0], len(c.Listeners), len(c.Routes), len(c.Pools))
			return nil
		},
	}
}

func newConfigShow() *cobra.Command {
	return &cobra.Command{
		Use:   "show FILE",
		Short: "Print the policy of each route, and where each value is set",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := config.Load(args[0], os.LookupEnv)
			if err != nil {
				return err
			}
			return c.Show(cmd.OutOrStdout())
		},
	}
}

func newConfigCompare() *cobra.Command {
	return &cobra.Command{
		Use:   "compare OLD NEW",
		Short: "Print which parts differ between two configurations",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			old, err := config.Load(args[0], os.LookupEnv)
			if err != nil {
				return err
			}
			changed, err := config.Load(args[1], os.LookupEnv)
			if err != nil {
				return err
			}
			for _, line := range old.Compare(changed) {
				fmt.Fprintln(cmd.OutOrStdout(), line)
			}
			return nil
		},
	}
}

// adminError is the error for a request that a daemon's admin interface rejected.
type adminError struct {
	status  int    // HTTP status
	message string // body of the response
}

// Error implements error.
func (e *adminError) Error() string { return e.message }

// requestAdmin sends a request to a daemon's admin interface and returns the body of the response.
// It returns an *adminError if the status is not 200.
func requestAdmin(ctx context.Context, admin, method, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	transport := adminTransport(admin)
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, method, "http://admin"+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return nil, fmt.Errorf("--admin: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &adminError{status: resp.StatusCode, message: strings.TrimSpace(string(text))}
	}
	return text, nil
}

// adminTransport returns a transport that connects to the admin interface, whichever host the URL
// of a request names.
func adminTransport(admin string) *http.Transport {
	network, address := "tcp", admin
	if socket, ok := strings.CutPrefix(admin, "unix:"); ok {
		network, address = "unix", socket
	}
	return &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
}
