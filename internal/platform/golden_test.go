package platform

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"rowancart/balancer"
)

// The golden tests compare every name of the platform with literal text. In all other tests the
// program under test and the fake platform both use this package, so a wrong name would go
// unnoticed.

const goldenList = `{"version":7,"full":true,"servers":[` +
	`{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":3,"state":"Ready","weight":1,` +
	`"started_ms":1800000000000},` +
	`{"id":"b","addr":"127.0.0.1:2","zone":"","kind":"","cell":0,"state":"Terminating","weight":0.5,"started_ms":0}]}`

const goldenChange = `{"version":8,"full":false,"servers":[` +
	`{"id":"b","addr":"","zone":"","kind":"","cell":0,"state":"Gone","weight":0,"started_ms":0}]}`

const goldenEmptyList = `{"version":0,"full":true,"servers":[]}`

func TestGoldenEndpointList(t *testing.T) {
	ready := Endpoint{ID: "a", Addr: "127.0.0.1:1", Zone: "z", Kind: "k", Cell: 3, State: StateReady,
		StartedMs: 1800000000000}
	draining := Endpoint{ID: "b", Addr: "127.0.0.1:2", State: StateDraining}
	removed := Endpoint{ID: "b", State: StateRemoved}
	weighted := func(e Endpoint, weight float64) Endpoint {
		e.Weight.Value = weight
		return e
	}
	for name, test := range map[string]struct {
		text    string
		written EndpointList
		read    EndpointList // without values of type WriteOnly, which are not decoded
	}{
		"list": {goldenList,
			CompleteList(7, weighted(ready, 1), weighted(draining, 0.5)), CompleteList(7, ready, draining)},
		"change":     {goldenChange, Changes(8, removed), Changes(8, removed)},
		"empty list": {goldenEmptyList, CompleteList(0), CompleteList(0)},
	} {
		t.Run(name, func(t *testing.T) {
			if got := string(test.written.Text()); got != test.text {
				t.Errorf("written:\n%s, want\n%s", got, test.text)
			}
			read, err := ParseEndpointList([]byte(test.text))
			if err != nil || !reflect.DeepEqual(read, test.read) {
				t.Errorf("read: %+v, %v, want %+v", read, err, test.read)
			}
		})
	}
}

func TestGoldenStates(t *testing.T) {
	for name, want := range map[State]balancer.State{
		"Ready":       balancer.Ready,
		"Terminating": balancer.Draining,
		"Gone":        balancer.Removed,
	} {
		if state, ok := name.EndpointState(); !ok || state != want {
			t.Errorf("%s: state %v, known %v, want state %v", name, state, ok, want)
		}
	}
}

const goldenSettings = `{"NInstances":4,"Me":2,"Tier":1,"Tiers":["front","middle","back"],"Lanes":[` +
	`{"Name":"look","Semantics":"read_like","Group":"all","OnTimeUs":1,"HardLimitUs":2,"WindowUs":0,"Credit":5},` +
	`{"Name":"pay","Semantics":"idempotency_key","Group":"zone","OnTimeUs":3,"HardLimitUs":4,"WindowUs":6,"Credit":0},` +
	`{"Name":"book","Semantics":"non_idempotent","Group":"cell","OnTimeUs":7,"HardLimitUs":8,"WindowUs":0,"Credit":0}],` +
	`"Accounts":[{"Name":"erie","QuotaPerS":2.5,"Share":0.25}],"Discovery":"subscribe","ResolutionUs":9,` +
	`"Permissions":{"MayCancel":true,"MayProbe":true,"RetryAfter":true,"TryLimit":3,"MaxRetryAfterUs":10,` +
	`"ConnIdleUs":11,"DialTimeoutUs":12},` +
	`"Rules":{"AskWithinUs":13,"ColdUs":14,"DrainGraceUs":15,"ColdFrom":0.5,"ColdShare":0.75,` +
	`"FallMultiple":4,"TipAfterUs":16}}`

