package testpeer

import (
	"io"
	"net/http"
	"testing"
	"time"
)

func TestRequestText(t *testing.T) {
	for name, test := range map[string]struct {
		request Request
		want    string
	}{
		"GET": {
			Request{Method: "GET", Path: "/look", ID: "r", Deadline: 1500 * time.Millisecond},
			"GET /look HTTP/1.1\r\nHost: h\r\nReq-Id: r\r\nReq-Deadline-Ms: 1500\r\n\r\n",
		},
		"POST without a body": {
			Request{Method: "POST", Path: "/pay", ID: "r", Deadline: time.Second},
			"POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: r\r\nReq-Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n",
		},
		"POST with a key and a body": {
			Request{Method: "POST", Path: "/book", ID: "r", Deadline: time.Second, IdempotencyKey: "k", Body: "hi"},
			"POST /book HTTP/1.1\r\nHost: h\r\nReq-Id: r\r\nReq-Deadline-Ms: 1000\r\nIdempotency-Key: k\r\n" +
				"Content-Length: 2\r\n\r\nhi",
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.request.Text(); got != test.want {
				t.Errorf("request %q, want %q", got, test.want)
			}
		})
	}
}

func TestClientConnCarriesSeveralRequests(t *testing.T) {
	endpoint := StartEndpoint(t, RespondWith(OKResponse, KeepConn))
	conn, err := Dial(endpoint.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	for n := 1; n <= 2; n++ {
		request := Request{Method: http.MethodGet, Path: "/look", ID: "r", Deadline: time.Second}
		if _, err := io.WriteString(conn, request.Text()); err != nil {
			t.Fatal(err)
		}
		resp, err := conn.ReadResponse(WaitTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "hi" || conn.Responses != n {
			t.Errorf("response %d: body %q, error %v; %d responses counted", n, body, err, conn.Responses)
		}
	}
	if n := endpoint.Connections.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}
