package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"rowancart/internal/testpeer"
)

const patience = testpeer.Patience

// site is a daemon that runs, and the file that it follows.
type site struct {
	*Daemon
	t     *testing.T
	path  string
	stop  context.CancelFunc
	ended chan error
	log   *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// serve starts a daemon on a configuration that is put between the listener and the admin listener.
func serve(t *testing.T, text string) *site {
	t.Helper()
	s := &site{t: t, path: filepath.Join(t.TempDir(), "rowancart.hcl"), ended: make(chan error, 1), log: &lockedBuffer{}}
	s.write(text)
	var err error
	s.Daemon, err = New(Options{ConfigPath: s.path, LookupEnv: os.LookupEnv, Log: slog.New(slog.NewTextHandler(s.log, nil))})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() { s.ended <- s.Run(ctx, nil); close(s.ended) }()
	t.Cleanup(func() {
		stop()
		<-s.ended
	})
	return s
}

const head = "listener \"front\" {\n  address = \"127.0.0.1:0\"\n}\nadmin {\n  listen = \"127.0.0.1:0\"\n}\nlimits {\n  stop_within = \"1s\"\n}\n" +
	"class \"look\" {\n  effect = \"safe\"\n}\nclass \"pay\" {\n  effect = \"unsafe\"\n}\n"

func (s *site) write(text string) {
	s.t.Helper()
	if err := os.WriteFile(s.path, []byte(head+text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// reload puts a configuration in force.
func (s *site) reload(text string) {
	s.t.Helper()
	s.write(text)
	if err := s.Reload(); err != nil {
		s.t.Error(err)
	}
}

// aPool words a pool of static endpoints, called a, b, ...
func aPool(name string, addrs ...string) string {
	text := fmt.Sprintf("pool %q {\n  roster \"static\" {\n", name)
	for i, addr := range addrs {
		text += fmt.Sprintf("    endpoint %q {\n      address = %q\n    }\n", string(rune('a'+i)), addr)
	}
	return text + "  }\n}\n"
}

// aRoute words a route, with more attributes.
func aRoute(name, path, class, pool, more string) string {
	return fmt.Sprintf("route %q {\n  path = %q\n  class = %q\n  pool = %q\n%s\n}\n", name, path, class, pool, more)
}

// ask sends a request and gives what came back.
func (s *site) ask(method, path string, header ...string) (int, string, http.Header) {
	s.t.Helper()
	r, err := http.NewRequest(method, "http://"+s.Addr("front").String()+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		s.t.Error(err)
		return 0, "", nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Error(err)
	}
	return resp.StatusCode, string(text), resp.Header
}

func answer(status, more, body string) func(net.Conn, *http.Request, int) bool {
	return testpeer.Says(fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, more, len(body), body), true)
}

func TestRequestsGoByRouteAndAnswersComeBackWhole(t *testing.T) {
	var id atomic.Value
	here := testpeer.New(t, func(nc net.Conn, r *http.Request, _ int) bool {
		id.Store(r.Header.Get("Req-Id"))
		io.WriteString(nc, "HTTP/1.1 201 Made\r\nX-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 4\r\n\r\nhere")
		return true
	})
	there := testpeer.New(t, answer("404 Not Found", "", "there"))
	s := serve(t, aPool("one", here.Addr)+aPool("two", there.Addr)+aRoute("a", "/a/*", "look", "one", "")+
		aRoute("b", "/a/b", "look", "two", `methods = ["GET", "POST"]`)+aRoute("gold", "/a/*", "look", "two", "header \"X-Tier\" {\n  equals = \"gold\"\n}"))
	if status, text, h := s.ask(http.MethodGet, "/a/x?y=1"); status != http.StatusCreated || text != "here" || h.Get("X-Own") != "1" || h.Get("X-Hop") != "" {
		t.Errorf("%d %q %v", status, text, h)
	}
	if first := id.Load(); first == "" {
		t.Error("a request without an id went on without one")
	} else if s.ask(http.MethodGet, "/a/x"); id.Load() == first {
		t.Errorf("two requests have the id %v", first)
	}
	for _, row := range []struct {
		method, path string
		header       []string
		status       int
	}{
		{http.MethodGet, "/a/b", nil, http.StatusNotFound},
		{http.MethodGet, "/a/x", []string{"X-Tier", "gold"}, http.StatusNotFound},
		{http.MethodGet, "/a/x", []string{"Req-Deadline-Ms", "soon"}, http.StatusBadRequest},
		{http.MethodGet, "/a/../b", nil, http.StatusBadRequest},
		{http.MethodGet, "/c", nil, http.StatusNotFound},
	} {
		if status, text, _ := s.ask(row.method, row.path, row.header...); status != row.status {
			t.Errorf("%s %s: %d %q", row.method, row.path, status, text)
		}
	}
	s.reload(aPool("two", there.Addr) + aRoute("b", "/b", "look", "two", `methods = ["GET", "POST"]`))
	if status, _, h := s.ask(http.MethodPut, "/b"); status != http.StatusMethodNotAllowed || h.Get("Allow") != "GET, POST" {
		t.Errorf("%d %v", status, h)
	}
}

func TestWhatIsUnsafeIsSentOnceAndWhatIsSafeAgain(t *testing.T) {
	breaks := testpeer.New(t, testpeer.Says("", false))
	errs := testpeer.New(t, answer("500 Oh", "", ""))
	s := serve(t, aPool("one", breaks.Addr)+aPool("two", errs.Addr)+aRoute("pays", "/pay", "pay", "one", "")+
		aRoute("looks", "/look", "look", "two", "policy {\n attempts = 2\n}"))
	if status, _, _ := s.ask(http.MethodPost, "/pay"); status != http.StatusBadGateway || breaks.Requests.Load() != 1 {
		t.Errorf("unsafe: %d after %d attempts", status, breaks.Requests.Load())
	}
	if status, _, h := s.ask(http.MethodGet, "/look"); status != http.StatusServiceUnavailable || errs.Requests.Load() != 2 || h.Get("Retry-After") == "" {
		t.Errorf("safe: %d after %d attempts", status, errs.Requests.Load())
	}
}

func TestLimitsTurnAwayAtOnce(t *testing.T) {
	came, release := make(chan bool, 10), make(chan bool)
	slow := testpeer.New(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		came <- true
		<-release
		io.WriteString(nc, testpeer.Served)
		return true
	})
	s := serve(t, aPool("one", slow.Addr)+aRoute("all", "/all", "look", "one", "policy {\n concurrency = 2\n tenant_concurrency = 1\n}")+
		aRoute("some", "/some", "look", "one", "policy {\n rate = \"1/h\"\n}"))
	var all sync.WaitGroup
	for _, owner := range []string{"a", "b"} {
		all.Go(func() {
			if status, _, _ := s.ask(http.MethodGet, "/all", "Req-Owner", owner); status != http.StatusOK {
				t.Errorf("%s: %d", owner, status)
			}
		})
		<-came
		if status, text, h := s.ask(http.MethodGet, "/all", "Req-Owner", owner); status != http.StatusServiceUnavailable ||
			!strings.Contains(text, "tenant concurrency") || h.Get("Retry-After") == "" {
			t.Errorf("%s again: %d %q", owner, status, text)
		}
	}
	if status, text, _ := s.ask(http.MethodGet, "/all", "Req-Owner", "c"); status != http.StatusServiceUnavailable || !strings.Contains(text, "route concurrency") {
		t.Errorf("a third: %d %q", status, text)
	}
	all.Go(func() { s.ask(http.MethodGet, "/some") })
	<-came
	if status, _, h := s.ask(http.MethodGet, "/some"); status != http.StatusTooManyRequests || h.Get("Retry-After") != "3600" {
		t.Errorf("over the rate: %d, back in %q", status, h.Get("Retry-After"))
	}
	close(release)
	all.Wait()
	if status, _, _ := s.ask(http.MethodGet, "/all"); status != http.StatusOK {
		t.Errorf("once all have ended: %d", status)
	}
}

// A request that waits for its first attempt's end when the file makes its class unsafe goes on as
// it came; the next does not.
func TestARequestKeepsThePolicyThatItCameWith(t *testing.T) {
	came, release := make(chan bool, 10), make(chan bool)
	e := testpeer.New(t, func(nc net.Conn, r *http.Request, n int) bool {
		came <- true
		<-release
		io.WriteString(nc, "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	text := aPool("one", e.Addr) + "retry"
	as := func(class string) string {
		return strings.Replace(text, "retry", aRoute("x", "/x", class, "one", "policy {\n attempts = 3\n}"), 1)
	}
	s := serve(t, as("look"))
	var all sync.WaitGroup
	all.Go(func() {
		if status, _, _ := s.ask(http.MethodGet, "/x"); status != http.StatusServiceUnavailable {
			t.Errorf("safe when it came: %d", status)
		}
	})
	<-came
	s.reload(as("pay"))
	release <- true
	<-came // again
	release <- true
	<-came
	release <- true
	all.Wait()
	all.Go(func() {
		if status, _, _ := s.ask(http.MethodGet, "/x"); status != http.StatusBadGateway {
			t.Errorf("unsafe when it came: %d", status)
		}
	})
	<-came
	release <- true
	all.Wait()
	if n := e.Requests.Load(); n != 4 {
		t.Errorf("%d attempts", n)
	}
}

// The pool that a reload takes away answers what it has taken, and is gone then, with its
// connections.
func TestAPoolThatWentAnswersWhatItHas(t *testing.T) {
	came, release := make(chan bool, 10), make(chan bool)
	old := testpeer.New(t, func(nc net.Conn, r *http.Request, _ int) bool {
		if r.URL.Path == "/slow" {
			came <- true
			<-release
		}
		io.WriteString(nc, testpeer.Served)
		return true
	})
	next := testpeer.New(t, testpeer.Says(testpeer.Served, true))
	s := serve(t, aPool("old", old.Addr)+aRoute("x", "/*", "look", "old", ""))
	var all sync.WaitGroup
	all.Go(func() {
		if status, _, _ := s.ask(http.MethodGet, "/slow"); status != http.StatusOK {
			t.Errorf("%d", status)
		}
	})
	<-came
	s.reload(aPool("new", next.Addr) + aRoute("x", "/*", "look", "new", ""))
	if status, _, _ := s.ask(http.MethodGet, "/x"); status != http.StatusOK || next.Requests.Load() != 1 {
		t.Errorf("%d, %d at the new pool", status, next.Requests.Load())
	}
	if st := s.Status(false); len(st.Pools) != 2 || st.DrainingGenerations != 1 {
		t.Errorf("with a request under way: %+v", st)
	}
	close(release)
	all.Wait()
	testpeer.Until(t, "the old pool ends", func() bool { st := s.Status(false); return len(st.Pools) == 1 && st.DrainingGenerations == 0 })
}

func TestAnEndpointThatMovesToAnotherPoolGetsNothingFromTheOld(t *testing.T) {
	a, b := testpeer.New(t, testpeer.Says(testpeer.Served, true)), testpeer.New(t, testpeer.Says(testpeer.Served, true))
	routes := aRoute("x", "/x", "look", "one", "") + aRoute("y", "/y", "look", "two", "")
	s := serve(t, aPool("one", a.Addr, b.Addr)+aPool("two", a.Addr)+routes)
	for range 4 {
		s.ask(http.MethodGet, "/x")
	}
	s.reload(aPool("one", a.Addr) + aPool("two", b.Addr) + routes)
	at := b.Requests.Load()
	for range 6 {
		s.ask(http.MethodGet, "/x")
	}
	if n := b.Requests.Load(); n != at {
		t.Errorf("%d requests of the old pool", n-at)
	}
	if s.ask(http.MethodGet, "/y"); b.Requests.Load() != at+1 {
		t.Error("none of the new pool")
	}
}

func TestABadFileChangesNothingAndSaysWhy(t *testing.T) {
	e := testpeer.New(t, testpeer.Says(testpeer.Served, true))
	good := aPool("one", e.Addr) + aRoute("x", "/x", "look", "one", "")
	s := serve(t, good)
	for _, bad := range []string{"route", good + aPool("one", e.Addr), good + "listener \"b\" {\n address = \"127.0.0.1:" +
		strings.Split(s.Addr("front").String(), ":")[1] + "\"\n}\n"} {
		s.write(bad)
		if err := s.Reload(); err == nil {
			t.Errorf("taken: %s", bad)
		}
		if st := s.Status(false); st.Generation != 1 || st.Reloads.LastError == "" {
			t.Errorf("%+v", st)
		}
		if status, _, _ := s.ask(http.MethodGet, "/x"); status != http.StatusOK {
			t.Errorf("%d", status)
		}
	}
	if !strings.Contains(s.log.String(), "the old configuration stays") {
		t.Error("the log does not say so")
	}
	s.reload(good)
	// The file watcher may have put the mended file in force before the explicit reload did so once
	// more. Either way each good reload makes exactly one generation, and no bad one makes any.
	mended := s.Status(false)
	if good := mended.Reloads.Succeeded; good < 1 || good > 2 || mended.Generation != 1+good || mended.Reloads.LastError != "" {
		t.Errorf("%+v", mended)
	}
	// The file in force is the file on disk now, so that the watcher has nothing left to reload.
	if err := s.Reload(); err != nil {
		t.Error(err)
	}
	if st := s.Status(false); st.Generation != mended.Generation+1 || st.Reloads.Succeeded != mended.Reloads.Succeeded+1 || st.Reloads.LastError != "" {
		t.Errorf("%+v after %+v", st, mended)
	}
}

// The file is followed: written in place, or replaced by rename.
func TestTheFileIsFollowed(t *testing.T) {
	a, b := testpeer.New(t, answer("200 OK", "", "a")), testpeer.New(t, answer("200 OK", "", "b"))
	s := serve(t, aPool("one", a.Addr)+aRoute("x", "/x", "look", "one", ""))
	says := func(want string) func() bool {
		return func() bool { _, text, _ := s.ask(http.MethodGet, "/x"); return text == want }
	}
	s.write(aPool("one", b.Addr) + aRoute("x", "/x", "look", "one", ""))
	testpeer.Until(t, "b serves", says("b"))
	next := s.path + "~"
	if err := os.WriteFile(next, []byte(head+aPool("one", a.Addr)+aRoute("x", "/x", "look", "one", "")), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, s.path); err != nil {
		t.Fatal(err)
	}
	testpeer.Until(t, "a serves", says("a"))
}

func TestARosterFileIsFollowed(t *testing.T) {
	a, b := testpeer.New(t, answer("200 OK", "", "a")), testpeer.New(t, answer("200 OK", "", "b"))
	list := func(addr string) string {
		return fmt.Sprintf(`{"endpoints": [{"id": "x", "address": %q}, {"id": "y", "address": "127.0.0.1:1", "state": "draining"}]}`, addr)
	}
	roster := filepath.Join(t.TempDir(), "boxes.json")
	put := func(text string) {
		if err := os.WriteFile(roster, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	put(list(a.Addr))
	s := serve(t, fmt.Sprintf("pool \"one\" {\n  roster \"file\" {\n    path = %q\n  }\n}\n", roster)+aRoute("x", "/x", "look", "one", ""))
	says := func(want string) func() bool {
		return func() bool { _, text, _ := s.ask(http.MethodGet, "/x"); return text == want }
	}
	testpeer.Until(t, "a serves", says("a"))
	put(list(b.Addr)[:40]) // half written
	testpeer.Until(t, "the status says so", func() bool { return strings.Contains(s.Status(false).Pools[0].SourceError, "unexpected EOF") })
	if !says("a")() {
		t.Error("half a list took a away")
	}
	put(list(b.Addr))
	testpeer.Until(t, "b serves", says("b"))
	if st := s.Status(false).Pools[0]; st.SourceError != "" || st.Ready != 1 || st.Draining != 1 {
		t.Errorf("%+v", st)
	}
}

func TestAListenerThatWentServesWhatItHas(t *testing.T) {
	came, release := make(chan bool, 10), make(chan bool)
	e := testpeer.New(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		came <- true
		<-release
		io.WriteString(nc, testpeer.Served)
		return true
	})
	path := filepath.Join(t.TempDir(), "sock")
	base := aPool("one", e.Addr) + aRoute("x", "/x", "look", "one", "")
	s := serve(t, base+fmt.Sprintf("listener \"side\" {\n  address = \"unix:%s\"\n}\n", path))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) {
		return net.Dial("unix", path)
	}}}
	var all sync.WaitGroup
	all.Go(func() {
		resp, err := client.Get("http://side/x")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%v, %v", resp, err)
			return
		}
		resp.Body.Close()
	})
	<-came
	s.reload(base)
	if s.Addr("side") != nil {
		t.Error("the listener is still there")
	}
	close(release)
	all.Wait()
	testpeer.Until(t, "the listener ends", func() bool { st := s.Status(false); return len(st.Listeners) == 1 && st.DrainingGenerations == 0 })
}

// A thousand reloads under load: nothing is lost, nothing is judged by a mixture of two files, and
// nothing is left behind.
func TestAThousandReloadsUnderLoad(t *testing.T) {
	reloads := 1000
	if testing.Short() {
		reloads = 100
	}
	a, b := testpeer.New(t, answer("200 OK", "", "a")), testpeer.New(t, answer("200 OK", "", "b"))
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	// By either file path and pool belong together: /a to a, /b to b. Each file has one of the routes
	// under another name and pool.
	texts := []string{
		aPool("p1", a.Addr) + aPool("p2", b.Addr) + aRoute("r1", "/a", "look", "p1", "policy {\n concurrency = 100\n}") + aRoute("r2", "/b", "look", "p2", ""),
		aPool("p1", b.Addr) + aPool("p3", a.Addr) + aRoute("r1", "/b", "look", "p1", "policy {\n attempt_timeout = \"3s\"\n}") + aRoute("r3", "/a", "look", "p3", ""),
	}
	s := serve(t, texts[0])
	addr := "http://" + s.Addr("front").String()
	ctx, end := context.WithCancel(t.Context())
	var load sync.WaitGroup
	var served atomic.Int64
	transport := &http.Transport{}
	client := &http.Client{Transport: transport}
	for i := range 8 {
		load.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				want := string("ab"[(n+i)%2])
				resp, err := client.Get(addr + "/" + want)
				if err != nil {
					t.Error(err)
					return
				}
				text, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK || string(text) != want {
					t.Errorf("/%s: %d %q %v", want, resp.StatusCode, text, err)
					return
				}
				served.Add(1)
			}
		})
	}
	for i := range reloads {
		at := served.Load()
		s.reload(texts[(i+1)%2])
		if i%10 == 0 { // the load must have its share
			testpeer.Until(t, "requests are served", func() bool { return served.Load() > at || t.Failed() })
		}
	}
	end()
	load.Wait()
	transport.CloseIdleConnections()
	testpeer.Until(t, "old generations end", func() bool { return s.Status(false).DrainingGenerations == 0 })
	st := s.Status(false)
	if st.Generation <= reloads || len(st.Pools) != 2 || len(st.Listeners) != 1 {
		t.Errorf("%+v", st)
	}
	for _, r := range st.Routes {
		if r.InFlight != 0 {
			t.Errorf("%+v", r)
		}
	}
	s.stop()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	t.Logf("%d requests served", served.Load())
}

