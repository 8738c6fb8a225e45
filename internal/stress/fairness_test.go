package stress

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"rowancart/internal/testpeer"
)

const (
	greedyTime = 5 * time.Second // for which a greedy client goes on
	batchSize  = 64              // requests that a greedy client writes at once
	longName   = 8000            // bytes of a long name
)

// greedyCases are the requests that a greedy client sends at full speed on one connection, by name.
// If the connection is closed, the client opens another. Each function returns the nth request.
var greedyCases = map[string]func(n int64) string{
	"small requests": func(n int64) string {
		return headText("GET", "/look/a", fmt.Sprint("greedy-", n)) + "\r\n"
	},
	"requests with one id": func(int64) string {
		return "GET /look/a HTTP/1.1\r\nHost: h\r\nReq-Id: greedy\r\nReq-Owner: g\r\nReq-Deadline-Ms: 1000\r\n\r\n"
	},
	"requests without time": func(n int64) string {
		return fmt.Sprintf("GET /look/a HTTP/1.1\r\nHost: h\r\nReq-Id: greedy-%d\r\nReq-Deadline-Ms: 1\r\n\r\n", n)
	},
	"requests of new tenants": func(n int64) string {
		return fmt.Sprintf("GET /look/a HTTP/1.1\r\nHost: h\r\nReq-Id: g-%d\r\nReq-Owner: %s-%d\r\n"+
			"Req-Deadline-Ms: 12\r\n\r\n", n, strings.Repeat("o", longName), n)
	},
	"requests of new classes": func(n int64) string {
		return headText("GET", fmt.Sprint("/class-", n), fmt.Sprint("greedy-", n)) + "\r\n"
	},
	"requests without id": func(int64) string {
		return "GET /look/a HTTP/1.1\r\nHost: h\r\nReq-Deadline-Ms: 1000\r\nReq-Id:\r\n\r\n"
	},
	"health checks": func(int64) string {
		return "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"
	},
	"no requests": func(int64) string {
		return "\x00\x01 \r\n\r\n"
	},
	"bodies of tiny chunks": func(n int64) string {
		return headText("POST", "/pay/a", fmt.Sprint("greedy-", n), "Transfer-Encoding: chunked") + "\r\n" +
			strings.Repeat("1\r\nx\r\n", 200) + "0\r\n\r\n"
	},
}

// beGreedy sends requests at full speed on one connection until the end, and reads what comes back.
func (p *process) beGreedy(request func(n int64) string, end time.Time) (sent int64) {
	for time.Now().Before(end) {
		conn, err := testpeer.Dial(p.addr)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(end)
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		for {
			var batch strings.Builder
			for range batchSize {
				sent++
				batch.WriteString(request(sent))
			}
			if _, err := io.WriteString(conn, batch.String()); err != nil {
				break
			}
		}
		conn.Close()
	}
	return sent
}

// Guards against a client that sends small or unsound requests at full speed on one connection, and
// so keeps others from their answers or makes memory grow.
func TestGreedyClientLeavesOthersTheirShare(t *testing.T) {
	for name, request := range greedyCases {
		t.Run(name, func(t *testing.T) {
			forEachProgram(t, func(t *testing.T, program programName, descriptors int) {
				t.Parallel()
				_, addrs := startEndpoints(t, respondAfter(endpointTime))
				p := start(t, options{program: program, descriptors: descriptors, endpoints: addrs})
				end := time.Now().Add(greedyTime)
				var sent int64
				var group sync.WaitGroup
				group.Go(func() { sent = p.beGreedy(request, end) })
				r := p.bePolite(end)
				group.Wait()
				t.Logf("%d greedy requests; others: %s", sent, r.summary())
				if served := r.statuses[http.StatusOK]; served*100 < len(r.latencies)*99 {
					t.Errorf("%d of %d requests of other clients were served in time", served, len(r.latencies))
				}
				p.requireWithinMemory(t)
			})
		})
	}
}
