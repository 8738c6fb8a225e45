package stress

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

const (
	pressureTime = 6 * time.Second // for which the clients of a memory test go on
	longBody     = 1 << 20         // bytes
	shortBody    = 64 << 10        // bytes of the longest body that is not long
	uploadRate   = 80 << 10        // bytes per second: above the 64 KB per second of the operators' pages
	readRate     = 100 << 10       // bytes per second at which slow clients read
)

// memoryCase is one way in which many clients at once make a process hold memory.
type memoryCase struct {
	respond responder
	// act uses one connection of a client until the end. id distinguishes the client.
	act func(conn net.Conn, id string, end time.Time)
}

// headText returns the text of a request without its empty line.
func headText(method, path, id string, fields ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\n", method, path, id) +
		"Req-Owner: o\r\nReq-Deadline-Ms: 6000\r\n"
	for _, field := range fields {
		head += field + "\r\n"
	}
	return head
}

// maxFields is the number of fields in a head that is not rejected for its number of fields.
const maxFields = 900

// manyFields returns short fields that fill a head nearly up to 16 KiB, but at most count.
func manyFields(count int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789_!#$%&'*+.^`|~"
	var b strings.Builder
	for i := 0; b.Len() < 15<<10 && i < count; i++ {
		fmt.Fprintf(&b, "%c%c:\r\n", letters[i/len(letters)%len(letters)], letters[i%len(letters)])
	}
	return b.String()
}

// readSlowly reads from a connection at readRate until the end.
func readSlowly(conn net.Conn, end time.Time) {
	_ = conn.SetReadDeadline(end)
	const size = 8 << 10
	buffer := make([]byte, size)
	for time.Now().Before(end) {
		if _, err := io.ReadFull(conn, buffer); err != nil {
			return
		}
		time.Sleep(size * time.Second / readRate)
	}
}

// writeSlowly writes n bytes at uploadRate, in the given framing, until the end. It reports whether
// everything was written.
func writeSlowly(conn net.Conn, n int, chunked bool, end time.Time) bool {
	const size = 4 << 10
	_ = conn.SetWriteDeadline(end)
	for ; n > 0; n -= size {
		text := string(piece[:min(size, n)])
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return false
		}
		time.Sleep(size * time.Second / uploadRate)
	}
	return true
}

