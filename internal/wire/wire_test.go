package wire

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"rowancart/balancer"
)

// recorder is a Handler that records the events as text.
type recorder struct {
	events  []string
	started map[int]balancer.Settings
	batches int
}

func (r *recorder) add(format string, args ...any) {
	r.events = append(r.events, fmt.Sprintf(format, args...))
}

func (r *recorder) Start(i int, s balancer.Settings) error {
	r.started[i] = s
	return nil
}

func (r *recorder) Stop(i int) error {
	delete(r.started, i)
	return nil
}

func (r *recorder) EndBatch() error {
	r.batches++
	return nil
}

func (r *recorder) Instance(i int) (balancer.Events, error) {
	if _, ok := r.started[i]; !ok {
		return nil, errors.New("not running")
	}
	return r, nil
}

func (r *recorder) EndpointList(now time.Duration, l balancer.EndpointList) {
	r.add("%v list %+v", now, l)
}

func (r *recorder) Request(now time.Duration, q balancer.Request) { r.add("%v request %+v", now, q) }
func (r *recorder) StreamStarted(now time.Duration, id string, n int) {
	r.add("%v stream %s %d", now, id, n)
}

func (r *recorder) Outcome(now time.Duration, o balancer.Outcome) { r.add("%v outcome %+v", now, o) }
func (r *recorder) ClientDisconnected(now time.Duration, id string) {
	r.add("%v disconnected %s", now, id)
}
func (r *recorder) Timer(now time.Duration) { r.add("%v timer", now) }

// read runs a Reader on text and returns what its Handler recorded.
func read(text string) (*recorder, error) {
	r := &recorder{started: map[int]balancer.Settings{}}
	return r, NewReader(strings.NewReader(text)).Run(r)
}

// startInstance3 begins a batch and starts instance 3.
const startInstance3 = "CLOCK\tAtTimeUs=1000\nSWITCH_TO\tSidecar=3\nSTART\tRandomSeed=9\tConfig={}\n"

func TestEventsAreRead(t *testing.T) {
	r, err := read(startInstance3 +
		"LEDGER\tRef=0\tHosts=1\nENDPOINT\tSku=big\tPhase=ready\tScale=1.5\tEndpoint=h:1\tPack=2\tLastStartUs=7\tZone=z\n" +
		"REGISTRY\tMode=C\tGen=41\tRef=0\nREGISTRY\tMode=X\tGen=41\n" +
		"CALL\tRid=r1\tBand=c\tTeam=t\tRouteKey=5\tValidUntilUs=2000\tEstimateUs=50\tAttrs=3\tLater=x\n" +
		"CALL\tRid=r2\tBand=c\tValidUntilUs=2000\tEstimateUs=50\n" +
		"A_LATER_MESSAGE\tx=1\n" +
		"GO\n\nCLOCK\tAtTimeUs=1000\nSWITCH_TO\tSidecar=3\n" +
		"ATTEMPT_END\tRid=r1\tSpentUs=5\tDoneFlag=1\tEndpoint=h:1\tStateCode=Ok\tN=0\tLoad=active:2\n" +
		"CHECKED\tEndpoint=h:1\tStateCode=Ok\tSpentUs=3\tLoad=active:2.5,waiting:1\n" +
		"FLOWING\tRid=r2\tN=1\tEndpoint=h:1\tSpentUs=4\nLEFT\tRid=r2\nBELL\tMark=0\nGO\n")
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"1ms list {Failed:false Complete:true Entries:[{ID:h:1 State:0 Zone:z Kind:big Cell:2 Started:7µs}] Unlisted:0}",
		"1ms list {Failed:true Complete:false Entries:[] Unlisted:0}",
		"1ms request {ID:r1 Class:c Tenant:t Deadline:2ms ClientRetry:true Streamed:false SoleAttempt:false}",
		"1ms request {ID:r2 Class:c Tenant: Deadline:2ms ClientRetry:false Streamed:false SoleAttempt:false}",
		"1ms outcome {ID:r1 Attempt:0 Endpoint:h:1 Result:0 Latency:5µs Final:true}",
		"1ms stream r2 1", "1ms disconnected r2", "1ms timer"}
	if !reflect.DeepEqual(r.events, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(r.events, "\n"), strings.Join(want, "\n"))
	}
	if r.batches != 2 || r.started[3].Seed != 9 {
		t.Errorf("%d batches, seed %d", r.batches, r.started[3].Seed)
	}
}

