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
//	weight                 weight (not used)
//	Lanes                  classes
//	Semantics              idempotency
//	  read_like              idempotent
//	  idempotency_key        idempotent with a key
//	  non_idempotent         non-idempotent
//	Group                  key scope
//	OnTimeUs               latency objective
//	HardLimitUs            maximum deadline
//	WindowUs               key window
//	Credit                 priority weight (not used)
//	Accounts               tenants
//	QuotaPerS              quota
//	Share                  traffic share (not used)
//	NInstances, Me         instances, index
//	Discovery              discovery mode
//	Permissions            permissions
//	  MayCancel              cancel allowed
//	  MayProbe               health checks allowed (not used)
//	  TryLimit               maximum attempts
//	  ConnIdleUs             connection idle timeout
//	Rules                  endpoint behaviour
//	  AskWithinUs            poll interval
//	  ColdUs                 slow-start window
//	  ColdFrom               slow-start capacity
//	  ColdShare              slow-start share
//	  FallMultiple           overload multiple (not used)
//	  TipAfterUs             overload window (not used)
//	known                  known endpoints
//	console                admin address
//	sockets                descriptors
//
// The types of JSON messages serve both directions: sidecars decode them, and stand-ins for the
// platform, in tests and experiments, write them. Fields that only stand-ins need are WriteOnly.
// Golden tests hold every form to literal text.
//
// The simulator's line protocol, which uses other names for the same events, is package wire.
package platform
