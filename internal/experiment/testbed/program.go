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
	// Start starts an instance. It need not be healthy when Start returns.
	Start(c platform.ConfigFile) (Instance, error)
}

// Instance is an instance of a program under test.
type Instance interface {
	// Reload replaces the configuration file and sends SIGHUP.
	Reload(c platform.ConfigFile) error
	// Terminate sends SIGTERM.
	Terminate()
	// Kill sends SIGKILL and waits for the exit.
	Kill()
	// Done is closed when the instance has exited.
	Done() <-chan struct{}
	// ExitReason returns how the instance exited, with the end of its output. It must have exited.
	ExitReason() string
	// Usage returns what the instance uses. It fails once the instance has exited.
	Usage() (Usage, error)
}

// Usage is what an instance of a program uses.
type Usage struct {
	MemoryMB    float64
	Descriptors int
	CPUTime     time.Duration // used since its start
}

// Build runs the build line of root/deploy/balancer.toml, if there is one, and returns the run
// line.
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

// stringSettings returns the values of a deploy file that are strings. Values of other types are
// empty.
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

// waitHealthy waits until a program responds to a health check with 200. The error says why it did
// not within the timeout.
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
