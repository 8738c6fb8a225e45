package stress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"rowancart/internal/platform"
	"rowancart/internal/testpeer"
)

const (
	uploadDeadline = time.Second            // of the client of an upload, after its last byte
	answerSlack    = 550 * time.Millisecond // after which an answer counts as lost
	slowBody       = 512 << 10              // bytes of an answer that is written slowly
)

// respondSlowly returns a responder that writes the body of an answer in pieces, with a pause
// before each. The answer's framing is that of the head and of framePiece; end follows the last
// piece.
func respondSlowly(head, end string, pause time.Duration, framePiece func([]byte) string) responder {
	return func(conn net.Conn, _ *http.Request) bool {
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"\r\n"); err != nil {
			return false
		}
		for sent := 0; sent < slowBody; sent += pieceSize {
			time.Sleep(pause)
			if _, err := io.WriteString(conn, framePiece(piece)); err != nil {
				return false
			}
		}
		_, _ = io.WriteString(conn, end)
		return false
	}
}

// Guards against long answers that are cut off while their endpoint is still writing them slowly,
// long after the time of the request.
func TestSlowlyWrittenAnswersAreNotCutOff(t *testing.T) {
	const pause = 150 * time.Millisecond // before each of 32 pieces
	plain := func(b []byte) string { return string(b) }
	chunk := func(b []byte) string { return fmt.Sprintf("%x\r\n%s\r\n", len(b), b) }
	responders := map[string]responder{
		"known length": respondSlowly(fmt.Sprintf("Content-Length: %d\r\n", slowBody), "", pause, plain),
		"chunks":       respondSlowly("Transfer-Encoding: chunked\r\n", "0\r\n\r\n", pause, chunk),
		"until close":  respondSlowly("Connection: close\r\n", "", pause, plain),
	}
	forEachProgram(t, func(t *testing.T, program programName, descriptors int) {
		for change, apply := range midwayChanges(program) {
			for name, respond := range responders {
				t.Run(change+"/"+name, func(t *testing.T) {
					t.Parallel()
					_, addrs := startEndpoints(t, respond)
					o := options{program: program, descriptors: descriptors, endpoints: addrs}
					p := start(t, o)
					requireWholeAnswer(t, p, func() { apply(t, p, o) })
				})
			}
		}
	})
}

// midwayChanges returns what may happen while an answer is on its way, by name.
func midwayChanges(program programName) map[string]func(*testing.T, *process, options) {
	nothing := func(*testing.T, *process, options) {}
	if program == daemonProgram {
		return map[string]func(*testing.T, *process, options){
			"no change": nothing,
			"reload without the endpoints": func(t *testing.T, p *process, o options) {
				o.endpoints = []string{"127.0.0.1:1"}
				writeFile(t, p.config, daemonConfig(o))
				_ = p.cmd.Process.Signal(syscall.SIGHUP)
			},
			"handover": func(t *testing.T, p *process, _ options) { p.startSuccessor(t) },
			"SIGTERM":  func(_ *testing.T, p *process, _ options) { _ = p.cmd.Process.Signal(syscall.SIGTERM) },
		}
	}
	publish := func(state platform.State) func(*testing.T, *process, options) {
		return func(_ *testing.T, p *process, o options) {
			for i, addr := range o.endpoints {
				p.discovery.Publish(testpeer.ListedEndpoint(fmt.Sprintf("s-%d", i), addr, state))
			}
		}
	}
	return map[string]func(*testing.T, *process, options){
		"no change":          nothing,
		"endpoints drain":    publish(platform.StateDraining),
		"endpoints are gone": publish(platform.StateRemoved),
	}
}

// requireWholeAnswer sends a request with a time of 1 s, calls midway once its answer has begun,
// and fails the test unless the whole answer arrives.
func requireWholeAnswer(t *testing.T, p *process, midway func()) {
	t.Helper()
	conn, err := p.dial()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET /look/a HTTP/1.1\r\nHost: h\r\nReq-Id: slow\r\nReq-Deadline-Ms: 1000\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	midway()
	n, err := io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK || n != slowBody || err != nil {
		t.Errorf("status %d, %d of %d bytes, error %v", resp.StatusCode, n, slowBody, err)
	}
}

// slowReaders are the ways in which endpoints read an upload slowly.
var slowReaders = map[string]responder{
	"not at all": func(_ net.Conn, _ *http.Request) bool {
		time.Sleep(time.Minute)
		return false
	},
	"in small pieces": func(conn net.Conn, r *http.Request) bool {
		const size, pause = 16 << 10, 20 * time.Millisecond // 800 KB/s
		buffer := make([]byte, size)
		for {
			if _, err := io.ReadFull(r.Body, buffer); err != nil {
				return respondOK(conn, r)
			}
			time.Sleep(pause)
		}
	},
	"after a pause": func(conn net.Conn, r *http.Request) bool {
		time.Sleep(3 * time.Second)
		return respondOK(conn, r)
	},
}

