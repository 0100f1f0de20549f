// Package hsrunner implements the runner role, which reconciles one endpoint on the same instance with the plan
// that the leader sends.
//
// A plan lists every run that should be at work on the endpoint. The runner starts the runs that are missing and
// stops those that aren't planned, extends the endpoint's run lease for as long as the leader granted it, and
// reports everything that the endpoint lists back to the leader. A start is retried until it is answered. A stop
// is retried until the endpoint confirms it; a confirmed stop also makes the endpoint reject a start that arrives
// late. The endpoint forgets the end of a run only after the leader has committed it.
//
// An endpoint that restarts keeps its identifier and gets a new hswork.EndpointIncarnation. The comments of this
// package call the time between two restarts an incarnation of the endpoint.
//
// A Runner persists nothing and isn't safe for concurrent use; the control goroutine owns it. Calls to the
// endpoint don't block; their results come back through HandleStartResult, HandleStopResult,
// HandleHoldResult and HandlePaceResult.
//
// # Usage
//
//	r := hsrunner.New(config, ports)
//	r.HandleAnnouncement(announcement) // from the endpoint
//	r.Receive(peer, plan)              // from a control replica
//	r.Wake()                           // at NextWake
package hsrunner
