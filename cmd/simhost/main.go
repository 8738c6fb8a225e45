// Simhost runs one balancer for each instance in the simulator. It reads batches of events from
// standard input and writes one reply for each batch to standard output. The balancers share no
// state, and simhost itself makes no decisions.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"rowancart/balancer"
	"rowancart/internal/wire"
)

// gcPercent trades memory, of which balancers use little, for fewer collections of their
// short-lived garbage.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run handles the batches that it reads from in, until its end, and writes the replies to out.
func run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	return reader.Run(&host{out: out, reader: reader, balancers: map[int]*balancer.Balancer{}})
}

// host implements wire.Handler with one balancer for each instance.
type host struct {
	out       io.Writer
	reader    *wire.Reader
	reply     wire.Reply                 // of the current batch
	balancers map[int]*balancer.Balancer // of the running instances, by instance index
}

var _ wire.Handler = (*host)(nil)

// Start implements wire.Handler.
func (h *host) Start(instance int, s balancer.Settings) error {
	h.balancers[instance] = balancer.New(h.reader.Now(), s, h.reply.Host(instance))
	return nil
}

// Stop implements wire.Handler.
func (h *host) Stop(instance int) error {
	if _, err := h.Instance(instance); err != nil {
		return err
	}
	delete(h.balancers, instance)
	return nil
}

// Instance implements wire.Handler.
func (h *host) Instance(instance int) (balancer.Events, error) {
	b, ok := h.balancers[instance]
	if !ok {
		return nil, fmt.Errorf("instance %d is not running", instance)
	}
	return b, nil
}

// EndBatch implements wire.Handler.
func (h *host) EndBatch() error {
	_, err := h.out.Write(h.reply.Bytes())
	return err
}
