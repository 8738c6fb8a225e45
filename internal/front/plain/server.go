// Package plain is the front for callers that speak HTTP/1.1: it reads a request, asks the desk whom it is for, hands it
// to an engine and writes the one answer.
package plain

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tuliprock"
	"tuliprock/internal/engine"
)

// What callers are answered. Only a refusal is 503, and nothing is 429: both promise that nothing has run.
const (
	statusServed    = http.StatusOK
	statusRefused   = http.StatusServiceUnavailable
	statusFailed    = http.StatusBadGateway
	statusDuplicate = http.StatusConflict
)

const (
	idHeader     = "Req-Id"
	keyHeader    = "Idempotency-Key"
	healthPath   = "/_health"
	maxID        = 256
	maxDeadline  = time.Hour
	wayBack      = 10 * time.Millisecond  // kept of a deadline for the way here and back: 0.4 ms here (p99), the rest the network's
	headTimeout  = 2 * time.Second        // with bodyTimeout it keeps under the 3 s in which an improper peer is owed an end
	bodyTimeout  = 800 * time.Millisecond // a body is 64 KiB at most, and follows its head
	writeTimeout = 5 * time.Second
	callersIdle  = 5 * time.Minute
)

// Desk knows whom a request is for.
type Desk interface {
	// Receive says who is to serve a request, or why nobody does. The request's body has been read.
	Receive(r *http.Request) (Visit, *Refusal)
}

// Visit is a request that has found its engine.
type Visit struct {
	Engine   *engine.Engine
	Class    string // as the engine's settings name it
	Effect   tuliprock.Effect
	Tenant   string
	Wait     time.Duration                   // how long a caller waits who does not say so; 0: it must say so
	MostWait time.Duration                   // how long it is served at most; 0: as long as it waits
	AnyForm  bool                            // methods and bodies are as the desk has found them; else the class decides them
	ID       string                          // for a request that brings none; empty: it must bring one
	Over     func(taken bool, k engine.Kind) // is told once whether an engine took the request, and its answer; nil: nobody asks
}

// Refusal is what a request is answered that nobody serves.
type Refusal struct {
	Status     int
	Reason     string
	RetryAfter time.Duration // 0: no advice
	Allow      []string      // methods that would do
	Close      bool          // ends the connection
}

func improper(status int, reason string) *Refusal {
	return &Refusal{Status: status, Reason: reason, Close: true}
}

// Server is the callers' side, a handler of requests.
type Server struct {
	desk        Desk
	host        string // stands in where an HTTP/1.0 caller names no host
	log         *slog.Logger
	bodyTimeout time.Duration
	ending      atomic.Bool
}

// New returns a server. Host stands in where a caller names none.
func New(d Desk, host string, log *slog.Logger) *Server {
	return &Server{desk: d, host: host, log: log, bodyTimeout: bodyTimeout}
}

// End makes answers close their connections from now on.
func (s *Server) End() { s.ending.Store(true) }

// LimitBodies sets how long a body may take to come. It must be called before the first request comes.
func (s *Server) LimitBodies(d time.Duration) { s.bodyTimeout = d }

// HTTP gives what serves the connections of Conns.
func (s *Server) HTTP(c *Conns) *http.Server {
	return &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: callersIdle, MaxHeaderBytes: engine.MaxHead,
		ConnState: c.track, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelWarn)}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	w = &closing{w, &s.ending}
	if f := checkFraming(r); f != nil {
		f.write(w)
		return
	}
	// The body comes first: net/http would wait without limit for the rest of one that was not read.
	body, f := s.readBody(w, r)
	if f != nil {
		f.write(w)
		return
	}
	if r.URL.Path == healthPath {
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "ok\n")
		return
	}
	v, f := s.desk.Receive(r)
	if f != nil {
		f.write(w)
		return
	}
	taken, kind := false, engine.Failed
	if v.Over != nil {
		defer func() { v.Over(taken, kind) }()
	}
	c, f := s.read(r, &v, body, arrived)
	if f != nil {
		f.write(w)
		return
	}
	taken = true
	a := v.Engine.Do(r.Context(), c)
	kind = a.Kind
	write(w, a) // also where the caller has left: net/http would answer 200 for us, and one half-closed may still read
}

// write answers a request that nobody serves. What is no proper request ends its connection: whatever follows on it, the
// rest of a body or a request hidden in one, is never read.
func (f *Refusal) write(w http.ResponseWriter) {
	if f.Close {
		w.Header().Set("Connection", "close")
	}
	advise(w.Header(), f.RetryAfter)
	if len(f.Allow) > 0 {
		w.Header().Set("Allow", strings.Join(f.Allow, ", "))
	}
	http.Error(w, f.Reason, f.Status)
}

// advise says when trying again makes sense.
func advise(h http.Header, after time.Duration) {
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}

