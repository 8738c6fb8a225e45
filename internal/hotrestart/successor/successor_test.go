package successor

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// behaviorVariable is the environment variable that selects the behavior of the test program when
// the tests start it as the successor.
const behaviorVariable = "SUCCESSOR_TEST_BEHAVIOR"

const (
	behaviorServe        = "serve"     // becomes ready and serves one connection
	behaviorHang         = "hang"      // never becomes ready
	behaviorExit         = "exit"      // exits before it is ready
	behaviorWrongMessage = "not ready" // sends an unexpected message and never becomes ready
)

const servedBySuccessor = "served by the successor"

// testTimeout bounds the waits of the tests. A passing test takes much less.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	behavior, ok := os.LookupEnv(behaviorVariable)
	if !ok {
		os.Exit(m.Run())
	}
	if err := runBehavior(behavior); err != nil {
		os.Exit(1)
	}
}

func runBehavior(behavior string) error {
	p, err := Inherit()
	if err != nil {
		return err
	}
	switch behavior {
	case behaviorServe:
		return serveOnce(p)
	case behaviorHang:
		time.Sleep(testTimeout)
	case behaviorWrongMessage:
		_, err := p.ready.WriteString("hello\n")
		time.Sleep(testTimeout)
		return err
	}
	return nil
}

func serveOnce(p *Predecessor) error {
	l, err := p.Listener("main")
	if err != nil {
		return err
	}
	if other, err := p.Listener("other"); other != nil || err != nil {
		return errors.New("Listener returned a listener that was not inherited")
	}
	if err := p.Ready(); err != nil {
		return err
	}
	conn, err := l.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = io.WriteString(conn, servedBySuccessor)
	return err
}

func startSuccessor(t *testing.T, behavior string, l net.Listener) *Successor {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), behaviorVariable+"="+behavior)
	s, err := Start(command, map[string]net.Listener{"main": l}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSuccessorServesAtTheSameSocket(t *testing.T) {
	for network, address := range map[string]string{
		"tcp":  "127.0.0.1:0",
		"unix": filepath.Join(t.TempDir(), "socket"),
	} {
		t.Run(network, func(t *testing.T) {
			l, err := net.Listen(network, address)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			s := startSuccessor(t, behaviorServe, l)
			if err := s.Wait(t.Context(), testTimeout); err != nil {
				t.Fatal(err)
			}
			l.Close() // the successor still listens, at a Unix socket path too
			conn, err := net.Dial(network, l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			if got, err := io.ReadAll(conn); err != nil || string(got) != servedBySuccessor {
				t.Errorf("response %q, %v", got, err)
			}
		})
	}
}

func TestWaitTerminatesSuccessorThatIsNotReady(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, test := range map[string]struct {
		behavior string
		ctx      context.Context
		timeout  time.Duration
		want     error
		text     string // part of the error
	}{
		"not ready in time":      {behaviorHang, t.Context(), 100 * time.Millisecond, ErrNotReady, "100ms"},
		"context ended":          {behaviorHang, cancelled, testTimeout, context.Canceled, ""},
		"exits before readiness": {behaviorExit, t.Context(), testTimeout, ErrExited, "exited before it was ready"},
		"reports something else": {behaviorWrongMessage, t.Context(), testTimeout, ErrExited, "exited before it was ready"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			s := startSuccessor(t, test.behavior, l)
			err = s.Wait(test.ctx, test.timeout)
			if !errors.Is(err, test.want) || !strings.Contains(err.Error(), test.text) {
				t.Errorf("Wait returned %v, want %v with text %q", err, test.want, test.text)
			}
			if s.command.ProcessState == nil {
				t.Error("Wait returned before the successor had exited")
			}
			go net.Dial("tcp", l.Addr().String())
			if conn, err := l.Accept(); err != nil {
				t.Errorf("this process no longer accepts: %v", err)
			} else {
				conn.Close()
			}
		})
	}
}

func TestInheritWithoutPredecessor(t *testing.T) {
	p, err := Inherit()
	if err != nil {
		t.Fatal(err)
	}
	if l, err := p.Listener("main"); l != nil || err != nil {
		t.Errorf("Listener returned %v, %v, want nil", l, err)
	}
	if err := p.Ready(); err != nil {
		t.Error(err)
	}
}

func TestInheritRejectsAnInvalidVariable(t *testing.T) {
	t.Setenv(inheritVariable, "{")
	if _, err := Inherit(); err == nil || !strings.Contains(err.Error(), inheritVariable) {
		t.Error(err)
	}
}
