package main

import (
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"rowancart/internal/supervisor"
)

func newFleet() *cobra.Command {
	return &cobra.Command{
		Use:   "fleet FILE",
		Short: "Run and supervise the instances of a fleet on this machine",
		Long: `Run the instances of the fleet that the file describes, each as "rowancart serve CONFIG". The environment of
each instance has ROWANCART_INDEX, ROWANCART_INSTANCES, ROWANCART_ADMIN and ROWANCART_STATE, which its configuration
reads with env().

An instance that exits is restarted after a backoff that doubles with each consecutive failure. An instance that does
not pass a health check at its admin socket within ready_within of its start is killed; its health is not checked after
that. The supervisor saves its state in the folder that the file names, and its successor adopts the instances that
still run. A second supervisor of the same folder does not start. At SIGTERM or SIGINT the supervisor terminates all
instances.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			config, err := supervisor.LoadConfig(args[0])
			if err != nil {
				return err
			}
			program, err := programPath()
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return supervisor.Run(ctx, config, supervisor.Options{Program: program, Log: slog.Default()})
		},
	}
}