// checkFraming guards against a request hidden in the body of another (RFC 9112, 11.2). net/http drops a
// Content-Length that comes with Transfer-Encoding before a handler can see it, and Transfer-Encoding from HTTP/1.0,
// and reads on behind what it takes for the end. Callers state lengths, so no other framing is taken.
func checkFraming(r *http.Request) *Refusal {
	switch {
	case len(r.TransferEncoding) > 0:
		return improper(http.StatusLengthRequired, "Content-Length: wanted, without Transfer-Encoding")
	case r.ContentLength != 0 && !r.ProtoAtLeast(1, 1):
		return improper(http.StatusHTTPVersionNotSupported, "a body is not taken in this version")
	}
	return nil
}

// closing is a ResponseWriter that says Connection: close once the sidecar is about to end.
type closing struct {
	http.ResponseWriter
	ending *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closing) WriteHeader(status int) {
	if w.ending.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController find the writer beneath.
func (w *closing) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// read makes a call of a request, or says what is wrong with it.
func (s *Server) read(r *http.Request, v *Visit, body []byte, arrived time.Time) (*engine.Call, *Refusal) {
	if err := checkForm(r.Method, v.Effect, body); err != nil && !v.AnyForm {
		return nil, improper(http.StatusMethodNotAllowed, err.Error())
	}
	id, header := v.ID, endToEnd(r.Header)
	if values := r.Header.Values(idHeader); len(values) > 0 || id == "" {
		var err error
		if id, err = one(values, idHeader); err != nil || len(id) > maxID {
			return nil, improper(http.StatusBadRequest, "Req-Id: one of moderate length is wanted")
		}
	} else {
		header.Set(idHeader, id)
	}
	wait := v.Wait
	if values := r.Header.Values(engine.DeadlineHeader); len(values) > 0 || wait == 0 {
		text, err := one(values, engine.DeadlineHeader)
		if err != nil {
			return nil, improper(http.StatusBadRequest, err.Error())
		}
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
			return nil, improper(http.StatusBadRequest, fmt.Sprintf("%s: %.40q is no usable time", engine.DeadlineHeader, text))
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	wait -= wayBack
	if v.MostWait > 0 {
		wait = min(wait, v.MostWait)
	}
	if v.Effect == tuliprock.Keyed && r.Header.Get(keyHeader) == "" { // endpoints could not drop its repeats
		return nil, improper(http.StatusBadRequest, "Idempotency-Key: missing")
	}
	return engine.NewCall(tuliprock.Request{ID: id, Class: v.Class, Tenant: v.Tenant,
		Deadline: v.Engine.Now() - time.Since(arrived) + wait, Repeat: r.Header.Get("Req-Retry") == "1"},
		&engine.Message{Method: r.Method, URL: r.URL, Host: cmp.Or(r.Host, s.host), Header: header, Body: body}), nil
}

// checkForm holds a request to the form that its class decides: what is safe is asked for with no body.
func checkForm(method string, e tuliprock.Effect, body []byte) error {
	switch {
	case e == tuliprock.Safe && (method != http.MethodGet || len(body) > 0):
		return errors.New("the class takes GET with no body")
	case e != tuliprock.Safe && method != http.MethodPost:
		return errors.New("the class takes POST")
	}
	return nil
}

// one gives the value of a header that must come exactly once.
func one(v []string, name string) (string, error) {
	if len(v) != 1 || v[0] == "" {
		return "", fmt.Errorf("%s: exactly one is wanted", name)
	}
	return v[0], nil
}

// readBody reads a body whole, in bounded time. The time limit must be lifted afterwards: while a request waits for
// its answer, a read that times out looks to net/http like a caller that has left.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(s.bodyTimeout)); err != nil {
		return nil, improper(http.StatusBadRequest, err.Error())
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, engine.MaxBody))
	if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
		return nil, improper(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return nil, improper(http.StatusBadRequest, "the body can't be read")
	}
	return body, nil
}

// endToEnd gives the headers that go on. Whatever Connection names, the id and the key go on unchanged.
func endToEnd(in http.Header) http.Header {
	out := engine.EndToEnd(in)
	for _, name := range []string{idHeader, keyHeader} {
		if v := in.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

// statuses are what the kinds of answers are to callers.
var statuses = map[engine.Kind]int{engine.Served: statusServed, engine.Refused: statusRefused, engine.Failed: statusFailed,
	engine.Duplicate: statusDuplicate}

// write sends the final answer.
func write(w http.ResponseWriter, r engine.Reply) {
	// Bounded, so that a caller that does not read can't hold a connection for good. An error means that it left.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	status, body := statuses[r.Kind], r.Answer.Body
	if r.Kind == engine.Served {
		status = r.Answer.Status
		maps.Copy(h, r.Answer.Header)
		if len(h["Content-Type"]) == 0 {
			h["Content-Type"] = nil // net/http must not guess it
		}
	} else {
		body = []byte(http.StatusText(status) + "\n")
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	advise(h, r.RetryAfter)
	if len(body) > 0 || h.Get("Content-Length") == "" { // an answer to HEAD has the length of what it stands for
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
