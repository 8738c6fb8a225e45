package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// secondAnswerDelay is how long after an answer a faulty endpoint sends it once more.
const secondAnswerDelay = 6 * time.Millisecond

// answerTo is the body of the answer to a request.
func answerTo(method, path, id string) string {
	return fmt.Sprintf("answer to %s %s %s", method, path, id)
}

// echoEndpoint is an endpoint that answers each request with a body that names the request.
type echoEndpoint struct {
	env         *environment
	name        string
	work        time.Duration
	secondEvery int64 // every so many answers are sent twice; 0: none
	quiet       bool  // requests are not written to the record

	ran    atomic.Int64
	second atomic.Int64
}

// listen starts serving at a free address and returns it.
func (s *echoEndpoint) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(nc)
		}
	}()
	return l.Addr().String(), nil
}

// serveConn serves one connection. It goes on reading while a second answer is due.
func (s *echoEndpoint) serveConn(nc net.Conn) {
	defer nc.Close()
	var writing sync.Mutex
	write := func(text string) error {
		writing.Lock()
		defer writing.Unlock()
		_, err := io.WriteString(nc, text)
		return err
	}
	reader := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Req-Id")
		n := s.ran.Add(1)
		if !s.quiet {
			s.env.logf("%s: ran %s %s %s", s.name, id, req.Method, req.URL.Path)
		}
		time.Sleep(s.work)
		body := answerTo(req.Method, req.URL.Path, id)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if write(text) != nil {
			return
		}
		if s.secondEvery > 0 && n%s.secondEvery == 0 {
			time.AfterFunc(secondAnswerDelay, func() {
				if write(text) == nil {
					s.second.Add(1)
					s.env.logf("%s: second answer to %s", s.name, id)
				}
			})
		}
	}
}
