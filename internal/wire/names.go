package wire

// The names of the simulator, each next to the term of package balancer.

// Messages that the Reader accepts. Messages of any other name belong to a later protocol and are
// skipped.
const (
	msgBeginBatch     = "CLOCK"
	msgEndBatch       = "GO"
	msgSelectInstance = "SWITCH_TO" // names the instance that the following messages are for

	msgBeginList = "LEDGER"   // begins an endpoint list, whose entries follow
	msgListEntry = "ENDPOINT" // one entry of the list begun last

	msgStart         = "START"
	msgStop          = "SHUTDOWN"
	msgEndpointList  = "REGISTRY"
	msgRequest       = "CALL"
	msgStreamStarted = "FLOWING"
	msgOutcome       = "ATTEMPT_END"
	msgDisconnected  = "LEFT" // the client has disconnected
	msgTimer         = "BELL"
	msgHealthCheck   = "CHECKED"
	msgText          = "MESSAGE" // free text, which is ignored
)

// Messages of a Reply.
const (
	msgActionsOf = "ON_BEHALF" // names the instance whose actions follow
	msgSend      = "DISPATCH"
	msgCancel    = "STOP_ATTEMPT"
	msgReject    = "SAY_NO"
	msgFail      = "FINISH_ERROR"
	msgSubscribe = "LISTEN"
	msgSetTimer  = "SET_TIMER"
	msgLog       = "DEBUG"
	msgEndReply  = "FINISHED"
)

// Fields of messages in both directions. Those whose names end in Us are in microseconds.
const (
	fieldInstance  = "Sidecar"
	fieldRequestID = "Rid"
	fieldAttempt   = "N"
	fieldEndpoint  = "Endpoint" // its ID
	fieldTimer     = "Mark"     // number of a timer
)

// Fields of messages that the Reader accepts.
const (
	fieldNow  = "AtTimeUs"   // of msgBeginBatch
	fieldSeed = "RandomSeed" // of msgStart, which also has platform.SettingsField

	fieldList     = "Ref"   // number of an endpoint list
	fieldEntries  = "Hosts" // number of entries of a list
	fieldListMode = "Mode"  // one of the modes of a list below
	fieldVersion  = "Gen"   // version of a list, which is not used

	fieldZone    = "Zone"
	fieldKind    = "Sku"
	fieldCell    = "Pack"
	fieldStarted = "LastStartUs"
	fieldState   = "Phase" // a key of states

	fieldClass      = "Band"
	fieldTenant     = "Team"
	fieldDeadline   = "ValidUntilUs"
	fieldAttributes = "Attrs" // bits, see attrClientRetry

	fieldLatency    = "SpentUs"
	fieldFinal      = "DoneFlag"
	fieldResult     = "StateCode" // a key of results
	fieldLoadReport = "Load"
)

// Fields of messages of a Reply.
const (
	fieldTimeout    = "PatienceUs"
	fieldRetryAfter = "RetryInUs"
	fieldSubscribed = "Active"
	fieldTimerAt    = "InstantUs"
	fieldText       = "Words"
)

// Modes of an endpoint list.
const (
	modeFailed   = "X" // discovery failed: there is no list
	modeComplete = "C" // all endpoints
	modeFull     = "F" // all endpoints, too
	modeChanges  = "D" // only the endpoints that have changed
)
