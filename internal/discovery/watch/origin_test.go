package watch

import (
	"testing"

	"rowancart/internal/platform"
)

// Guards against a list of another process that replaces a newer one, or is replaced by an older
// one.
func TestNewerListOfAnotherProcessIsAdopted(t *testing.T) {
	c := startClient(t, 41, nil,
		stayOpen(changes(42)+"\n"),
		stayOpen(changes(50)+"\n"))
	c.expectVersions(t, 42)
	applied := 0
	adopt := func(addr string, epoch, version int64) bool {
		origin := Origin{Addr: addr, Position: Position{Epoch: epoch, Version: version}}
		return c.Adopt(origin, func() { applied++ })
	}
	if adopt(c.addr, 0, 42) || adopt(c.addr, 0, 7) || adopt("127.0.0.1:1", 0, 60) || applied > 0 {
		t.Errorf("a list was adopted that is not newer, or from another address; %d applied", applied)
	}
	if !adopt(c.addr, 0, 45) || applied != 1 {
		t.Errorf("the newer list was not adopted; %d applied", applied)
	}
	c.expectVersions(t, 50)
	c.expectCalls(t, "watch=1&after=41", "watch=1&after=45")
}

// Guards against versions of two addresses, or of before and after a loss of discovery's state,
// that are compared.
func TestOriginCountsEpochs(t *testing.T) {
	c := startClient(t, 41, nil,
		respond(changes(42)+"\n"),
		stayOpen(completeList(3, listed("a", "127.0.0.1:1", platform.StateReady))+"\n"))
	c.expectVersions(t, 42, 3)
	addr, _ := startDiscovery(t, respond(completeList(7)), stayOpen(changes(8)+"\n"))
	var before, after Origin
	c.WithOrigin(func(o Origin) { before = o })
	if want := (Position{Epoch: 1, Version: 3}); before.Position != want {
		t.Errorf("position %+v after the versions began anew, want %+v", before.Position, want)
	}
	c.SetAddress(addr)
	c.expectVersions(t, 7, 8)
	c.WithOrigin(func(o Origin) { after = o })
	if want := (Origin{Addr: addr, Position: Position{Epoch: 2, Version: 8}}); after != want {
		t.Errorf("origin %+v after the move, want %+v", after, want)
	}
}
