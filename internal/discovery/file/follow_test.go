package file

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"rowancart/internal/proxy"
	"rowancart/internal/testpeer"
)

// followed records what Follow calls.
type followed struct {
	lists    chan proxy.EndpointList
	statuses chan error
}

func startFollow(t *testing.T, path string) *followed {
	t.Helper()
	f := &followed{make(chan proxy.EndpointList, 100), make(chan error, 100)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		Follow(ctx, path, func(l proxy.EndpointList) { f.lists <- l }, func(err error) { f.statuses <- err },
			slog.New(slog.DiscardHandler))
	}()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// expectStatus waits for the next status, which must be an error or nil.
func (f *followed) expectStatus(t *testing.T, when string, isError bool) {
	t.Helper()
	testpeer.WaitUntil(t, "a status "+when, func() bool { return len(f.statuses) > 0 })
	if err := <-f.statuses; (err != nil) != isError {
		t.Errorf("%s: status %v", when, err)
	}
}

func (f *followed) expectEndpoint(t *testing.T, when, id string) {
	t.Helper()
	testpeer.WaitUntil(t, "a list "+when, func() bool { return len(f.lists) > 0 })
	if l := <-f.lists; len(l.Endpoints) != 1 || l.Endpoints[0].ID != id {
		t.Errorf("%s: %+v, want endpoint %s", when, l, id)
	}
}

func TestFollow(t *testing.T) {
	path := filepath.Join(t.TempDir(), "endpoints.json")
	replace := func(text string) {
		t.Helper()
		next := path + ".next"
		if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(next, path); err != nil {
			t.Fatal(err)
		}
	}
	f := startFollow(t, path)
	f.expectStatus(t, "before there is a file", true)
	replace(`{"endpoints": [{"id": "a", "address": "127.0.0.1:1"}]}`)
	f.expectStatus(t, "for a first list", false)
	f.expectEndpoint(t, "for a first list", "a")
	replace(`{"endpoints": [{"id"`)
	f.expectStatus(t, "for an invalid list", true)
	replace(`{"endpoints": [{"id": "b", "address": "127.0.0.1:1"}]}`)
	f.expectStatus(t, "for a later list", false)
	f.expectEndpoint(t, "for a later list", "b")
	if len(f.lists) > 0 {
		t.Errorf("one more list: %+v", <-f.lists)
	}
}

func TestFollowReportsAMissingDirectory(t *testing.T) {
	f := startFollow(t, filepath.Join(t.TempDir(), "none", "endpoints.json"))
	f.expectStatus(t, "for the file", true)
	f.expectStatus(t, "for its directory", true)
}
