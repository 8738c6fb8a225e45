package stress

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	silentTime  = 4 * time.Second        // from the first request of the clients
	clientsLead = 500 * time.Millisecond // time after which silent peers come
)

// beSilent keeps as many connections open as there are descriptors, on which it sends the given
// text and nothing more. A connection that is closed is replaced.
func (p *process) beSilent(connections int, text string, end time.Time) {
	var group sync.WaitGroup
	for range connections {
		group.Go(func() {
			for time.Now().Before(end) {
				conn := dial(p.addr)
				if conn == nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				_, _ = io.WriteString(conn, text)
				_ = conn.SetDeadline(end)
				_, _ = io.Copy(io.Discard, conn)
				conn.Close()
			}
		})
	}
	group.Wait()
}

// Guards against peers that connect and send nothing, or an empty line, and so keep others from
// their answers.
func TestSilentPeersLeaveOthersTheirConnections(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "an empty line": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			forEachProgram(t, func(t *testing.T, program programName, descriptors int) {
				t.Parallel()
				_, addrs := startEndpoints(t, respondAfter(endpointTime))
				p := start(t, options{program: program, descriptors: descriptors, endpoints: addrs})
				end := time.Now().Add(silentTime)
				var group sync.WaitGroup
				group.Go(func() {
					time.Sleep(clientsLead)
					p.beSilent(descriptors*2/3, text, end)
				})
				r := p.bePolite(end)
				group.Wait()
				t.Logf("clients: %s", r.summary())
				if served := r.statuses[http.StatusOK]; served*100 < len(r.latencies)*99 {
					t.Errorf("%d of %d requests of clients were served in time", served, len(r.latencies))
				}
				p.requireWithinMemory(t)
			})
		})
	}
}
