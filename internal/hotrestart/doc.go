// Package hotrestart holds what the processes of one sidecar share during a process handover: which
// of them are running, which endpoints the operators have disabled, and the learned state.
//
// Each fact is a file of its own in one directory. So writers can't undo each other's changes, and
// a process that is killed leaves nothing half done.
//
// The terms, here and wherever a process of the sidecar or of the daemon replaces another:
//
//	process handover  all that passes from one process to the next: the listening socket, the
//	                  disabled endpoints and the learned state
//	predecessor       the process that registered earlier, and is replaced
//	successor         the process that registered later, and replaces it
//	superseded        the phase of a predecessor whose successor serves
//	peer process      any other running process of the same sidecar, in either role; a peer alone
//	                  is the other end of a connection
//
// The package's own name is the only place that says hot restart.
package hotrestart
