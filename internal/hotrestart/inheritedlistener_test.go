package hotrestart

import (
	"errors"
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
)

func TestInheritedListenerAccepts(t *testing.T) {
	original, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer original.Close()
	file, err := original.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fd, err := syscall.Dup(int(file.Fd())) // InheritedListener closes it
	if err != nil {
		t.Fatal(err)
	}
	inherited, err := InheritedListener(strconv.Itoa(fd))
	if err != nil {
		t.Fatal(err)
	}
	defer inherited.Close()
	if inherited.Addr().String() != original.Addr().String() {
		t.Errorf("the inherited listener has address %v, the original %v", inherited.Addr(), original.Addr())
	}
	go net.Dial("tcp", original.Addr().String())
	if _, err := inherited.Accept(); err != nil {
		t.Error(err)
	}
}

func TestInheritedListenerRejectsOtherDescriptors(t *testing.T) {
	pipe, _, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer pipe.Close()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(socket)
	pipeFD, socketFD := strconv.Itoa(int(pipe.Fd())), strconv.Itoa(socket)
	for descriptor, want := range map[string]struct {
		reason error
		text   string
	}{
		"":       {ErrNotDescriptor, `"" is not a file descriptor`},
		"seven":  {ErrNotDescriptor, `"seven" is not a file descriptor`},
		"-1":     {ErrNotDescriptor, `"-1" is not a file descriptor`},
		"100000": {ErrNotOpen, "descriptor 100000 is not open"},
		pipeFD:   {ErrNotSocket, "descriptor " + pipeFD + " is not a socket: socket operation on non-socket"},
		socketFD: {ErrNotListening, "descriptor " + socketFD + " is not a listening socket"},
	} {
		_, err := InheritedListener(descriptor)
		if !errors.Is(err, want.reason) || err.Error() != want.text {
			t.Errorf("descriptor %q: error %v, want %q", descriptor, err, want.text)
		}
	}
}