// goldenSettingsObject returns the object whose JSON form is goldenSettings.
func goldenSettingsObject() SettingsObject {
	return SettingsObject{
		Instances: 4,
		Index:     2,
		Tier:      1,
		Tiers:     []string{"front", "middle", "back"},
		Classes: []ClassSettings{
			{Name: "look", Idempotency: Idempotent, KeyScope: KeyScopeAll, LatencyObjectiveUs: 1,
				MaxDeadlineUs: 2, PriorityWeight: WriteOnly[float64]{5}},
			{Name: "pay", Idempotency: IdempotencyKeyed, KeyScope: KeyScopeZone, LatencyObjectiveUs: 3,
				MaxDeadlineUs: 4, KeyWindowUs: 6},
			{Name: "book", Idempotency: NonIdempotent, KeyScope: KeyScopeCell, LatencyObjectiveUs: 7,
				MaxDeadlineUs: 8},
		},
		Tenants:      []TenantSettings{{Name: "erie", Quota: 2.5, TrafficShare: WriteOnly[float64]{0.25}}},
		Discovery:    DiscoverySubscribe,
		ResolutionUs: 9,
		Permissions: Permissions{
			CancelAllowed:      true,
			HealthCheckAllowed: WriteOnly[bool]{true},
			RetryAfterAllowed:  true,
			MaxAttempts:        3,
			MaxRetryAfterUs:    10,
			ConnIdleUs:         11,
			DialTimeoutUs:      12,
		},
		EndpointBehavior: EndpointBehavior{
			PollIntervalUs:    13,
			SlowStartWindowUs: 14,
			DrainGraceUs:      15,
			SlowStartCapacity: 0.5,
			SlowStartShare:    0.75,
			OverloadMultiple:  WriteOnly[float64]{4},
			OverloadWindowUs:  WriteOnly[int64]{16},
		},
	}
}

func TestGoldenSettings(t *testing.T) {
	text, err := json.Marshal(goldenSettingsObject())
	if err != nil || string(text) != goldenSettings {
		t.Errorf("written: %v\n%s, want\n%s", err, text, goldenSettings)
	}
	const us = time.Microsecond
	want := Settings{
		Settings: balancer.Settings{
			Instances: 4,
			Index:     2,
			Classes: []balancer.Class{
				{Name: "look", Idempotency: balancer.Idempotent, KeyScope: balancer.KeyScopeAll, LatencyObjective: 1 * us},
				{Name: "pay", Idempotency: balancer.IdempotencyKeyed, KeyScope: balancer.KeyScopeZone, LatencyObjective: 3 * us,
					KeyWindow: 6 * us},
				{Name: "book", Idempotency: balancer.NonIdempotent, KeyScope: balancer.KeyScopeCell, LatencyObjective: 7 * us},
			},
			Tenants:           []balancer.Tenant{{Name: "erie", Quota: 2.5}},
			Tier:              1,
			TiersBelow:        1,
			PollInterval:      13 * us,
			SubscribeRequired: true,
			MaxAttempts:       3,
			CancelAllowed:     true,
			MaxRetryAfter:     10 * us,
			Resolution:        9 * us,
			SlowStartCapacity: 0.5,
			SlowStartShare:    0.75,
			SlowStartWindow:   14 * us,
		},
		ConnIdle:    11 * us,
		DialTimeout: 12 * us,
		MaxDeadline: 8 * us,
		DrainGrace:  15 * us,
	}
	read, err := ParseSettings([]byte(goldenSettings))
	if err != nil || !reflect.DeepEqual(read, want) {
		t.Errorf("read: %v\n%+v, want\n%+v", err, read, want)
	}
}