// uploadResult is what a client got for an upload.
type uploadResult struct {
	status    int
	afterLast time.Duration // from its last byte to the answer
	sending   time.Duration // from its first to its last byte
	complete  bool          // the client could send everything before the answer
}

// uploadRequest is an upload that a client sends.
type uploadRequest struct {
	id      string
	size    int
	chunked bool
	wait    time.Duration // of the client, after its last byte
}

// head returns the head of the request.
func (r uploadRequest) head() string {
	framing := fmt.Sprint("Content-Length: ", r.size)
	if r.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("POST /pay/a HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n%s\r\n\r\n",
		r.id, r.wait.Milliseconds(), framing)
}

// writeBody sends the whole body.
func (r uploadRequest) writeBody(conn net.Conn) error {
	for n := 0; n < r.size; n += pieceSize {
		data := string(piece[:min(pieceSize, r.size-n)])
		if r.chunked {
			data = fmt.Sprintf("%x\r\n%s\r\n", len(data), data)
		}
		if _, err := io.WriteString(conn, data); err != nil {
			return err
		}
	}
	if !r.chunked {
		return nil
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// upload sends a request at full speed and waits for the answer.
func upload(conn net.Conn, request uploadRequest) uploadResult {
	start := time.Now()
	sent := make(chan time.Time, 1)
	go func() {
		_, err := io.WriteString(conn, request.head())
		if err == nil {
			err = request.writeBody(conn)
		}
		if err == nil {
			sent <- time.Now()
		}
		close(sent)
	}()
	_ = conn.SetReadDeadline(start.Add(40 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	answered := time.Now()
	result := uploadResult{}
	if err == nil {
		result.status = resp.StatusCode
	}
	conn.Close()
	if last, ok := <-sent; ok {
		result.complete = true
		result.sending, result.afterLast = last.Sub(start), answered.Sub(last)
	} else {
		result.sending = answered.Sub(start)
	}
	return result
}

// Guards against final answers that come long after the time of a request whose endpoint reads it
// slowly.
func TestSlowlyReadUploadsAreAnsweredInTime(t *testing.T) {
	for name, respond := range slowReaders {
		for _, size := range []int{128 << 10, 2 << 20, 16 << 20} {
			for _, chunked := range []bool{false, true} {
				title := fmt.Sprintf("%s/%dK/chunked %v", name, size>>10, chunked)
				forEachProgramNamed(t, title, func(t *testing.T, program programName, descriptors int) {
					t.Parallel()
					_, addrs := startEndpoints(t, respond)
					p := start(t, options{program: program, descriptors: descriptors, endpoints: addrs})
					conn, err := p.dial()
					if err != nil {
						t.Fatal(err)
					}
					r := upload(conn, uploadRequest{id: "up", size: size, chunked: chunked, wait: uploadDeadline})
					t.Logf("status %d, %v after the last byte, sent in %v, all sent: %v",
						r.status, r.afterLast.Round(time.Millisecond), r.sending.Round(time.Millisecond), r.complete)
					if r.status == 0 || r.complete && r.afterLast > uploadDeadline+answerSlack {
						t.Errorf("the answer, status %d, came %v after the last byte", r.status, r.afterLast)
					}
				})
			}
		}
	}
}

// Guards against a long answer that is cut off because its endpoint began to write it before it had
// read all of the request.
func TestEarlyLongAnswersAreNotCutOff(t *testing.T) {
	const pause, uploadSize = 50 * time.Millisecond, 16 << 20
	plain := func(b []byte) string { return string(b) }
	chunk := func(b []byte) string { return fmt.Sprintf("%x\r\n%s\r\n", len(b), b) }
	for name, answer := range map[string]responder{
		"known length": respondSlowly(fmt.Sprintf("Content-Length: %d\r\n", slowBody), "", pause, plain),
		"chunks":       respondSlowly("Transfer-Encoding: chunked\r\n", "0\r\n\r\n", pause, chunk),
	} {
		respond := func(conn net.Conn, r *http.Request) bool {
			if _, err := io.ReadFull(r.Body, make([]byte, 256<<10)); err != nil {
				return false
			}
			return answer(conn, r)
		}
		forEachProgramNamed(t, name, func(t *testing.T, program programName, descriptors int) {
			t.Parallel()
			_, addrs := startEndpoints(t, respond)
			p := start(t, options{program: program, descriptors: descriptors, endpoints: addrs})
			conn, err := p.dial()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			go func() {
				_, _ = io.WriteString(conn, headText("POST", "/pay/a", "early", fmt.Sprint("Content-Length: ", uploadSize))+"\r\n")
				for sent := 0; sent < uploadSize; sent += pieceSize {
					if _, err := conn.Write(piece); err != nil {
						return
					}
				}
			}()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if resp.StatusCode != http.StatusOK || n != slowBody || err != nil {
				t.Errorf("status %d, %d of %d bytes, error %v", resp.StatusCode, n, slowBody, err)
			}
		})
	}
}
