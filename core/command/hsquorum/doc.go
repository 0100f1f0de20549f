// Package hsquorum keeps one log of commands equal on all control replicas.
//
// It is a deterministic state machine in the manner of Raft (Ongaro and Ousterhout, 2014) with the
// pre-vote round and the single-server membership changes of Ongaro's dissertation, and with a leader
// lease after Gray and Cheriton (1989). Messages, finished syncs and the passing of time are inputs;
// messages, saves and applied entries are outputs. It reads time only from the Clock it is given.
//
// A leader acts only while Leading reports true: it has applied an entry of its own term, and a
// quorum answered a heartbeat that it sent less than a lease ago. A replica votes for nobody within
// an election timeout of hearing from a leader or of its own start. The lease is shorter than that
// timeout by more than two clocks can drift apart, so two leaders never act at once.
//
// A Replica isn't safe for concurrent use; the control goroutine owns it.
//
// # Usage
//
//	r := hsquorum.New(config, hsquorum.Ports{...}, stored)
//	r.Receive(message)   // from another replica
//	r.Synced(number)     // the save with this number is on the disk
//	r.Wake()             // at NextWake
//	index, err := r.Propose(command)
//	r.Flush()            // after each batch of inputs
package hsquorum
