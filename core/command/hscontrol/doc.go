// Package hscontrol implements the control role. It runs one replica of the replicated control log and, while that
// replica leads, accepts jobs and rule files, grants leases, and schedules jobs on workers.
//
// Control is a deterministic state machine. State that must survive a change of leader is committed in the log. The
// rest (workers, leases, attempts being prepared, claims) is kept in memory by the leader, and the next leader
// rebuilds it from the agents' reports. Orders to an agent and reports from it always carry the complete list of
// grants, so messages may be lost, duplicated, delayed or reordered.
//
// A gang starts in two phases, like a two-phase commit: first every member's agent holds its accelerators, then the
// start is committed in the log, and only then are the agents told to run. An attempt whose members don't all hold
// their accelerators within Config.PrepareTimeout is aborted, and the job is placed again.
//
// A scheduling pass visits the queued jobs in order. A job that doesn't fit may claim accelerators, so that nobody
// else gets them while they drain: it reclaims its workspace's home, preempts jobs of a lower class, or reserves the
// accelerators that are estimated to be free first.
//
// The files: control.go dispatches inputs; leader.go holds the leader's state of one term; request.go, work.go and
// maintenance.go answer requests; leaderstate.go collects what queries read; schedule.go, claim.go, victims.go and
// reserve.go are the scheduling pass; attempt.go starts and ends attempts; agent.go exchanges reports and orders with
// agents; applied.go reacts to committed entries; wake.go handles timeouts; members.go changes the set of control
// replicas.
//
// A Control isn't safe for concurrent use; the control goroutine owns it.
//
// # Usage
//
//	c, err := hscontrol.New(config, ports, stored)
//	c.Receive(peer, message)
//	c.SaveCompleted(number)
//	c.Wake()  // at NextWake
//	c.Flush() // after each batch of inputs
package hscontrol
