// Package hsquorum replicates one log of commands to all control replicas.
//
// It implements Raft (Ongaro and Ousterhout, 2014) as a deterministic state machine, with the pre-vote
// phase and the single-server membership changes of Ongaro's dissertation, and with a leader lease after
// Gray and Cheriton (1989). Its inputs are messages, completed saves and the passing of time; its outputs
// are messages, saves and applied entries. It reads the time only from the Clock it is given.
//
// A leader acts only while Leading reports true: it has applied an entry of its own term, and a quorum
// answered requests that it sent less than one lease duration ago. A replica grants no vote within the
// minimum election timeout after it heard from a leader or started, except for a leadership transfer, before
// which the old leader steps down. The lease is shorter than that timeout by more than two clocks can drift
// apart, so two leaders never act at the same time.
//
// A Replica isn't safe for concurrent use; the control goroutine owns it.
//
// # Usage
//
//	r, err := hsquorum.New(config, hsquorum.Ports{...}, stored)
//	r.Receive(message)      // from another replica
//	r.SaveCompleted(number) // the save with this number is durable
//	r.Wake()                // at NextWake
//	index, err := r.Propose(command)
//	r.Flush()               // after each batch of inputs
package hsquorum
