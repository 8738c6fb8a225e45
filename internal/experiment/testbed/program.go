package testbed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"rowancart/internal/platform"
)

// Program starts instances of a program under test.
type Program interface {
	// Start starts an instance. The instance may still be unhealthy when Start returns.
	Start(c platform.ConfigFile) (Instance, error)
}

// Instance is a running instance of a program under test.
type Instance interface {
	// Reload replaces the configuration file and sends SIGHUP to the instance.
	Reload(c platform.ConfigFile) error
	// Terminate sends SIGTERM.
	Terminate()
	// Kill sends SIGKILL and waits until the instance has exited.
	Kill()
	// Done returns a channel that is closed when the instance has exited.
	Done() <-chan struct{}
	// ExitReason returns how the instance exited and the end of its output. It may be called only
	// after the instance has exited.
	ExitReason() string
	// Usage returns the resource usage of the instance. It fails once the instance has exited.
	Usage() (Usage, error)
}

// Usage is the resource usage of an instance.
type Usage struct {
	MemoryMB    float64
	Descriptors int
	CPUTime     time.Duration // total since the instance was started
}

// Build runs the build line of root/deploy/balancer.toml in a shell, if there is one, and returns
// the run line.
func Build(ctx context.Context, root string) (runLine string, err error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	settings := stringSettings(string(text))
	if settings["run"] == "" {
		return "", errors.New("deploy/balancer.toml: no run line")
	}
	if build := settings["build"]; build != "" {
		cmd := exec.CommandContext(ctx, "/bin/sh", "-c", build)
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			return "", fmt.Errorf("build line of deploy/balancer.toml: %w\n%s", err, out)
		}
	}
	return settings["run"], nil
}

// stringSettings returns the settings of a deploy file. A value that is not a string becomes an
// empty one.
func stringSettings(deployFile string) map[string]string {
	settings := map[string]string{}
	for line := range strings.SplitSeq(deployFile, "\n") {
		if key, value, ok := strings.Cut(line, " = "); ok {
			settings[key], _ = strconv.Unquote(strings.TrimSpace(value))
		}
	}
	return settings
}

const (
	healthCheckTimeout  = time.Second
	healthCheckInterval = 20 * time.Millisecond
)

// waitHealthy waits until a program responds to a health check with status 200. If the program
// exits or the timeout passes first, the error gives the reason.
func waitHealthy(ctx context.Context, p Instance, addr, name string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialer := &net.Dialer{Timeout: healthCheckTimeout}
	client := &http.Client{Timeout: healthCheckTimeout,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
	for {
		err := checkHealth(client, addr)
		if err == nil {
			return nil
		}
		select {
		case <-p.Done():
			return fmt.Errorf("%s ended before it was healthy: %s", name, p.ExitReason())
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return fmt.Errorf("%s was not healthy within %v: %w", name, timeout, err)
			}
			return ctx.Err()
		case <-time.After(healthCheckInterval):
		}
	}
}

// checkHealth makes one health check.
func checkHealth(client *http.Client, addr string) error {
	resp, err := client.Get("http://" + addr + platform.HealthPath)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return nil
}