func TestSettingsAreRead(t *testing.T) {
	r, err := read("CLOCK\tAtTimeUs=0\nSWITCH_TO\tSidecar=0\nSTART\tRandomSeed=18446744073709551615\tConfig=" +
		`{"NInstances":2,"Me":1,"Tier":1,"Tiers":["a","b","c"],"Zone":"z",` +
		`"Lanes":[{"Name":"n","Semantics":"idempotency_key",` +
		`"Group":"cell","OnTimeUs":1,"HardLimitUs":2,"WindowUs":3,"Credit":4,"LateValue":0.5,"AimStretch":2}],` +
		`"Accounts":[{"Name":"t","QuotaPerS":6.5}],"Discovery":"subscribe","ResolutionUs":5000,"New":{"x":[1]},` +
		`"Permissions":{"MayCancel":true,"MayProbe":true,"SecondCopies":true,"RetryAfter":true,` +
		`"TryLimit":4,"MaxRetryAfterUs":7},"Report":{"Fields":["active"],"How":"pull"},` +
		`"Rules":{"AnswerSlackUs":8,"AskWithinUs":9,"ColdFrom":0.3,"ColdUs":10,"DrainGraceUs":11,"FallMultiple":4,` +
		`"TipAfterUs":12}}` + "\nGO\n")
	if err != nil {
		t.Fatal(err)
	}
	us := time.Microsecond
	want := balancer.Settings{Seed: 1<<64 - 1, Instances: 2, Index: 1, Tier: 1, TiersBelow: 1,
		Classes: []balancer.Class{{Name: "n", Idempotency: balancer.IdempotencyKeyed, KeyScope: balancer.KeyScopeCell,
			KeyWindow: 3 * us, LatencyObjective: us}},
		Tenants: []balancer.Tenant{{Name: "t", Quota: 6.5}}, SubscribeRequired: true, PollInterval: 9 * us, MaxAttempts: 4,
		CancelAllowed: true, MaxRetryAfter: 7 * us,
		Resolution: 5 * time.Millisecond, SlowStartCapacity: 0.3, SlowStartWindow: 10 * us}
	if got := r.started[0]; !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// Each of the simulator's names for a result or a state is translated to the term of package
// balancer.
func TestResultsAndStatesAreRead(t *testing.T) {
	for name, want := range map[string]balancer.Result{"Ok": balancer.OK, "Failed": balancer.Errored,
		"QueueFull": balancer.Rejected, "TimedOut": balancer.TimedOut, "ConnectError": balancer.ConnectFailed,
		"ResetByPeer": balancer.Reset, "Canceled": balancer.Canceled, "Ignored": balancer.NotSent} {
		t.Run(name, func(t *testing.T) {
			r, err := read(startInstance3 + "ATTEMPT_END\tRid=r\tN=2\tEndpoint=h\tStateCode=" + name + "\tSpentUs=1\nGO\n")
			if err != nil {
				t.Fatal(err)
			}
			event := fmt.Sprintf("1ms outcome %+v", balancer.Outcome{ID: "r", Attempt: 2, Endpoint: "h", Result: want,
				Latency: time.Microsecond})
			if !slices.Equal(r.events, []string{event}) {
				t.Errorf("events %q, want %q", r.events, event)
			}
		})
	}
	for name, want := range map[string]balancer.State{"ready": balancer.Ready, "draining": balancer.Draining,
		"gone": balancer.Removed} {
		t.Run(name, func(t *testing.T) {
			r, err := read(startInstance3 + "LEDGER\tRef=15\tHosts=1\nENDPOINT\tPhase=" + name + "\tEndpoint=h\n" +
				"REGISTRY\tMode=D\tGen=1\tRef=15\nGO\n")
			if err != nil {
				t.Fatal(err)
			}
			event := fmt.Sprintf("1ms list %+v", balancer.EndpointList{Entries: []balancer.Endpoint{{ID: "h", State: want}}})
			if !slices.Equal(r.events, []string{event}) {
				t.Errorf("events %q, want %q", r.events, event)
			}
		})
	}
}

func TestBadInputIsAnError(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"an event outside a batch", "BELL\tMark=1\n", "line 1: BELL outside a batch"},
		{"a batch within a batch", "CLOCK\tAtTimeUs=1\nCLOCK\tAtTimeUs=2\n", "line 2: CLOCK within a batch"},
		{"a time before that of the previous batch",
			"CLOCK\tAtTimeUs=2\nGO\nCLOCK\tAtTimeUs=1\n",
			"line 3: CLOCK with a time before that of the previous batch"},
		{"a batch without a time", "CLOCK\n", "line 1: AtTimeUs is missing"},
		{"a field without a value", startInstance3 + "BELL\tMark\n", "line 4: BELL has a field that is not name=value"},
		{"a field without a name", startInstance3 + "BELL\t=5\n", "line 4: BELL has a field that is not name=value"},
		{"a line without a name", startInstance3 + "\tMark=1\n", "line 4: no message name"},
		{"an event before SWITCH_TO", "CLOCK\tAtTimeUs=1\nBELL\tMark=1\n", "line 2: BELL before any SWITCH_TO"},
		{"an instance that is not running",
			"CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=4\nBELL\tMark=1\n",
			"line 3: BELL: not running"},
		{"an instance that is no number",
			"CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=x\n",
			`line 2: Sidecar="x" is not an unsigned 64-bit number`},
		{"START without a seed",
			"CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=1\nSTART\tConfig={}\n",
			"line 3: RandomSeed is missing"},
		{"START without Config",
			"CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=1\nSTART\tRandomSeed=1\n",
			"line 3: START without Config"},
		{"a Config that is not JSON",
			"CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=1\nSTART\tRandomSeed=1\tConfig={\n",
			"line 3: Config: unexpected end of JSON input"},
		{"an unknown semantics",
			"CLOCK\tAtTimeUs=1\nSWITCH_TO\tSidecar=1\n" +
				"START\tRandomSeed=1\tConfig={\"Lanes\":[{}]}\n",
			`line 3: Config: class "" has unknown Semantics ""`},
		{"an unknown list",
			startInstance3 + "REGISTRY\tMode=F\tGen=1\tRef=3\n",
			"line 4: REGISTRY refers to list 3, which was never sent"},
		{"a list number out of range",
			startInstance3 + "LEDGER\tRef=16\tHosts=0\n",
			"line 4: LEDGER with a list number or a number of entries out of range"},
		{"an unknown mode",
			startInstance3 + "REGISTRY\tMode=Q\tGen=1\tRef=0\n",
			`line 4: REGISTRY has an unknown Mode "Q"`},
		{"a list that is too short",
			startInstance3 + "LEDGER\tRef=0\tHosts=2\nENDPOINT\tPhase=ready\tEndpoint=h\nGO\n",
			"line 6: GO before the endpoint list is complete: 1 more ENDPOINT lines expected"},
		{"an entry without a list",
			startInstance3 + "ENDPOINT\tPhase=ready\tEndpoint=h\n",
			"line 4: ENDPOINT that no LEDGER announced"},
		{"an entry without a phase",
			startInstance3 + "LEDGER\tRef=0\tHosts=1\nENDPOINT\tEndpoint=h\n",
			"line 5: Phase is missing"},
		{"a CALL without an id", startInstance3 + "CALL\tBand=c\tValidUntilUs=5\n", "line 4: Rid is missing"},
		{"a CALL with an empty id", startInstance3 + "CALL\tRid=\tBand=c\tValidUntilUs=5\n", "line 4: Rid is empty"},
		{"a CALL without a deadline", startInstance3 + "CALL\tRid=r\tBand=c\n", "line 4: ValidUntilUs is missing"},
		{"a negative number",
			startInstance3 + "CALL\tRid=r\tBand=c\tValidUntilUs=-5\n",
			`line 4: ValidUntilUs="-5" is not an unsigned 64-bit number`},
		{"a number that is too large",
			startInstance3 + "CALL\tRid=r\tBand=c\tValidUntilUs=99999999999999999999\n",
			`line 4: ValidUntilUs="99999999999999999999" is not an unsigned 64-bit number`},
		{"a time that is too large",
			startInstance3 + "CALL\tRid=r\tBand=c\tValidUntilUs=9999999999999999999\n",
			"line 4: ValidUntilUs exceeds the longest time.Duration"},
		{"an unknown outcome",
			startInstance3 + "ATTEMPT_END\tRid=r\tN=0\tEndpoint=h\tStateCode=Huh\tSpentUs=1\n",
			`line 4: unknown StateCode "Huh"`},
		{"an outcome without a number",
			startInstance3 + "ATTEMPT_END\tRid=r\tEndpoint=h\tStateCode=Ok\tSpentUs=1\n",
			"line 4: N is missing"},
		{"a load report without a number",
			startInstance3 + "CHECKED\tEndpoint=h\tStateCode=Ok\tSpentUs=1\tLoad=active\n",
			`line 4: Load has an element "active" that is not name:number`},
		{"input that ends in a batch", startInstance3, "line 4: input ends within a batch"},
		{"a last line without a newline", startInstance3 + "GO", "line 4: no newline at the end of input"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := read(c.text)
			if err == nil || err.Error() != c.want {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
}

// TestReplyIsWrittenAndParsed compares a reply with literal text, and checks that the Reader's
// splitFields parses its lines.
func TestReplyIsWrittenAndParsed(t *testing.T) {
	var r Reply
	a := r.Host(3)
	b := r.Host(5)
	a.Send("r1", "h:1", 1500*time.Nanosecond)
	a.Cancel("r1", 2)
	b.Reject("r2", balancer.NoCapacity, 0)
	b.Reject("r3", balancer.NoCapacity, time.Millisecond)
	b.Fail("r4", balancer.MayHaveRun)
	b.Subscribe()
	b.Timer(5 * time.Microsecond)
	b.Log(balancer.LogEvent{Kind: balancer.EndpointUnresponsive, Endpoint: "two\nlines"})
	b.Log(balancer.LogEvent{Kind: balancer.CapacityExhausted, QueuedRequests: 4})
	want := "ON_BEHALF\tSidecar=3\nDISPATCH\tRid=r1\tEndpoint=h:1\tPatienceUs=2\nSTOP_ATTEMPT\tRid=r1\tN=2\n" +
		"ON_BEHALF\tSidecar=5\nSAY_NO\tRid=r2\nSAY_NO\tRid=r3\tRetryInUs=1000\nFINISH_ERROR\tRid=r4\n" +
		"LISTEN\tActive=1\nSET_TIMER\tInstantUs=5\tMark=0\n" +
		"DEBUG\tWords=silent: two lines answers nothing and gets trials only\n" +
		"DEBUG\tWords=full: no endpoint has room, 4 requests wait\nFINISHED\n"
	got := string(r.Bytes())
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	reader := NewReader(nil)
	for _, line := range strings.Split(strings.TrimSpace(got), "\n") {
		name, rest, _ := bytes.Cut([]byte(line), []byte("\t"))
		if err := reader.splitFields(rest, string(name)); err != nil {
			t.Error(err)
		}
		back := string(name)
		for _, f := range reader.fields {
			back += "\t" + string(f.key) + "=" + string(f.value)
		}
		if back != line {
			t.Errorf("%q is parsed as %q", line, back)
		}
	}
	if got := string(r.Bytes()); got != "FINISHED\n" {
		t.Errorf("an empty reply is %q", got)
	}
}

func FuzzReader(f *testing.F) {
	f.Add(startInstance3 + "GO\n")
	f.Add("CLOCK\tAtTimeUs=8412250\nGO\n\n")
	f.Add(startInstance3 +
		"LEDGER\tRef=0\tHosts=1\nENDPOINT\tPhase=ready\tEndpoint=h\nREGISTRY\tMode=D\tGen=1\tRef=0\nGO\n")
	f.Add(startInstance3 + "CHECKED\tEndpoint=h:1\tStateCode=Ok\tSpentUs=3\tLoad=active:2.5,waiting:1\nGO\n")
	f.Fuzz(func(t *testing.T, text string) { // any text is either read or results in an error, never in a panic
		if _, err := read(text); err != nil && err.Error() == "" {
			t.Error("error with an empty message")
		}
	})
}
