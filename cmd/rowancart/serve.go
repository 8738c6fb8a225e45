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
	gcPercent           = 300 // the live heap is small, so collecting garbage less often costs little memory
	memoryLimitFraction = 0.7 // of the configured limit; above it the garbage collector runs more often
)

func newServe() *cobra.Command {
	return &cobra.Command{
		Use:   "serve FILE",
		Short: "Run the load-balancing daemon",
		Long: `Run the load-balancing daemon with a configuration file. After SIGTERM or SIGINT it answers all requests that
it has accepted, and exits. Requests that are unanswered at the drain timeout are aborted.

The file is read again at each SIGHUP and whenever it changes. A valid configuration is applied at once. An invalid one
is ignored; the log and "rowancart config status" report what is wrong with it.

At SIGUSR2 the daemon starts the program at its own path as its successor and passes the open sockets to it. Once
the successor serves, this process answers the requests that it has accepted, up to the drain timeout, and exits. A
successor that fails to serve is terminated, and this process continues to serve.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return serve(cmd, args[0]) },
	}
}

// serve runs the daemon until SIGTERM or SIGINT, or until a successor serves.
func serve(cmd *cobra.Command, configPath string) error {
	reload, stopReload := notifySignal(syscall.SIGHUP) // first: an unhandled SIGHUP terminates the process
	defer stopReload()
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	handover, stopHandover := notifySignal(syscall.SIGUSR2)
	defer stopHandover()
	predecessor, err := successor.Inherit()
	if err != nil {
		return err
	}
	program, err := programPath() // resolved once: at a handover this path may hold a new program
	if err != nil {
		return fmt.Errorf("cannot determine the path of this program: %w", err)
	}
	debug.SetGCPercent(gcPercent)
	d, err := daemon.New(daemon.Options{
		ConfigPath:     configPath,
		LookupEnv:      os.LookupEnv,
		Log:            slog.Default(),
		OnApply:        setMemoryLimit,
		Predecessor:    predecessor,
		NewSuccessor:   func() *exec.Cmd { return successorCommand(program) },
		HandoverSignal: handover,
	})
	if err != nil {
		return err
	}
	return d.Run(ctx, reload)
}

// notifySignal returns a channel that receives the given signal, and a function that stops the
// delivery. A signal that arrives while the previous one is still in the channel is dropped.
func notifySignal(s os.Signal) (received <-chan os.Signal, stop func()) {
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

// successorCommand returns a command that runs a program with the arguments and the standard input,
// output and error of this process.
func successorCommand(program string) *exec.Cmd {
	c := exec.Command(program, os.Args[1:]...)
	c.Stdin = os.Stdin
	c.Stdout = os.Stdout
	c.Stderr = os.Stderr
	return c
}

// setMemoryLimit sets the soft memory limit of the Go runtime to a fraction of the configured
// limit.
func setMemoryLimit(c *config.Config) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(c.Limits.Memory)))
}
