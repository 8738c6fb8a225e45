package sidecar

import "rowancart/internal/hotrestart"

// handoverPhase is the phase of this process in the process handovers of its sidecar.
//
//	phaseActive     <-> phaseSuperseded          at a check of the shared directory
//	phaseActive      -> phaseActiveShutdown      at SIGTERM
//	phaseSuperseded  -> phaseSupersededShutdown  at SIGTERM
//
// The shutdown phases are final: a shutdown goes on as it has begun, whatever happens to the
// successor.
type handoverPhase int

const (
	phaseActive             handoverPhase = iota // this process accepts connections
	phaseSuperseded                              // a successor serves, and this process has paused accepting
	phaseActiveShutdown                          // shutting down; no successor served at SIGTERM
	phaseSupersededShutdown                      // shutting down while a successor serves
)

// afterCheck returns the phase that follows a check for peer processes.
func (p handoverPhase) afterCheck(peers hotrestart.PeerProcesses) handoverPhase {
	switch {
	case p == phaseActive && peers.SuccessorServes:
		return phaseSuperseded
	case p == phaseSuperseded && !peers.SuccessorServes:
		return phaseActive
	}
	return p
}

// afterSIGTERM returns the phase that follows SIGTERM.
func (p handoverPhase) afterSIGTERM() handoverPhase {
	switch p {
	case phaseActive:
		return phaseActiveShutdown
	case phaseSuperseded:
		return phaseSupersededShutdown
	}
	return p
}

// isSuperseded reports whether a successor accepts connections in place of this process.
func (p handoverPhase) isSuperseded() bool {
	return p == phaseSuperseded || p == phaseSupersededShutdown
}
