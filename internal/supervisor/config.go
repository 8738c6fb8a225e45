package supervisor

import (
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/hcl/v2"

	"rowancart/internal/hcldecode"
)

const (
	maxInstances = 1024

	defaultReadyTimeout   = 15 * time.Second
	defaultStopTimeout    = 30 * time.Second
	defaultInitialBackoff = 200 * time.Millisecond
	defaultMaxBackoff     = 30 * time.Second
)

// Config is the configuration of a fleet. docs/recovery.md describes the file.
type Config struct {
	Instances      int
	InstanceConfig string // path of the daemon's configuration file, the same for all instances
	// Folder belongs to this supervisor alone. It holds the supervisor's state and lock, and the
	// instances' admin sockets, state files and logs.
	Folder         string
	Seed           uint64        // of the random jitter of restart backoffs
	ReadyTimeout   time.Duration // a started instance that is not healthy within this time is killed
	StopTimeout    time.Duration // an instance that has not exited this long after SIGTERM is killed
	InitialBackoff time.Duration // before the restart after a first failure
	MaxBackoff     time.Duration // before jitter
}

// LoadConfig reads a fleet's file. The error for an invalid one is an hcldecode.ErrorList. Relative
// paths in the file are relative to its folder.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	body, err := hcldecode.Parse(text, path)
	if err != nil {
		return nil, err
	}
	c := &Config{
		ReadyTimeout:   defaultReadyTimeout,
		StopTimeout:    defaultStopTimeout,
		InitialBackoff: defaultInitialBackoff,
		MaxBackoff:     defaultMaxBackoff,
	}
	r := &hcldecode.Decoder{Ranges: map[any]hcl.Range{}}
	r.Body(body, nil, hcldecode.Blocks{"fleet": func(b *hcl.Block) { c.decode(r, b) }})
	if c.Instances == 0 && len(r.Diags) == 0 {
		r.Errorf(hcl.Range{Filename: path, Start: hcl.InitialPos, End: hcl.InitialPos}, `the file has no block "fleet"`)
	}
	if err := hcldecode.NewErrorList(r.Diags).Err(); err != nil {
		return nil, err
	}
	if err := c.resolvePaths(filepath.Dir(path)); err != nil {
		return nil, err
	}
	return c, nil
}

// decode reads and checks the block "fleet". It adds the errors that it finds to those of r.
func (c *Config) decode(r *hcldecode.Decoder, b *hcl.Block) {
	seed := int(c.Seed)
	r.Body(b.Body, hcldecode.Fields{
		"instances!":   &c.Instances,
		"config!":      &c.InstanceConfig,
		"folder!":      &c.Folder,
		"seed":         &seed,
		"ready_within": &c.ReadyTimeout,
		"stop_within":  &c.StopTimeout,
	}, hcldecode.Blocks{
		"back_off": func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"first": &c.InitialBackoff, "most": &c.MaxBackoff}, nil)
		},
	})
	c.Seed = uint64(seed)
	switch {
	case c.Instances < 1 || c.Instances > maxInstances:
		r.Errorf(r.Ranges[&c.Instances], "instances: %d is not between 1 and %d", c.Instances, maxInstances)
	case c.InitialBackoff <= 0 || c.MaxBackoff < c.InitialBackoff:
		r.Errorf(b.DefRange, "back_off: first must be above 0, and most must not be below first")
	case c.ReadyTimeout <= 0 || c.StopTimeout <= 0:
		r.Errorf(b.DefRange, "fleet: ready_within and stop_within must be above 0")
	}
}

// resolvePaths makes the paths absolute, with dir as the base of relative paths: instances may be
// started from another folder.
func (c *Config) resolvePaths(dir string) (err error) {
	for _, p := range []*string{&c.InstanceConfig, &c.Folder} {
		if !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
		if *p, err = filepath.Abs(*p); err != nil {
			return err
		}
	}
	return nil
}
