// Package hsdispatch decides, on the leader, which task of a step job runs on which worker.
//
// A Dispatcher is a deterministic state machine beside the replicated state. Starts and ends go through the
// log: a run is placed when its start is committed, and stays placed until it is proved to be over, by an
// end that its endpoint lists, by a later life of the endpoint, by a stop that was confirmed before the run
// began, or by the end of the run lease. Only then is a task placed again. What a leader learns by itself
// (workers, leases, claims) is built anew by the next one from the runners' tallies.
//
// Each runner is sent the whole of what its endpoint should run and tells the whole of what it does run, so
// that any message may be lost, doubled, late or crossed.
//
// A Dispatcher isn't safe for concurrent use; the control goroutine owns it.
//
// # Usage
//
//	d := hsdispatch.New(config, ports, state, term)
//	d.Receive(peer, tally)
//	d.Applied(command)
//	d.Wake()
//	d.Flush() // after each batch of inputs
package hsdispatch
