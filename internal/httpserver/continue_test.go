package httpserver

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"rowancart/internal/platform"
)

// Guards against an interim response that is written under the deadline of an earlier response.
func TestContinueAfterAPauseIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := serveInMemory(t)()
		reader := bufio.NewReader(client)
		send := func(text string) int {
			if _, err := io.WriteString(client, text); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			return resp.StatusCode
		}
		send(healthRequest)
		time.Sleep(writeDeadlineReuse + 2*writeTimeout)
		status := send("POST " + platform.HealthPath + " HTTP/1.1\r\nHost: h\r\n" +
			"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		if status != http.StatusContinue {
			t.Errorf("status %d, want %d", status, http.StatusContinue)
		}
		_, _ = io.WriteString(client, "ok")
		if _, err := http.ReadResponse(reader, nil); err != nil {
			t.Error(err)
		}
	})
}
