// Package hotrestart manages the state that the processes of one sidecar share during a process
// handover: which processes are running, which endpoints the operators have disabled, and the
// learned state.
//
// Each item is a separate file in one directory. Concurrent writers therefore cannot overwrite each
// other's changes, and a killed process leaves no partial change.
//
// These terms apply wherever a process of the sidecar or of the daemon replaces another:
//
//	process handover  the transfer of the listening socket, the disabled endpoints and the learned
//	                  state from one process to the next
//	predecessor       the process that registered earlier and is replaced
//	successor         the process that registered later and replaces the predecessor
//	superseded        the phase of a predecessor whose successor serves requests
//	peer process      any other running process of the same sidecar, predecessor or successor;
//	                  "peer" alone means the other end of a connection
//
// The term "hot restart" is used only in the name of this package.
package hotrestart
