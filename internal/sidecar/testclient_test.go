package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rowancart/internal/platform"
)

// Texts of requests. ID is replaced by the id of the client that sends the request.
const (
	lookRequest      = "GET /look HTTP/1.1\r\nHost: h\r\n" + idField + ": ID\r\n" + deadlineField + "\r\n"
	pipelinedRequest = "GET /look HTTP/1.1\r\nHost: h\r\n" + idField + ": ID-next\r\n" + deadlineField + "\r\n"
	payRequest       = "POST /pay HTTP/1.1\r\nHost: h\r\n" + idField + ": ID\r\n" + deadlineField +
		"Content-Length: 2\r\n\r\nhi"

	idField       = platform.RequestIDHeader
	deadlineField = platform.DeadlineHeader + ": 600000\r\n"
)

// partialUpload is a request with an incomplete body, of which some bytes stay unread while the
// request waits.
var partialUpload = uploadHead(8<<20) + strings.Repeat("x", 64<<10+10<<10)

// uploadHead returns the head of a request with a body of the given length.
func uploadHead(length int) string {
	return fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: h\r\n"+idField+": ID\r\n"+deadlineField+
		"Content-Length: %d\r\n\r\n", length)
}

// testClient is a client with one connection.
type testClient struct {
	*net.TCPConn
	id string
}

// connectAndSend opens a connection and sends text on it, with ID replaced by the client's id.
func (s *testSidecar) connectAndSend(t *testing.T, id, text string) *testClient {
	t.Helper()
	conn := s.dial(t)
	conn.SetDeadline(time.Now().Add(testTimeout)) // the result does not depend on it
	c := &testClient{conn.(*net.TCPConn), id}
	if err := c.send(text); err != nil {
		t.Fatal(err)
	}
	return c
}

// send sends text, with ID replaced by the client's id.
func (c *testClient) send(text string) error {
	_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", c.id))
	return err
}

// readResponse reads one response.
func (c *testClient) readResponse(t *testing.T) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("client %s gets no response: %v", c.id, err)
		return &http.Response{}
	}
	return resp
}

// requireOK checks that the response has status 200.
func (c *testClient) requireOK(t *testing.T) {
	t.Helper()
	if resp := c.readResponse(t); resp.StatusCode != http.StatusOK {
		t.Errorf("client %s, which stays connected, gets status %d, want 200", c.id, resp.StatusCode)
	}
}

// reset closes the connection with RST.
func (c *testClient) reset() {
	c.SetLinger(0)
	c.Close()
}

// disconnects are the ways in which a client can disconnect, by name.
var disconnects = map[string]func(c *testClient){
	"fin":             func(c *testClient) { c.Close() },
	"rst":             func(c *testClient) { c.reset() },
	"half-close":      func(c *testClient) { c.CloseWrite() },
	"fin after bytes": func(c *testClient) { c.send(pipelinedRequest); c.Close() },
	"rst after bytes": func(c *testClient) { c.send(pipelinedRequest); c.reset() },
}
