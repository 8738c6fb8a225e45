package config

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rowancart/balancer"
	"rowancart/internal/hcldecode"
	"rowancart/internal/ratelimit"
)

const validConfig = `listener "front" {
  address = "127.0.0.1:8080"
}
class "look" {
  effect = "safe"
  policy = "quick"
}
class "book" {
  effect = "keyed"
  window = "10s"
  group  = "zone"
}
class "pay" {
  effect = "unsafe"
}
policy "quick" {
  client_waits    = "5s"
  attempt_timeout = "1s"
  attempts        = 3
  second_copy {
    after = "300ms"
  }
}
pool "servers" {
  roster "static" {
    endpoint "a" {
      address = "127.0.0.1:9001"
    }
    endpoint "b" {
      address = "127.0.0.1:9002"
    }
  }
}
route "looks" {
  path  = "/look/*"
  class = "look"
  pool  = "servers"
}
route "pays" {
  path  = "/pay"
  class = "pay"
  pool  = "servers"
  policy {
    queue = 0
    rate  = "120/min"
  }
}
route "books" {
  path    = "/book/*"
  methods = ["POST"]
  class   = "book"
  pool    = "servers"
}
`

// emptyEnv is an environment without variables.
func emptyEnv(string) (string, bool) { return "", false }

func TestParse(t *testing.T) {
	c, err := Parse([]byte(validConfig), "x.hcl", emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	looks, pays, books := c.Routes[0], c.Routes[1], c.Routes[2]
	want := Policy{
		ClientTimeout:  5 * time.Second,
		RequestTimeout: 5 * time.Second,
		AttemptTimeout: time.Second,
		MaxAttempts:    3,
		Retry:          RetryAfterRun,
		HedgeAfter:     300 * time.Millisecond,
		QueueLimit:     -1,
	}
	if looks.Policy != want {
		t.Errorf("policy of route looks: %+v", looks.Policy)
	}
	want = Policy{
		ClientTimeout:  10 * time.Second,
		RequestTimeout: 10 * time.Second,
		MaxAttempts:    3,
		Retry:          RetryIfNotRun,
		QueueLimit:     0,
		Rate:           ratelimit.Rate{PerSecond: 2, Burst: 2},
	}
	if pays.Policy != want {
		t.Errorf("policy of route pays: %+v", pays.Policy)
	}
	class := pays.BalancerClass("m")
	if class.Name != "m" || class.Work != "pay" || class.QueueLimit != -1 || !class.NeverRerun ||
		class.Idempotency != balancer.NonIdempotent {
		t.Errorf("class of route pays: %+v", class)
	}
	class = books.BalancerClass("m")
	if class.Idempotency != balancer.IdempotencyKeyed || class.KeyScope != balancer.KeyScopeZone ||
		class.KeyWindow != 10*time.Second || class.NeverRerun || class.QueueLimit != 0 {
		t.Errorf("class of route books: %+v", class)
	}
	if looks.Origins["attempts"] != `x.hcl:19:3, policy "quick"` ||
		pays.Origins["queue"] != `x.hcl:44:5, route "pays"` || pays.Origins["attempts"] != "default" {
		t.Errorf("origins of the attributes: looks %v, pays %v", looks.Origins, pays.Origins)
	}
	if len(c.Warnings) != 0 {
		t.Errorf("warnings: %v", c.Warnings)
	}
}

func TestShow(t *testing.T) {
	c, err := Parse([]byte(validConfig), "x.hcl", emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	const line = "attempt_timeout     1s           x.hcl:18:3, policy \"quick\""
	var show bytes.Buffer
	if err := c.Show(&show); err != nil || !strings.Contains(show.String(), line) {
		t.Errorf("%v\n%s", err, show.String())
	}
}

func TestUnusedBlocksAreWarnings(t *testing.T) {
	c, err := Parse([]byte(validConfig+`pool "spare" {
  roster "file" {
    path = "spare.json"
  }
}
class "other" {
  effect = "safe"
}
policy "lazy" {}
`), "x.hcl", emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		`x.hcl:59:1: class "other": not used`,
		`x.hcl:62:1: policy "lazy": not used`,
		`x.hcl:54:1: pool "spare": not used`,
	}
	if !slices.Equal(c.Warnings, want) {
		t.Errorf("warnings: %q", c.Warnings)
	}
}

func TestEnvironmentVariables(t *testing.T) {
	text := strings.Replace(validConfig, `"127.0.0.1:8080"`, `"127.0.0.1:${env("PORT")}"`, 1)
	c, err := Parse([]byte(text), "x.hcl", func(name string) (string, bool) { return "8111", name == "PORT" })
	if err != nil || c.Listeners[0].Address != "127.0.0.1:8111" {
		t.Errorf("%+v, %v", c, err)
	}
}

func TestShippedFilesAreValid(t *testing.T) {
	files, _ := filepath.Glob("../../deploy/*.hcl")
	if len(files) == 0 {
		t.Fatal("found no files in deploy")
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			if c, err := Load(name, emptyEnv); err != nil || len(c.Warnings) > 0 {
				t.Errorf("error %v, configuration %+v", err, c)
			}
		})
	}
}

