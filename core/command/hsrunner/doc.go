// Package hsrunner is the runner role: it stands beside one endpoint and brings it to what the leader
// planned.
//
// The leader sends the whole of what should run there; the runner starts what is missing, stops what is too
// much, holds the endpoint's run lease for as long as the leader granted it, and tells the leader the whole
// of what the endpoint lists. A start is repeated until it is answered; a run that isn't wanted any more is
// stopped until the endpoint confirms it, which also keeps a late start from beginning. The endpoint
// forgets an end only after the leader said that it is committed.
//
// A Runner keeps nothing on a disk and isn't safe for concurrent use; the control goroutine owns it. Calls
// to the endpoint don't block; their results come back through the methods of the same names.
//
// # Usage
//
//	r := hsrunner.New(config, ports)
//	r.Announce(announcement) // what the endpoint says of itself
//	r.Receive(peer, plan)
//	r.Wake()                 // at NextWake
package hsrunner
