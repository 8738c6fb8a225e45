package main

import (
	"bufio"
	"bytes"
	"cmp"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "overwrite the golden files with the current output")

// The simulated time between two batches, in microseconds, and the number of batches.
const (
	batchInterval     = 20_000
	conversationSteps = 120
)

const settings = `{"NInstances":2,"Me":0,"Tier":0,"Tiers":["front","back"],"Lanes":[` +
	`{"Name":"look","Semantics":"read_like","OnTimeUs":300000,"HardLimitUs":2000000},` +
	`{"Name":"book","Semantics":"idempotency_key","Group":"cell","WindowUs":5000000,"OnTimeUs":300000},` +
	`{"Name":"pay","Semantics":"non_idempotent","OnTimeUs":300000}],` +
	`"Accounts":[{"Name":"acme","QuotaPerS":80},{"Name":"erie","QuotaPerS":20}],"ResolutionUs":1000,` +
	`"Permissions":{"MayCancel":true,"RetryAfter":true,"TryLimit":4,"MaxRetryAfterUs":2000000},` +
	`"Rules":{"AskWithinUs":1000000,"ColdFrom":0.3,"ColdUs":4000000,"DrainGraceUs":1000000}}`

// conversation is a fake simulator: it generates random requests, and schedules events for later
// batches in response to the actions of a reply.
type conversation struct {
	random   *rand.Rand
	now      int64 // simulated time, in microseconds
	requests int   // number of requests so far
	pending  []event
	out      *bytes.Buffer // all lines in both directions
}

// event is a line to be sent to an instance in the first batch at or after the time at.
type event struct {
	at       int64
	instance string
	line     string
}

// schedule adds an event for an instance after a delay.
func (c *conversation) schedule(delay int64, instance, format string, args ...any) {
	c.pending = append(c.pending, event{c.now + delay, instance, fmt.Sprintf(format, args...)})
}

// batch returns the lines of the next batch.
func (c *conversation) batch(step int) string {
	c.now += batchInterval
	var b strings.Builder
	fmt.Fprintf(&b, "CLOCK\tAtTimeUs=%d\n", c.now)
	c.writeList(&b, step)
	for _, instance := range []string{"0", "1"} {
		fmt.Fprintf(&b, "SWITCH_TO\tSidecar=%s\n", instance)
		c.writeDueEvents(&b, instance)
		c.writeRequests(&b)
	}
	b.WriteString("GO\n")
	return b.String()
}

// writeList writes the start of both instances and the endpoint list in step 0, and changes of the
// list in steps 30 and 60.
func (c *conversation) writeList(b *strings.Builder, step int) {
	var entries []string
	mode := "D"
	switch step {
	case 0:
		mode = "C"
		for i := range 6 {
			entry := fmt.Sprintf("ENDPOINT\tSku=m%d\tPhase=ready\tEndpoint=h:%d\tPack=%d\tZone=z", i%2, i, i%3)
			entries = append(entries, entry)
		}
	case 30:
		entries = append(entries, "ENDPOINT\tSku=m0\tPhase=draining\tEndpoint=h:0\tPack=0\tZone=z",
			fmt.Sprintf("ENDPOINT\tSku=m0\tPhase=ready\tEndpoint=h:6\tPack=0\tZone=z\tLastStartUs=%d", c.now))
	case 60:
		entries = append(entries, "ENDPOINT\tSku=m0\tPhase=gone\tEndpoint=h:0\tPack=0\tZone=z")
	default:
		return
	}
	if step == 0 {
		for _, instance := range []string{"0", "1"} {
			fmt.Fprintf(b, "SWITCH_TO\tSidecar=%s\nSTART\tRandomSeed=%s7\tConfig=%s\n", instance, instance, settings)
		}
	}
	fmt.Fprintf(b, "LEDGER\tRef=0\tHosts=%d\n%s\n", len(entries), strings.Join(entries, "\n"))
	for _, instance := range []string{"0", "1"} {
		fmt.Fprintf(b, "SWITCH_TO\tSidecar=%s\nREGISTRY\tMode=%s\tGen=%d\tRef=0\n", instance, mode, step+1)
	}
}

