package hotrestart

import (
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

func open(t *testing.T) *SharedDir {
	t.Helper()
	f, err := OpenSharedDir(t.TempDir(), "n/1")
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func enter(t *testing.T, f *SharedDir, at int64) *Presence {
	t.Helper()
	p, err := f.Register(time.Unix(1_800_000_000, at))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func others(t *testing.T, p *Presence) Peers {
	t.Helper()
	o, err := p.Peers()
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func TestProcessesSeeEachOther(t *testing.T) {
	f := open(t)
	old := enter(t, f, 1)
	if o := others(t, old); o != (Peers{}) {
		t.Errorf("alone: %+v", o)
	}
	new := enter(t, f, 2)
	if err := old.MarkServing(); err != nil {
		t.Fatal(err)
	}
	if o := others(t, new); o != (Peers{Alive: true}) {
		t.Errorf("beside its predecessor: %+v", o)
	}
	if o := others(t, old); o != (Peers{Alive: true}) {
		t.Errorf("beside one that does not serve yet: %+v", o)
	}
	if err := new.MarkServing(); err != nil {
		t.Fatal(err)
	}
	if o := others(t, old); o != (Peers{Alive: true, Successor: true}) {
		t.Errorf("succeeded: %+v", o)
	}
	new.file.Close() // as at its death: nothing is cleared away
	if o := others(t, old); o != (Peers{}) {
		t.Errorf("with its successor dead: %+v", o)
	}
	third := enter(t, f, 3)
	old.Unregister()
	if o := others(t, third); o != (Peers{}) {
		t.Errorf("after the first has left: %+v", o)
	}
	third.Unregister()
	if left, err := os.ReadDir(f.path); err != nil || len(left) != 1 {
		t.Errorf("left behind: %v, %v", left, err)
	}
}

func TestWhatIsForeignIsNobody(t *testing.T) {
	f := open(t)
	p := enter(t, f, 1)
	defer p.Unregister()
	for _, name := range []string{"serving-", "serving-x-1", "starting-99999999999999999999", "other", entering + "00000000000000000009-1"} {
		if err := os.WriteFile(filepath.Join(f.path, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
		held, err := os.Open(filepath.Join(f.path, name))
		if err != nil {
			t.Fatal(err)
		}
		defer held.Close()
		if err := syscall.Flock(int(held.Fd()), syscall.LOCK_EX); err != nil {
			t.Fatal(err)
		}
	}
	if o := others(t, p); o != (Peers{}) {
		t.Errorf("%+v", o)
	}
}

func TestBansAreKeptByName(t *testing.T) {
	f := open(t)
	for _, id := range []string{"s-1", "../x", "s-1", strings.Repeat("y", mostID)} {
		if err := f.Disable(id); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Disable(strings.Repeat("y", mostID+1)); err == nil {
		t.Error("an endless id was taken")
	}
	if err := f.Enable("s-1"); err != nil {
		t.Error(err)
	}
	if err := f.Enable("s-1"); err != nil { // said twice
		t.Error(err)
	}
	if err := os.WriteFile(filepath.Join(f.path, bansName, "zz"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	again := &SharedDir{f.path}
	ids, foreign, err := again.Disabled()
	slices.Sort(ids)
	if want := []string{"../x", strings.Repeat("y", mostID)}; err != nil || !slices.Equal(ids, want) || !slices.Equal(foreign, []string{"zz"}) {
		t.Errorf("%q, %q, %v", ids, foreign, err)
	}
	if err := os.RemoveAll(f.path); err != nil {
		t.Fatal(err)
	}
	if _, _, err := f.Disabled(); err == nil {
		t.Error("bans that can't be read pass for none")
	}
}

func TestAnInheritedSocketIsListenedAt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	mine, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	inherited, err := InheritedListener(strconv.Itoa(mine))
	if err != nil {
		t.Fatal(err)
	}
	defer inherited.Close()
	if inherited.Addr().String() != l.Addr().String() {
		t.Errorf("at %v", inherited.Addr())
	}
	go net.Dial("tcp", l.Addr().String())
	if _, err := inherited.Accept(); err != nil {
		t.Error(err)
	}

	pipe, _, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer pipe.Close()
	plain, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(plain)
	for text, why := range map[string]string{"": "no descriptor", "seven": "no descriptor", "-1": "no descriptor", "100000": "not open",
		strconv.Itoa(int(pipe.Fd())): "no socket", strconv.Itoa(plain): "does not listen"} {
		if _, err := InheritedListener(text); err == nil || !strings.Contains(err.Error(), why) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %q", text, err, why)
		}
	}
}
