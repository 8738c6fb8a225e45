package sidecar

import "rowancart/internal/hotrestart"

// handoverPhase is the phase that this process is in with regard to process handovers.
//
//	phaseActive     <-> phaseSuperseded          at a check of the shared directory
//	phaseActive      -> phaseActiveShutdown      at SIGTERM
//	phaseSuperseded  -> phaseSupersededShutdown  at SIGTERM
//
// The shutdown phases are final: SIGTERM determines how this process shuts down, and later changes
// of the successor have no effect.
type handoverPhase int

const (
	phaseActive             handoverPhase = iota // this process accepts connections
	phaseSuperseded                              // a successor serves, and this process has paused accepting connections
	phaseActiveShutdown                          // shutting down; no successor was serving at SIGTERM
	phaseSupersededShutdown                      // shutting down; a successor was serving at SIGTERM
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

// isSuperseded reports whether a successor accepts connections instead of this process.
func (p handoverPhase) isSuperseded() bool {
	return p == phaseSuperseded || p == phaseSupersededShutdown
}
