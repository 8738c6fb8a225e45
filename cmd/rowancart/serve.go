package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"rowancart/internal/config"
	"rowancart/internal/daemon"
	"rowancart/internal/hotrestart/successor"
)

const (
	gcPercent    = 300 // the live heap is small, so that collecting less often costs little memory
	heapFraction = 0.7 // of the configured memory limit; beyond it the garbage collector runs more often
)

func newServe() *cobra.Command {
	return &cobra.Command{
		Use:   "serve FILE",
		Short: "Serve as the configuration says",
		Long: `Serve as the configuration says, until SIGTERM or SIGINT has come and all that was taken has been answered.

The file is read again at each SIGHUP and whenever it changes. A good one is put in force at once, a bad one changes
nothing: the log and "rowancart config status" say what is wrong with it.

At SIGUSR2 it starts the program at its own path anew, hands it the open sockets, and ends once that serves and all
that was taken here has been answered. One that does not get to serve is ended, and this process goes on.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return serve(cmd, args[0]) },
	}
}

// serve runs the daemon until SIGTERM or SIGINT, or until a successor serves.
func serve(cmd *cobra.Command, configPath string) error {
	reload, stopReload := notify(syscall.SIGHUP) // before anything else: an unhandled SIGHUP ends the process
	defer stopReload()
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	handover, stopHandover := notify(syscall.SIGUSR2)
	defer stopHandover()
	predecessor, err := successor.Inherit()
	if err != nil {
		return err
	}
	program, err := programPath() // once: at a handover there may be a new program at that path
	if err != nil {
		return fmt.Errorf("this program can't be found: %w", err)
	}
	debug.SetGCPercent(gcPercent)
	d, err := daemon.New(daemon.Options{
		ConfigPath:     configPath,
		LookupEnv:      os.LookupEnv,
		Log:            slog.Default(),
		OnApply:        setMemoryLimit,
		Predecessor:    predecessor,
		NewSuccessor:   func() *exec.Cmd { return sameCommand(program) },
		HandoverSignal: handover,
	})
	if err != nil {
		return err
	}
	return d.Run(ctx, reload)
}

// notify returns a channel that receives a signal, and a function that ends this. A signal that
// arrives while the previous one is pending is dropped.
func notify(s os.Signal) (received <-chan os.Signal, stop func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, s)
	return c, func() { signal.Stop(c) }
}

// programPath returns the absolute path at which this program was started.
func programPath() (string, error) {
	path, err := exec.LookPath(os.Args[0])
	if err != nil {
		return "", err
	}
	return filepath.Abs(path)
}

// sameCommand returns a command that runs a program with this process's arguments and standard
// files.
func sameCommand(program string) *exec.Cmd {
	c := exec.Command(program, os.Args[1:]...)
	c.Stdin = os.Stdin
	c.Stdout = os.Stdout
	c.Stderr = os.Stderr
	return c
}

// setMemoryLimit applies the configured memory limit to the garbage collector.
func setMemoryLimit(c *config.Config) {
	debug.SetMemoryLimit(int64(heapFraction * float64(c.Limits.Memory)))
}