// request sends a request and reads its response at once. It reports whether the connection can
// carry another one.
func request(conn net.Conn, reader *bufio.Reader, text string) bool {
	if _, err := io.WriteString(conn, text); err != nil {
		return false
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close
}

func sendManyFields(conn net.Conn, id string, end time.Time) {
	fields := manyFields(math.MaxInt)
	_ = conn.SetDeadline(end.Add(time.Second))
	reader := bufio.NewReader(conn)
	for n := 0; time.Now().Before(end); n++ {
		if !request(conn, reader, headText("GET", "/look/a", fmt.Sprint(id, "-", n))+fields+"\r\n") {
			return
		}
	}
}

func sendManyAllowedFields(conn net.Conn, id string, end time.Time) {
	fields := manyFields(maxFields)
	_ = conn.SetDeadline(end.Add(time.Second))
	reader := bufio.NewReader(conn)
	for n := 0; time.Now().Before(end); n++ {
		if !request(conn, reader, headText("GET", "/look/a", fmt.Sprint(id, "-", n))+fields+"\r\n") {
			return
		}
	}
}

func sendSmallRequests(conn net.Conn, id string, end time.Time) {
	_ = conn.SetDeadline(end.Add(time.Second))
	reader := bufio.NewReader(conn)
	for n := 0; time.Now().Before(end); n++ {
		if !request(conn, reader, headText("GET", "/look/a", fmt.Sprint(id, "-", n))+"\r\n") {
			return
		}
	}
}

func uploadWithLength(length int) func(net.Conn, string, time.Time) {
	return func(conn net.Conn, id string, end time.Time) {
		_, _ = io.WriteString(conn, headText("POST", "/pay/a", id, fmt.Sprint("Content-Length: ", length))+"\r\n")
		if writeSlowly(conn, length, false, end) {
			readSlowly(conn, end)
		}
	}
}

func uploadInChunks(conn net.Conn, id string, end time.Time) {
	_, _ = io.WriteString(conn, headText("POST", "/pay/a", id, "Transfer-Encoding: chunked")+"\r\n")
	writeSlowly(conn, longBody, true, end)
}

func stopHalfWay(length int) func(net.Conn, string, time.Time) {
	return func(conn net.Conn, id string, end time.Time) {
		_, _ = io.WriteString(conn, headText("POST", "/pay/a", id, fmt.Sprint("Content-Length: ", length))+"\r\n")
		_ = conn.SetWriteDeadline(end)
		for sent := 0; sent < length/2; sent += pieceSize {
			if _, err := conn.Write(piece); err != nil {
				return
			}
		}
		readSlowly(conn, end)
	}
}

func readAnswerSlowly(conn net.Conn, id string, end time.Time) {
	_, _ = io.WriteString(conn, headText("GET", "/look/a", id)+"\r\n")
	readSlowly(conn, end)
}

func stopInHead(conn net.Conn, id string, end time.Time) {
	_, _ = io.WriteString(conn, headText("GET", "/look/a", id, "X: "+strings.Repeat("x", 15<<10)))
	readSlowly(conn, end)
}

func sendLongHeads(conn net.Conn, id string, end time.Time) {
	_ = conn.SetDeadline(end.Add(time.Second))
	reader := bufio.NewReader(conn)
	field := "X: " + strings.Repeat("x", 15<<10)
	for n := 0; time.Now().Before(end); n++ {
		if !request(conn, reader, headText("GET", "/look/a", fmt.Sprint(id, "-", n), field)+"\r\n") {
			return
		}
	}
}

// memoryCases are the ways of picture (a), by name.
var memoryCases = map[string]memoryCase{
	"heads of many short fields":             {respondOK, sendManyFields},
	"long heads":                             {respondOK, sendLongHeads},
	"heads with 900 fields":                  {respondAfter(endpointTime), sendManyAllowedFields},
	"answers of many short fields":           {respondWithManyFields, sendSmallRequests},
	"heads that stop":                        {respondOK, stopInHead},
	"slow uploads of known length":           {respondOK, uploadWithLength(longBody)},
	"slow uploads of unknown length":         {respondOK, uploadInChunks},
	"slow short uploads":                     {respondOK, uploadWithLength(shortBody)},
	"long uploads that stop":                 {respondOK, stopHalfWay(longBody)},
	"short uploads that stop":                {respondOK, stopHalfWay(shortBody)},
	"long answers in chunks, read slowly":    {respondInChunks(longBody), readAnswerSlowly},
	"long answers until close, read slowly":  {respondUntilClose(longBody), readAnswerSlowly},
	"long answers with length, read slowly":  {respondWithLength(longBody), readAnswerSlowly},
	"short answers with length, read slowly": {respondWithLength(shortBody), readAnswerSlowly},
}

// Guards against a process that is killed because hundreds of clients at once make it hold memory:
// what all connections hold together must stay within the memory limit.
func TestMemoryStaysWithinLimit(t *testing.T) {
	for name, c := range memoryCases {
		t.Run(name, func(t *testing.T) {
			forEachProgram(t, func(t *testing.T, program programName, descriptors int) {
				t.Parallel()
				_, addrs := startEndpoints(t, c.respond)
				p := start(t, options{program: program, descriptors: descriptors, endpoints: addrs})
				p.press(c, descriptors/clientShare)
				p.requireWithinMemory(t)
				if !p.killed.Load() {
					p.requireService(t)
				}
			})
		})
	}
}

// press lets clients act at once, each on one connection after the other, for pressureTime.
func (p *process) press(c memoryCase, clients int) {
	var group sync.WaitGroup
	var serial atomic.Int64
	end := time.Now().Add(pressureTime)
	for range clients {
		group.Go(func() {
			for time.Now().Before(end) && !p.killed.Load() {
				conn := dial(p.addr)
				if conn == nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				c.act(conn, fmt.Sprint("press-", serial.Add(1)), end)
				conn.Close()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	group.Wait()
}

// requireService fails the test unless a request gets its response soon after the pressure has
// ended.
func (p *process) requireService(t *testing.T) {
	t.Helper()
	testpeer.WaitUntil(t, "a request is served after the pressure", func() bool {
		conn, err := testpeer.Dial(p.addr)
		if err != nil {
			return false
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, headText("GET", "/look/a", fmt.Sprint("after-", time.Now().UnixNano()))+"\r\n")
		resp, err := conn.ReadResponse(time.Second)
		return err == nil && resp.StatusCode == http.StatusOK
	})
}
