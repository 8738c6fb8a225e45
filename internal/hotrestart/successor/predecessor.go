package successor

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// Predecessor holds what a process inherits from its predecessor: the listening sockets, and the
// pipe on which it reports readiness. Its methods must not be called concurrently.
type Predecessor struct {
	sockets map[string]*os.File // by address; Listener removes those that it returns
	files   map[string]*os.File // other files, by name; File removes those that it returns
	ready   *os.File            // readiness pipe; nil if there is no predecessor or Ready was called
}

// Inherit returns what this process inherits, which is nothing if it has no predecessor. It must be
// called once, before this process starts others: they would inherit the descriptors too.
func Inherit() (*Predecessor, error) {
	p := &Predecessor{sockets: map[string]*os.File{}, files: map[string]*os.File{}}
	text, ok := os.LookupEnv(inheritVariable)
	if !ok {
		return p, nil
	}
	_ = os.Unsetenv(inheritVariable) // fails only for an invalid name
	var inherited inheritedDescriptors
	if err := json.Unmarshal([]byte(text), &inherited); err != nil {
		return nil, fmt.Errorf("handover: %s: %w", inheritVariable, err)
	}
	for address, fd := range inherited.Addresses {
		p.sockets[address] = openInherited(fd, address)
	}
	for name, fd := range inherited.Files {
		p.files[name] = openInherited(fd, name)
	}
	if inherited.Ready > 0 {
		p.ready = openInherited(inherited.Ready, "ready")
	}
	return p, nil
}

// openInherited returns a file for an inherited descriptor. It sets close-on-exec, so that child
// processes do not inherit the descriptor in turn.
func openInherited(fd int, name string) *os.File {
	syscall.CloseOnExec(fd)
	return os.NewFile(uintptr(fd), name)
}

// Listener returns a listener on the predecessor's socket for an address, or nil if there is none.
// It must be called at most once for each address.
func (p *Predecessor) Listener(address string) (net.Listener, error) {
	f := p.sockets[address]
	if f == nil {
		return nil, nil
	}
	delete(p.sockets, address)
	defer f.Close() // the listener has its own descriptor
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("handover: %s: %w", address, err)
	}
	return l, nil
}

// File returns the predecessor's file with a name, or nil if there is none. The caller must close
// it.
func (p *Predecessor) File(name string) *os.File {
	f := p.files[name]
	delete(p.files, name)
	return f
}

// Ready tells the predecessor that this process serves requests, and closes the sockets and files
// for which Listener or File was not called. Further calls do nothing.
func (p *Predecessor) Ready() error {
	for _, unused := range []map[string]*os.File{p.sockets, p.files} {
		for name, f := range unused {
			f.Close()
			delete(unused, name)
		}
	}
	if p.ready == nil {
		return nil
	}
	_, err := p.ready.WriteString(readyMessage)
	err = errors.Join(err, p.ready.Close())
	p.ready = nil
	if errors.Is(err, syscall.EPIPE) {
		return nil // the predecessor has exited
	}
	return err
}
