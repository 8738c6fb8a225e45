// Package platform holds the names of the platform's protocol: what stands on the wire, in the
// sidecar's configuration and in its environment. It is the only place that spells them. Everywhere
// else the code uses the terms of the field, which stand beside each name here:
//
//	on the wire            in the code
//	Req-Id                 request id
//	Req-Owner              tenant
//	Req-Deadline-Ms        client timeout, attempt timeout
//	Req-Retry              client retry
//	Idempotency-Key        idempotency key
//	Srv-Declined           rejected by the endpoint before it ran
//	Srv-Load               load report
//	servers, members       endpoint list
//	full                   complete
//	Ready                  ready
//	Terminating            draining
//	Gone                   removed
//	Lanes                  classes
//	Semantics              repeatability
//	  read_like              idempotent
//	  idempotency_key        idempotent with a key
//	  non_idempotent         non-idempotent
//	Group                  key scope
//	OnTimeUs               latency objective
//	HardLimitUs            maximum deadline
//	WindowUs               key window
//	Accounts               tenants
//	QuotaPerS              quota
//	NInstances, Me         instances, index
//	MayCancel              cancel allowed
//	TryLimit               maximum attempts
//	AskWithinUs            poll interval
//	ColdUs                 slow-start window
//	ColdFrom               slow-start capacity
//	ColdShare              slow-start share
//	known                  known endpoints
//	console                admin address
//
// The simulator's line protocol, which uses other names for the same events, is package wire.
package platform
