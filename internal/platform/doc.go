// Package platform defines the names that the platform's protocol uses on the wire, in the
// sidecar's configuration file and in its environment. Other packages refer to them through the
// constants and types of this one, and otherwise use the usual terms of load balancing. The table
// lists the names with the terms for them:
//
//	on the wire            in the code
//	Req-Id                 request id
//	Req-Owner              tenant
//	Req-Deadline-Ms        client timeout, attempt timeout
//	Req-Retry              client retry
//	Idempotency-Key        idempotency key
//	Srv-Declined           rejected by the endpoint without running the request
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
//	Rules                  endpoint behavior
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
// The types of JSON messages are used in both directions: sidecars decode them, and the fake
// platforms of tests and experiments encode them. Fields that only the fake platforms need are of
// type WriteOnly. Golden tests compare the encoding of every type with literal text.
//
// Package wire implements the simulator's line protocol, which has other names for the same events.
package platform