func TestCompare(t *testing.T) {
	old, err := Parse([]byte(validConfig), "x.hcl", emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	changes := strings.NewReplacer(`"120/min"`, `"3/s"`, `9002`, `9003`, `route "books"`, `route "orders"`)
	text := changes.Replace("\n" + validConfig)
	next, err := Parse([]byte(text), "x.hcl", emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{`pool "servers" changed`, `route "books" went`, `route "orders" came`, `route "pays" changed`}
	if got := old.Compare(next); !slices.Equal(got, want) {
		t.Errorf("changes: %q", got)
	}
	if got := old.Compare(old); len(got) != 0 {
		t.Errorf("changes of a configuration compared with itself: %q", got)
	}
}

// In a valid file, no policy allows a retry after a run for a non-idempotent class, or hedging for
// a class that is not idempotent. The request timeout is at most the clients' timeout, all attempts
// together fit into it, and the hedge delay is shorter.
func TestValidPoliciesAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := []string{"", "100ms", "1s", "2s", "5s", "20s"}
		var policy strings.Builder
		for _, name := range []string{"client_waits", "request_timeout", "attempt_timeout"} {
			if v := rapid.SampledFrom(times).Draw(t, name); v != "" {
				policy.WriteString(name + " = \"" + v + "\"\n")
			}
		}
		if v := rapid.SampledFrom([]string{"", "1", "2", "4"}).Draw(t, "attempts"); v != "" {
			policy.WriteString("attempts = " + v + "\n")
		}
		if v := rapid.SampledFrom([]string{"", "not_run", "after_run"}).Draw(t, "retry"); v != "" {
			policy.WriteString("retry = \"" + v + "\"\n")
		}
		if v := rapid.SampledFrom(times).Draw(t, "copy"); v != "" {
			policy.WriteString("second_copy {\n after = \"" + v + "\"\n}\n")
		}
		text := strings.Replace(validConfig, "queue = 0", policy.String(), 1)
		className := rapid.SampledFrom([]string{"pay", "book", "look"}).Draw(t, "class")
		text = strings.Replace(text, `class = "pay"`, `class = "`+className+`"`, 1)
		c, err := Parse([]byte(text), "x.hcl", emptyEnv)
		if err != nil {
			return
		}
		p, class := c.Routes[1].Policy, c.Routes[1].Class
		hedged := p.HedgeAfter > 0 || p.HedgePercentile > 0
		if class.Idempotency == balancer.NonIdempotent && p.Retry != RetryIfNotRun ||
			class.Idempotency != balancer.Idempotent && hedged {
			t.Fatalf("a request that is not idempotent could run twice: %+v", c.Routes[1])
		}
		allAttempts := time.Duration(p.MaxAttempts) * p.AttemptTimeout
		if p.RequestTimeout > p.ClientTimeout || allAttempts > p.RequestTimeout || p.HedgeAfter >= p.RequestTimeout {
			t.Fatalf("timeouts contradict each other: %+v", p)
		}
	})
}

// For any text, Parse returns a configuration or an ErrorList in which each error has a position.
func FuzzParse(f *testing.F) {
	f.Add(validConfig)
	if text, err := os.ReadFile("../../deploy/rowancart.hcl"); err == nil {
		f.Add(string(text))
	}
	f.Add("pool \"a\" {\n roster \"static\" {\n endpoint \"x\" {\n address = env(null)\n}}}")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse([]byte(text), "x.hcl", emptyEnv)
		if (c == nil) == (err == nil) {
			t.Fatalf("got configuration %v and error %v, want exactly one of them", c, err)
		}
		if err != nil {
			if !errors.As(err, new(hcldecode.ErrorList)) {
				t.Errorf("got an error of type %T, want an ErrorList", err)
			}
			for line := range strings.Lines(err.Error()) {
				if !strings.HasPrefix(line, "x.hcl:") {
					t.Errorf("error without a position: %q", line)
				}
			}
		}
	})
}