// What is learned of endpoints stays: a slow one gets no more after a reload than before.
func TestWhatWasLearnedStays(t *testing.T) {
	quick := testpeer.New(t, answer("200 OK", "", "quick"))
	broken := testpeer.New(t, answer("500 Oh", "", ""))
	text := func(n int) string {
		return aPool("one", quick.Addr, broken.Addr) + aRoute("x", "/x", "look", "one", fmt.Sprintf("policy {\n queue = %d\n}", n))
	}
	s := serve(t, text(1))
	for range 20 {
		s.ask(http.MethodGet, "/x")
	}
	before := broken.Requests.Load()
	for n := range 10 {
		s.reload(text(n + 2))
		s.ask(http.MethodGet, "/x")
	}
	if n := broken.Requests.Load() - before; n > 3 { // a trial now and then is meant
		t.Errorf("%d of 10 requests went to an endpoint known to fail", n)
	}
}

// end stops a daemon and waits for its end.
func (s *site) end() {
	s.stop()
	if err := <-s.ended; err != nil {
		s.t.Error(err)
	}
}

func TestASuccessorBeginsWithWhatWasLearned(t *testing.T) {
	quick := testpeer.New(t, answer("200 OK", "", "quick"))
	broken := testpeer.New(t, answer("500 Oh", "", ""))
	state := filepath.Join(t.TempDir(), "state")
	text := fmt.Sprintf("state {\n path = %q\n}\n", state) + aPool("one", quick.Addr, broken.Addr) + aRoute("x", "/x", "look", "one", "")
	s := serve(t, text)
	for range 30 {
		s.ask(http.MethodGet, "/x")
	}
	s.end()
	before := broken.Requests.Load()
	if before == 0 {
		t.Fatal("the broken endpoint was never asked")
	}
	s = serve(t, text)
	for range 5 {
		s.ask(http.MethodGet, "/x")
	}
	if n := broken.Requests.Load() - before; n > 1 { // a trial that was due
		t.Errorf("%d of 5 requests went to an endpoint that was known to fail", n)
	}
	s.end()

	if err := os.WriteFile(state, []byte("not a snapshot\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s = serve(t, text)
	if status, _, _ := s.ask(http.MethodGet, "/x"); status != http.StatusOK {
		t.Errorf("with a broken snapshot: %d", status)
	}
	if n := strings.Count(s.log.String(), "starting without what was learned"); n != 1 {
		t.Errorf("told %d times:\n%s", n, s.log)
	}
}

func TestARosterThatIsSilentAtTheStartStandsAsItWas(t *testing.T) {
	box, other := testpeer.New(t, answer("200 OK", "", "old")), testpeer.New(t, answer("200 OK", "", "new"))
	dir := t.TempDir()
	roster := filepath.Join(dir, "roster.json")
	list := func(id, addr string) {
		if err := os.WriteFile(roster, fmt.Appendf(nil, `{"endpoints": [{"id": %q, "address": %q, "state": "ready"}]}`, id, addr), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	text := fmt.Sprintf("state {\n path = %q\n}\npool \"one\" {\n roster \"file\" {\n  path = %q\n }\n}\n", filepath.Join(dir, "state"), roster) +
		aRoute("x", "/x", "look", "one", "")
	s := serve(t, text)
	list("a", box.Addr)
	testpeer.Until(t, "the roster is heard", func() bool { _, body, _ := s.ask(http.MethodGet, "/x"); return body == "old" })
	s.end()
	if err := os.Remove(roster); err != nil {
		t.Fatal(err)
	}
	s = serve(t, text)
	if status, body, _ := s.ask(http.MethodGet, "/x"); status != http.StatusOK || body != "old" {
		t.Errorf("with no roster: %d %q", status, body)
	}
	list("b", other.Addr)
	testpeer.Until(t, "the roster is heard", func() bool { _, body, _ := s.ask(http.MethodGet, "/x"); return body == "new" })
}

func TestAStateThatCannotBeKeptIsToldOnceAndHarmsNothing(t *testing.T) {
	box := testpeer.New(t, answer("200 OK", "", "x"))
	s := serve(t, fmt.Sprintf("state {\n path = %q\n every = \"1s\"\n}\n", filepath.Join(t.TempDir(), "none", "state"))+
		aPool("one", box.Addr)+aRoute("x", "/x", "look", "one", ""))
	testpeer.Until(t, "it is told", func() bool { return strings.Contains(s.log.String(), "the snapshot cannot be saved") })
	if status, _, _ := s.ask(http.MethodGet, "/x"); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	s.end() // it is tried once more
	if n := strings.Count(s.log.String(), "the snapshot cannot be saved"); n != 1 {
		t.Errorf("told %d times:\n%s", n, s.log)
	}
}

func TestAnInstanceSendsToItsPartOnly(t *testing.T) {
	var boxes []*testpeer.Endpoint
	var addrs []string
	for range 9 {
		boxes = append(boxes, testpeer.New(t, answer("200 OK", "", "x")))
		addrs = append(addrs, boxes[len(boxes)-1].Addr)
	}
	text := func(index, size int) string {
		return fmt.Sprintf("fleet {\n instances = 9\n index = %d\n}\n", index) + aRoute("x", "/x", "look", "one", "") +
			strings.Replace(aPool("one", addrs...), "{\n", fmt.Sprintf("{\n subset = %d\n", size), 1)
	}
	was := make([]int32, len(boxes))
	// asked sends requests until so many boxes have had some, and more to see that it remains at that.
	asked := func(s *site, want int) (places []int) {
		for more, end := 0, time.Now().Add(patience); more < 50 && time.Now().Before(end); {
			s.ask(http.MethodGet, "/x")
			for i, b := range boxes {
				if n := b.Requests.Load(); n > was[i] {
					if was[i] = n; !slices.Contains(places, i) {
						places = append(places, i)
					}
				}
			}
			if len(places) >= want {
				more++
			}
		}
		return places
	}
	s := serve(t, text(0, 3))
	first := asked(s, 3)
	s.reload(text(1, 3)) // half way round the ring
	second := asked(s, 3)
	if len(first) != 3 || len(second) != 3 || slices.ContainsFunc(first, func(i int) bool { return slices.Contains(second, i) }) {
		t.Errorf("asked %v, and at another place %v", first, second)
	}
	s.reload(text(1, 5))
	if third := asked(s, 5); len(third) != 5 {
		t.Errorf("of a part of 5, %v were asked", third)
	}
}

func TestTheAdminListenerTellsAndReloads(t *testing.T) {
	e := testpeer.New(t, testpeer.Says(testpeer.Served, true))
	s := serve(t, aPool("one", e.Addr)+aRoute("x", "/x", "look", "one", ""))
	s.ask(http.MethodGet, "/x")
	get := func(method, path string) (int, string) {
		r, _ := http.NewRequest(method, "http://"+s.AdminAddr().String()+path, nil)
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	for path, wants := range map[string][]string{
		"/healthz": {"ok"},
		"/status":  {`"generation": 1`, `"name": "one"`, `"ready": 1`, `"class": "look"`},
		"/metrics": {`rowancart_answers_total{kind="served",route="x"} 1`, `rowancart_endpoints{pool="one",state="ready"} 1`, "rowancart_generation 1",
			`rowancart_answer_seconds_count{route="x"} 1`, `rowancart_worth_total{kind="served",route="x"} 1`},
	} {
		status, text := get(http.MethodGet, path)
		for _, want := range wants {
			if status != http.StatusOK || !strings.Contains(text, want) {
				t.Errorf("%s has no %s: %d\n%s", path, want, status, text)
			}
		}
	}
	s.write("x")
	if status, text := get(http.MethodPost, "/reload"); status != http.StatusUnprocessableEntity || !strings.Contains(text, "rowancart.hcl:") {
		t.Errorf("a bad file: %d %q", status, text)
	}
}

// All that was taken is answered before the end, and what will not end is cut off in time.
func TestTheEndAnswersWhatWasTakenAndHasALimit(t *testing.T) {
	came, release := make(chan bool, 10), make(chan bool)
	e := testpeer.New(t, func(nc net.Conn, r *http.Request, _ int) bool {
		came <- true
		<-release
		io.WriteString(nc, testpeer.Served)
		return true
	})
	s := serve(t, aPool("one", e.Addr)+aRoute("x", "/x", "look", "one", ""))
	var all sync.WaitGroup
	all.Go(func() {
		if status, _, _ := s.ask(http.MethodGet, "/x"); status != http.StatusOK {
			t.Errorf("%d", status)
		}
	})
	<-came
	s.stop()
	close(release)
	all.Wait()
	select {
	case err := <-s.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Error("never ended")
	}
	hung := testpeer.New(t, func(nc net.Conn, _ *http.Request, _ int) bool { came <- true; nc.Read(make([]byte, 1)); return false })
	s = serve(t, aPool("one", hung.Addr)+aRoute("x", "/x", "look", "one", ""))
	nc, err := net.Dial("tcp", s.Addr("front").String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	<-came
	s.stop()
	select {
	case <-s.ended:
	case <-time.After(patience):
		t.Error("a request that never ends holds up the end")
	}
	if !strings.Contains(s.log.String(), "the time for it is over") {
		t.Error("it was not cut off")
	}
	if n := hung.Requests.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// Connections beyond the limit are told so at once, and idle ones give way before that.
func TestTooManyConnectionsAreToldSoAtOnce(t *testing.T) {
	came, release := make(chan bool, 100), make(chan bool)
	e := testpeer.New(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		came <- true
		<-release
		io.WriteString(nc, testpeer.Served)
		return true
	})
	path := filepath.Join(t.TempDir(), "x.hcl")
	text := strings.Replace(head, "stop_within", "connections = 16\n  stop_within", 1) + aPool("one", e.Addr) + aRoute("x", "/x", "look", "one", "")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d, err := New(Options{ConfigPath: path, LookupEnv: os.LookupEnv, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, nil) }()
	s := &site{Daemon: d, t: t}
	var all sync.WaitGroup
	for range 6 { // the room that the module begins with
		all.Go(func() { s.ask(http.MethodGet, "/x") })
		<-came
	}
	var held []net.Conn
	for range 10 { // and ten that send nothing yet
		nc, err := net.Dial("tcp", s.Addr("front").String())
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, nc)
	}
	testpeer.Until(t, "all places are taken", func() bool { return s.Status(false).Listeners[0].Connections == 16 })
	if status, text, h := s.ask(http.MethodGet, "/x"); status != http.StatusServiceUnavailable || text != "too many connections\n" || h.Get("Retry-After") != "1" {
		t.Errorf("%d %q %v", status, text, h)
	}
	for _, nc := range held {
		nc.Close()
	}
	close(release)
	all.Wait()
	if n := s.Status(false).Listeners[0].RejectedConnections; n != 1 {
		t.Errorf("%d turned away", n)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A snapshot of another instance, here one of another number, is not taken for this one's: it says
// so once and begins anew. One of a fleet that has grown since is its own.
func TestASnapshotOfAnotherInstanceIsNotUsed(t *testing.T) {
	quick := testpeer.New(t, answer("200 OK", "", "quick"))
	state := filepath.Join(t.TempDir(), "state")
	text := func(index int, of ...int) string {
		return fmt.Sprintf("state {\n path = %q\n}\nfleet {\n instances = %d\n index = %d\n}\n", state, append(of, 2)[0], index) +
			aPool("one", quick.Addr) + aRoute("x", "/x", "look", "one", "")
	}
	s := serve(t, text(0))
	s.ask(http.MethodGet, "/x")
	s.end()
	s = serve(t, text(0, 3)) // one more in the fleet: still the same instance
	if !strings.Contains(s.log.String(), "starting with what was learned") {
		t.Errorf("its own snapshot is not used:\n%s", s.log)
	}
	s.end()
	s = serve(t, text(1))
	if status, _, _ := s.ask(http.MethodGet, "/x"); status != http.StatusOK {
		t.Errorf("with another's snapshot: %d", status)
	}
	if log := s.log.String(); strings.Count(log, "starting without what was learned") != 1 || !strings.Contains(log, "index-0's") {
		t.Errorf("not told once whose it is:\n%s", log)
	}
}
