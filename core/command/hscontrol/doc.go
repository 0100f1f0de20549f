// Package hscontrol is the control role: it keeps one replica of the control log and, while that
// replica leads, accepts jobs and rules, grants leases, and decides what runs where.
//
// Control is a deterministic state machine. Everything that outlives a leader goes through the log;
// what a leader learns by itself (workers, leases, preparations, claims) is built anew by the next one
// from the agents' reports. Each agent is sent the whole of what it should hold and reports the whole
// of what it does hold, so that any message may be lost, doubled, late or crossed.
//
// A gang starts in two phases: every member agent first holds its accelerators, then the start is
// committed in the log, and only then are the agents told to run. A preparation that isn't whole in
// time is dropped everywhere and made anew elsewhere.
//
// A Control isn't safe for concurrent use; the control goroutine owns it.
//
// # Usage
//
//	c, err := hscontrol.New(config, ports, stored)
//	c.Receive(peer, message)
//	c.Synced(number)
//	c.Wake()  // at NextWake
//	c.Flush() // after each batch of inputs
package hscontrol
