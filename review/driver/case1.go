package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["1"] = lateSecondAnswers }

// The load of case 1: callers that make calls one after another, and then pause.
const (
	case1Callers      = 3
	case1Seconds      = 30
	case1CallsInARow  = 3
	case1Endpoints    = 3
	case1Work         = 15 * time.Millisecond
	case1MeanPause    = 120 * time.Millisecond
	case1SecondEvery  = 15 // answers
	case1MinimumShare = 0.9
)

// case1Counts counts the answers that the callers got.
type case1Counts struct {
	mu                             sync.Mutex
	own, failed, foreign, toUnsafe int
}

// lateSecondAnswers: endpoints send some answers twice, the second time some milliseconds late.
// Each request that is answered with 200 must have the body that an endpoint made for it.
func lateSecondAnswers(e *environment) (string, error) {
	var endpoints []*echoEndpoint
	roster := ""
	for i := range case1Endpoints {
		s := &echoEndpoint{env: e, name: fmt.Sprintf("forms-%d", i+1), work: case1Work}
		if e.trouble {
			s.secondEvery = case1SecondEvery
		}
		addr, err := s.listen()
		if err != nil {
			return "", err
		}
		endpoints = append(endpoints, s)
		roster += fmt.Sprintf("    endpoint %q {\n      address = %q\n    }\n", s.name, addr)
	}
	addr, err := e.startDaemon(`
class "lookup" {
  effect = "safe"
  aim    = "2500ms"
}
class "submit" {
  effect = "unsafe"
  aim    = "2500ms"
}
pool "forms" {
  connections = 256
  roster "static" {
` + roster + `  }
}
route "lookups" {
  path    = "/form-lookup/*"
  methods = ["GET"]
  class   = "lookup"
  pool    = "forms"
}
route "submissions" {
  path    = "/return-submit/*"
  methods = ["POST"]
  class   = "submit"
  pool    = "forms"
}
`)
	if err != nil {
		return "", err
	}
	var counts case1Counts
	var callers sync.WaitGroup
	end := time.Now().Add(case1Seconds * time.Second)
	for i := range case1Callers {
		callers.Go(func() {
			client := &http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{}}
			for n := 0; time.Now().Before(end); n++ {
				counts.call(e, client, addr, fmt.Sprintf("caller%d-%04d", i, n))
				if n%case1CallsInARow == case1CallsInARow-1 {
					time.Sleep(time.Duration(rand.ExpFloat64() * float64(case1MeanPause)))
				}
			}
		})
	}
	callers.Wait()
	second := int64(0)
	for _, s := range endpoints {
		second += s.second.Load()
	}
	e.logf("answers: %d with the request's own answer, %d with another request's (%d of them to POST /return-submit), "+
		"%d failed or refused; endpoints sent %d second answers",
		counts.own, counts.foreign, counts.toUnsafe, counts.failed, second)
	total := counts.own + counts.foreign + counts.failed
	if float64(counts.failed) > (1-case1MinimumShare)*float64(total) || e.trouble && second == 0 {
		return "", fmt.Errorf("%d of %d requests failed, %d second answers", counts.failed, total, second)
	}
	if counts.foreign > 0 {
		return fmt.Sprintf("%d of %d requests were served with the answer to another request, %d of them POST /return-submit",
			counts.foreign, total, counts.toUnsafe), nil
	}
	return "", nil
}

// call sends one request and checks its answer. Two of three are lookups.
func (c *case1Counts) call(e *environment, client *http.Client, addr, id string) {
	method, path, sent := http.MethodGet, "/form-lookup/household", ""
	if rand.IntN(3) == 0 {
		method, path, sent = http.MethodPost, "/return-submit/household", "return of "+id
	}
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(sent))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Owner", "erie-county")
	req.Header.Set("Req-Deadline-Ms", "6000")
	resp, err := client.Do(req)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failed++
		e.logf("caller: %s %s %s: %v", id, method, path, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	got, want := string(body), answerTo(method, path, id)
	verdict := "its own answer"
	switch {
	case err != nil: // the client can tell that the answer is not whole: it has failed
		c.failed++
		verdict = err.Error()
	case resp.StatusCode != http.StatusOK:
		c.failed++
		verdict = "not served"
	case got != want:
		c.foreign++
		verdict = "ANOTHER REQUEST'S ANSWER"
		if method == http.MethodPost {
			c.toUnsafe++
		}
	default:
		c.own++
	}
	e.logf("caller: %s %s %s: %d %q: %s", id, method, path, resp.StatusCode, got, verdict)
}
