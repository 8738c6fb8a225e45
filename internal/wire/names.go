package wire

// The simulator's names. The name of each constant uses the term of package balancer. Fields whose
// names end in Us are in microseconds.

// Names of the messages that the Reader handles. It skips messages with other names, which belong
// to later versions of the protocol.
const (
	msgBeginBatch     = "CLOCK"
	msgEndBatch       = "GO"
	msgSelectInstance = "SWITCH_TO" // selects the instance that receives the following messages

	msgBeginList = "LEDGER"   // begins an endpoint list; its entries follow
	msgListEntry = "ENDPOINT" // one entry of the list that was begun last

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

// Names of the messages in a Reply.
const (
	msgActionsOf = "ON_BEHALF" // selects the instance whose actions follow
	msgSend      = "DISPATCH"
	msgCancel    = "STOP_ATTEMPT"
	msgReject    = "SAY_NO"
	msgFail      = "FINISH_ERROR"
	msgSubscribe = "LISTEN"
	msgSetTimer  = "SET_TIMER"
	msgLog       = "DEBUG"
	msgEndReply  = "FINISHED"
)

// Names of fields in both directions.
const (
	fieldInstance  = "Sidecar" // index of an instance
	fieldRequestID = "Rid"
	fieldAttempt   = "N"
	fieldEndpoint  = "Endpoint" // ID of an endpoint
	fieldTimer     = "Mark"     // number of a timer
)

// Names of fields that the Reader handles.
const (
	fieldNow  = "AtTimeUs"   // time of a batch
	fieldSeed = "RandomSeed" // in msgStart, which also has the field platform.SettingsField

	fieldListNumber = "Ref"   // number of an endpoint list
	fieldEntryCount = "Hosts" // number of entries in a list
	fieldListMode   = "Mode"  // modeFailed, modeComplete, modeFull or modeChanges
	fieldVersion    = "Gen"   // version of a list; not used

	fieldZone    = "Zone"
	fieldKind    = "Sku"
	fieldCell    = "Pack"
	fieldStarted = "LastStartUs"
	fieldState   = "Phase" // a key of statesByName

	fieldClass      = "Band"
	fieldTenant     = "Team"
	fieldDeadline   = "ValidUntilUs"
	fieldAttributes = "Attrs" // bit set, see attrClientRetry

	fieldLatency    = "SpentUs"
	fieldFinal      = "DoneFlag"
	fieldResult     = "StateCode" // a key of resultsByName
	fieldLoadReport = "Load"
)

// Names of fields in a Reply.
const (
	fieldTimeout    = "PatienceUs"
	fieldRetryAfter = "RetryInUs"
	fieldSubscribed = "Active"
	fieldTimerAt    = "InstantUs"
	fieldText       = "Words"
)

// Modes of a msgEndpointList.
const (
	modeFailed   = "X" // discovery failed; there is no list
	modeComplete = "C" // all endpoints
	modeFull     = "F" // all endpoints, like modeComplete
	modeChanges  = "D" // only the endpoints that have changed
)
