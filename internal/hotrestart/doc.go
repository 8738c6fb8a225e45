// Package hotrestart manages the state that the processes of one sidecar share during a process
// handover: which processes are running, which endpoints the operators have disabled, and the
// learned state.
//
// Each item is a separate file in one directory. Concurrent changes to different items therefore
// cannot overwrite each other, and a killed process leaves no partial change.
//
// These terms apply wherever a process of the sidecar or of the daemon replaces another:
//
//	process handover  the transfer of the listening socket, the disabled endpoints and the learned
//	                  state from one process to the next
//	predecessor       the earlier process, which is replaced
//	successor         the later process, which replaces the predecessor; the processes of a sidecar
//	                  are ordered by SharedDir.Register
//	superseded        the phase of a predecessor whose successor serves requests
//	peer process      any other running process of the same sidecar, predecessor or successor;
//	                  "peer" alone means the other end of a connection
//
// The term "hot restart" is used only in the name of this package.
package hotrestart