// writeDueEvents writes the scheduled events of an instance that are due.
func (c *conversation) writeDueEvents(b *strings.Builder, instance string) {
	isDue := func(e event) bool { return e.at <= c.now && e.instance == instance }
	due := slices.DeleteFunc(slices.Clone(c.pending), func(e event) bool { return !isDue(e) })
	c.pending = slices.DeleteFunc(c.pending, isDue)
	slices.SortStableFunc(due, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for _, e := range due {
		b.WriteString(e.line)
	}
}

// writeRequests writes zero to five new requests.
func (c *conversation) writeRequests(b *strings.Builder) {
	for range c.random.IntN(6) {
		c.requests++
		class := []string{"look", "look", "book", "pay"}[c.random.IntN(4)]
		tenant := []string{"acme", "erie"}[c.random.IntN(2)]
		fmt.Fprintf(b, "CALL\tRid=r%d\tBand=%s\tTeam=%s\tValidUntilUs=%d\tAttrs=%d\n", c.requests, class, tenant,
			c.now+100_000+c.random.Int64N(900_000), 2*c.random.IntN(2))
	}
}

// handleReply schedules the events that follow from lines of a reply, and counts the attempts of
// each request in attempts.
func (c *conversation) handleReply(reply string, attempts map[string]int) {
	instance := ""
	for line := range strings.Lines(reply) {
		name, rest, _ := strings.Cut(strings.TrimSpace(line), "\t")
		fields := map[string]string{}
		for _, part := range strings.Split(rest, "\t") {
			key, value, _ := strings.Cut(part, "=")
			fields[key] = value
		}
		switch name {
		case "ON_BEHALF":
			instance = fields["Sidecar"]
		case "DISPATCH":
			c.finishAttempt(instance, fields["Rid"], fields["Endpoint"], attempts)
		case "SET_TIMER":
			c.schedule(batchInterval, instance, "BELL\tMark=0\n")
		}
	}
}

// finishAttempt schedules the end of an attempt. Endpoint h:1 is slow, and h:2 fails often.
func (c *conversation) finishAttempt(instance, id, endpoint string, attempts map[string]int) {
	number := attempts[id]
	attempts[id]++
	delay := 5_000 + c.random.Int64N(40_000)
	if endpoint == "h:1" {
		delay *= 8
	}
	code, done := "Ok", 1
	failureRate := 0.05
	if endpoint == "h:2" {
		failureRate = 0.6
	}
	if c.random.Float64() < failureRate {
		codes := []string{"Failed", "QueueFull", "TimedOut", "ConnectError", "ResetByPeer"}
		code, done = codes[c.random.IntN(len(codes))], 0
	}
	c.schedule(delay, instance, "ATTEMPT_END\tRid=%s\tSpentUs=%d\tDoneFlag=%d\tEndpoint=%s\tStateCode=%s\tN=%d\n",
		id, delay, done, endpoint, code, number)
}

// run runs the conversation with simhost and returns all lines in both directions.
func (c *conversation) run(t *testing.T) []byte {
	t.Helper()
	in, toHost := io.Pipe()
	fromHost, out := io.Pipe()
	result := make(chan error, 1)
	go func() {
		err := run(in, out)
		out.CloseWithError(io.EOF)
		result <- err
	}()
	replies := bufio.NewReader(fromHost)
	attempts := map[string]int{}
	for step := range conversationSteps {
		batch := c.batch(step)
		c.out.WriteString(batch)
		if _, err := io.WriteString(toHost, batch); err != nil {
			t.Fatal(err)
		}
		for line := ""; line != "FINISHED\n"; {
			var err error
			if line, err = replies.ReadString('\n'); err != nil {
				t.Fatal(err, <-result)
			}
			c.out.WriteString(line)
			c.handleReply(line, attempts)
		}
	}
	toHost.Close()
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	return c.out.Bytes()
}

// The text in both directions, and therefore every decision of the two balancers, is the same as in
// the recorded conversation.
func TestConversationIsAsRecorded(t *testing.T) {
	const path = "testdata/conversation.golden"
	c := conversation{random: rand.New(rand.NewPCG(1, 2)), out: &bytes.Buffer{}}
	got := c.run(t)
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("line %d: %q, want %q as recorded", i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%d lines, want %d as recorded", len(gotLines), len(wantLines))
}
