package http1

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRemoveHopByHop(t *testing.T) {
	for name, row := range map[string]struct {
		header, want http.Header
		except       []string
	}{
		"end-to-end headers are kept": {
			header: http.Header{"Content-Type": {"text/plain"}, "Accept": {"a", "b"}},
			want:   http.Header{"Content-Type": {"text/plain"}, "Accept": {"a", "b"}},
		},
		"headers of the connection": {
			header: http.Header{
				"Connection": {"close"}, "Keep-Alive": {"timeout=5"}, "Proxy-Connection": {"close"}, "Te": {"trailers"},
				"Trailer": {"A"}, "Transfer-Encoding": {"chunked"}, "Upgrade": {"h2c"}, "Expect": {"100-continue"},
			},
			want: http.Header{},
		},
		"headers that Connection names": {
			header: http.Header{"Connection": {"a, B ,c", "d"}, "A": {"1"}, "B": {"1"}, "C": {"1"}, "D": {"1"}, "E": {"1"}},
			want:   http.Header{"E": {"1"}},
		},
		"an exception that Connection names": {
			header: http.Header{"Connection": {"req-id, a"}, "Req-Id": {"r1"}, "A": {"1"}},
			except: []string{"Req-Id"},
			want:   http.Header{"Req-Id": {"r1"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if d := cmp.Diff(row.want, RemoveHopByHop(row.header, row.except...)); d != "" {
				t.Error(d)
			}
		})
	}
}
