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

// recorder records the calls that Follow makes.
type recorder struct {
	lists    chan proxy.EndpointList
	statuses chan error
}

// startFollow runs Follow until the end of the test.
func startFollow(t *testing.T, path string) *recorder {
	t.Helper()
	r := &recorder{lists: make(chan proxy.EndpointList, 100), statuses: make(chan error, 100)}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		Follow(ctx, path, func(l proxy.EndpointList) { r.lists <- l }, func(err error) { r.statuses <- err },
			slog.New(slog.DiscardHandler))
	}()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

// nextStatus waits for the next status.
func (r *recorder) nextStatus(t *testing.T, when string) error {
	t.Helper()
	testpeer.WaitUntil(t, "a status "+when, func() bool { return len(r.statuses) > 0 })
	return <-r.statuses
}

func (r *recorder) expectError(t *testing.T, when string) {
	t.Helper()
	if err := r.nextStatus(t, when); err == nil {
		t.Errorf("%s: no error", when)
	}
}

func (r *recorder) expectNoError(t *testing.T, when string) {
	t.Helper()
	if err := r.nextStatus(t, when); err != nil {
		t.Errorf("%s: %v", when, err)
	}
}

// expectEndpoint waits for the next list, which must consist of the endpoint with the given id.
func (r *recorder) expectEndpoint(t *testing.T, when, id string) {
	t.Helper()
	testpeer.WaitUntil(t, "a list "+when, func() bool { return len(r.lists) > 0 })
	if l := <-r.lists; len(l.Endpoints) != 1 || l.Endpoints[0].ID != id {
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
	r := startFollow(t, path)
	r.expectError(t, "before there is a file")
	replace(`{"endpoints": [{"id": "a", "address": "127.0.0.1:1"}]}`)
	r.expectNoError(t, "for a first list")
	r.expectEndpoint(t, "for a first list", "a")
	replace(`{"endpoints": [{"id"`)
	r.expectError(t, "for an invalid list")
	replace(`{"endpoints": [{"id": "b", "address": "127.0.0.1:1"}]}`)
	r.expectNoError(t, "for a later list")
	r.expectEndpoint(t, "for a later list", "b")
	if len(r.lists) > 0 {
		t.Errorf("unexpected further list: %+v", <-r.lists)
	}
}

func TestFollowReportsAMissingDirectory(t *testing.T) {
	r := startFollow(t, filepath.Join(t.TempDir(), "none", "endpoints.json"))
	r.expectError(t, "for the file")
	r.expectError(t, "for its directory")
}
