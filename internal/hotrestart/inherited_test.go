package hotrestart

import (
	"net"
	"os"
	"strconv"
	"strings"
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
		t.Errorf("at %v", inherited.Addr())
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
	for descriptor, reason := range map[string]string{
		"":                           "no descriptor",
		"seven":                      "no descriptor",
		"-1":                         "no descriptor",
		"100000":                     "not open",
		strconv.Itoa(int(pipe.Fd())): "no socket",
		strconv.Itoa(socket):         "does not listen",
	} {
		_, err := InheritedListener(descriptor)
		if err == nil || !strings.Contains(err.Error(), reason) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", descriptor, err, reason)
		}
	}
}
