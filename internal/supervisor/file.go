// Package supervisor runs instances of the daemon on one machine as internal/supervisor decides: it starts them, asks each
// for its health at its own admin socket, starts again what ended, keeps its own state on disk, takes up the instances
// that a supervisor before it left running, and ends them all at SIGTERM.
package supervisor

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/hcl/v2"

	"rowancart/internal/hcldecode"
)

// File is a fleet's configuration.
type File struct {
	Instances   int
	Config      string // the daemon's configuration, for every instance; relative to the file
	Folder      string // the supervisor's own: its state, its lock, the instances' admin sockets
	Seed        uint64
	ReadyWithin time.Duration
	StopWithin  time.Duration
	First, Most time.Duration // of the back-off
}

// Load reads a fleet's file. What is wrong is told a line a fault, with its place.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	body, err := hcldecode.Parse(text, path)
	if err != nil {
		return nil, err
	}
	f := &File{ReadyWithin: 15 * time.Second, StopWithin: 30 * time.Second, First: 200 * time.Millisecond, Most: 30 * time.Second}
	r := &hcldecode.Reader{Places: map[any]hcl.Range{}}
	var seed int
	r.Body(body, nil, hcldecode.Blocks{"fleet": func(b *hcl.Block) {
		r.Body(b.Body, hcldecode.Fields{"instances!": &f.Instances, "config!": &f.Config, "folder!": &f.Folder, "seed": &seed,
			"ready_within": &f.ReadyWithin, "stop_within": &f.StopWithin}, hcldecode.Blocks{"back_off": func(b *hcl.Block) {
			r.Body(b.Body, hcldecode.Fields{"first": &f.First, "most": &f.Most}, nil)
		}})
		switch {
		case f.Instances < 1 || f.Instances > 1024:
			r.Fault(r.Places[&f.Instances], "instances: %d is not from 1 to 1024", f.Instances)
		case f.First <= 0 || f.Most < f.First:
			r.Fault(b.DefRange, "back_off: first must be over 0 and most no less than first")
		case f.ReadyWithin <= 0 || f.StopWithin <= 0:
			r.Fault(b.DefRange, "fleet: ready_within and stop_within must be over 0")
		}
	}})
	if err := hcldecode.Faults(r.Diags); err != nil {
		return nil, err
	}
	if f.Instances == 0 {
		return nil, fmt.Errorf("%s: no fleet block", path)
	}
	f.Seed = uint64(seed)
	dir := filepath.Dir(path)
	for _, p := range []*string{&f.Config, &f.Folder} { // the instances may be started from another folder
		if !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
		if *p, err = filepath.Abs(*p); err != nil {
			return nil, err
		}
	}
	return f, nil
}