func TestGoldenConfigFile(t *testing.T) {
	const golden = `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","console":"127.0.0.1:3","seed":"1f",` +
		`"limits":{"cores":0.5,"memory_mb":64,"sockets":128},` +
		`"known":` + goldenEmptyList + `,"settings":` + goldenSettings + `}`
	file := ConfigFile{
		Name:           "n",
		Listen:         "127.0.0.1:1",
		Discovery:      "127.0.0.1:2",
		AdminAddr:      "127.0.0.1:3",
		Seed:           "1f",
		Limits:         ConfigLimits{Cores: 0.5, MemoryMB: 64, Sockets: 128},
		KnownEndpoints: CompleteList(0),
		Settings:       goldenSettingsObject(),
	}
	text, err := json.Marshal(file)
	if err != nil || string(text) != golden {
		t.Errorf("written: %v\n%s, want\n%s", err, text, golden)
	}
	var raw RawConfigFile
	if err := json.Unmarshal([]byte(golden), &raw); err != nil {
		t.Fatal(err)
	}
	if raw.Name != "n" || raw.Listen != "127.0.0.1:1" || raw.Discovery != "127.0.0.1:2" ||
		raw.AdminAddr != "127.0.0.1:3" || raw.Seed != "1f" || raw.Limits != file.Limits ||
		string(raw.KnownEndpoints) != goldenEmptyList || string(raw.Settings) != goldenSettings {
		t.Errorf("read raw: %+v", raw)
	}
	var read ConfigFile
	if err := json.Unmarshal([]byte(golden), &read); err != nil {
		t.Fatal(err)
	}
	file.Settings.Classes[0].PriorityWeight.Value = 0 // WriteOnly values are not decoded
	file.Settings.Tenants[0].TrafficShare.Value = 0
	file.Settings.Permissions.HealthCheckAllowed.Value = false
	file.Settings.EndpointBehavior.OverloadMultiple.Value = 0
	file.Settings.EndpointBehavior.OverloadWindowUs.Value = 0
	if !reflect.DeepEqual(read, file) {
		t.Errorf("read: %+v, want %+v", read, file)
	}
}

func TestGoldenNames(t *testing.T) {
	for _, test := range []struct{ name, want string }{
		{RequestIDHeader, "Req-Id"},
		{TenantHeader, "Req-Owner"},
		{DeadlineHeader, "Req-Deadline-Ms"},
		{ClientRetryHeader, "Req-Retry"},
		{ClientRetryValue, "1"},
		{IdempotencyKeyHeader, "Idempotency-Key"},
		{RejectedHeader, "Srv-Declined"},
		{RejectedValue, "1"},
		{LoadReportHeader, "Srv-Load"},
		{HealthPath, "/_health"},
		{EndpointListPath, "/catalog/members"},
		{WatchQuery(42), "watch=1&after=42"},
		{SettingsField, "Config"},
		{ListenField, "listen"},
		{DiscoveryField, "discovery"},
		{AdminAddrField, "console"},
		{SeedField, "seed"},
		{KnownEndpointsField, "known"},
		{ConfigSettingsField, "settings"},
		{CoresField, "limits.cores"},
		{MemoryMBField, "limits.memory_mb"},
		{SocketsField, "limits.sockets"},
		{EnvConfig, "ROUTER_CONFIG"},
		{EnvName, "ROUTER_NAME"},
		{EnvListen, "ROUTER_LISTEN"},
		{EnvDiscovery, "ROUTER_DISCOVERY"},
		{EnvAdminAddr, "ROUTER_CONSOLE"},
		{EnvAcceptFD, "ROUTER_ACCEPT_FD"},
		{EnvSharedDir, "TMPDIR"},
	} {
		if test.name != test.want {
			t.Errorf("%q, want %q", test.name, test.want)
		}
	}
}

// Fields that no sidecar uses may have any JSON value, as unknown fields may.
func TestUnusedFieldsAreNotDecoded(t *testing.T) {
	for _, value := range []string{`null`, `1e999`, `"heavy"`, `true`, `[1]`, `{"a":[]}`} {
		list := `{"version":1,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"Ready","weight":` + value +
			`}]}`
		if _, err := ParseEndpointList([]byte(list)); err != nil {
			t.Errorf("%s: %v", list, err)
		}
		settings := `{"Lanes":[{"Name":"look","Semantics":"read_like","Credit":` + value + `}],"Accounts":[{"Share":` +
			value + `}],"Permissions":{"MayProbe":` + value + `},"Rules":{"FallMultiple":` + value +
			`,"TipAfterUs":` + value + `}}`
		if _, err := ParseSettings([]byte(settings)); err != nil {
			t.Errorf("%s: %v", settings, err)
		}
	}
}
