package platform

// SettingsObject is the JSON form of Settings, under the platform's names. Fields whose names end
// in Us are in microseconds.
type SettingsObject struct {
	Instances        int              `json:"NInstances"`
	Index            int              `json:"Me"`
	Tier             int              `json:"Tier"`  // index of the instance's tier in Tiers
	Tiers            []string         `json:"Tiers"` // names of all tiers, beginning with the one that clients send to
	Classes          []ClassSettings  `json:"Lanes"`
	Tenants          []TenantSettings `json:"Accounts"`
	Discovery        string           `json:"Discovery"` // a discovery mode
	ResolutionUs     int64            `json:"ResolutionUs"`
	Permissions      Permissions      `json:"Permissions"`
	EndpointBehavior EndpointBehavior `json:"Rules"`
}

// Discovery modes.
const (
	DiscoveryAutomatic = "automatic" // the default
	DiscoverySubscribe = "subscribe" // endpoint lists are sent only to instances that subscribe
)

// ClassSettings are the settings of one class of requests.
type ClassSettings struct {
	Name               string             `json:"Name"`
	Idempotency        string             `json:"Semantics"`
	KeyScope           string             `json:"Group"`
	LatencyObjectiveUs int64              `json:"OnTimeUs"`
	MaxDeadlineUs      int64              `json:"HardLimitUs"`
	KeyWindowUs        int64              `json:"WindowUs"`
	PriorityWeight     WriteOnly[float64] `json:"Credit"`
}

// Values of ClassSettings.Idempotency.
const (
	Idempotent       = "read_like"
	IdempotencyKeyed = "idempotency_key"
	NonIdempotent    = "non_idempotent"
)

// Values of ClassSettings.KeyScope: which endpoints share their record of idempotency keys, so that
// each of them drops a duplicate request.
const (
	KeyScopeAll  = "all" // the default
	KeyScopeZone = "zone"
	KeyScopeCell = "cell"
)

// TenantSettings are the settings of one tenant.
type TenantSettings struct {
	Name         string             `json:"Name"`
	Quota        float64            `json:"QuotaPerS"` // requests a second
	TrafficShare WriteOnly[float64] `json:"Share"`
}

// Permissions are what a sidecar is permitted to do, and the timeouts of its connections.
type Permissions struct {
	CancelAllowed      bool            `json:"MayCancel"`
	HealthCheckAllowed WriteOnly[bool] `json:"MayProbe"`
	RetryAfterAllowed  bool            `json:"RetryAfter"`
	MaxAttempts        int             `json:"TryLimit"`
	MaxRetryAfterUs    int64           `json:"MaxRetryAfterUs"`
	ConnIdleUs         int64           `json:"ConnIdleUs"`
	DialTimeoutUs      int64           `json:"DialTimeoutUs"`
}

// EndpointBehavior is the behavior of endpoints and of discovery that a sidecar can rely on.
type EndpointBehavior struct {
	PollIntervalUs    int64   `json:"AskWithinUs"`
	SlowStartWindowUs int64   `json:"ColdUs"`
	DrainGraceUs      int64   `json:"DrainGraceUs"`
	SlowStartCapacity float64 `json:"ColdFrom"`
	SlowStartShare    float64 `json:"ColdShare"` // an extension of this project: the platform does not send it

	// An endpoint whose load is OverloadMultiple times its capacity withstands it for OverloadWindowUs
	// before it collapses.

	OverloadMultiple WriteOnly[float64] `json:"FallMultiple"`
	OverloadWindowUs WriteOnly[int64]   `json:"TipAfterUs"`
}
