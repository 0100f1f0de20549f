// Package hsdispatch decides, on the leader, which task of a step job runs on which worker.
//
// A Dispatcher is a deterministic state machine next to the replicated state. Starts and ends go through the
// log: a run is placed when its start is committed, and stays placed until there is proof that it has ended: an
// end listed by its endpoint, a later incarnation of the endpoint, a stop that was confirmed before the run began, or
// the expiry of the run lease. Only then is the task placed again. State that isn't replicated (workers,
// leases, claims) is rebuilt by the next leader from the reports of the runners.
//
// The protocol with the runners is declarative. A plan lists everything that an endpoint should run, and a report
// lists everything that it does run, so that messages may be lost, duplicated, delayed or reordered.
//
// A pass goes through the waiting units in order of priority and urgency. A unit is a gang or a single task. Each
// unit starts if it fits into free capacity; otherwise other runs may be preempted for it, which creates a
// claim, or workers are reserved for it, and smaller or shorter units are backfilled around the reservation.
//
// A Dispatcher isn't safe for concurrent use; the control goroutine owns it.
//
// # Usage
//
//	d := hsdispatch.New(config, ports, state, term)
//	d.Receive(peer, report)
//	d.Applied(command)
//	d.Wake()
//	d.Flush() // after each batch of inputs
package hsdispatch
