// Package hsstate declares the data types of the replicated state and of the commands that change it.
//
// Every control replica holds one State. It changes only when a committed entry of the control log is applied,
// so replicas with equal logs have equal states. The package holds data and lookups only: the packages under
// core/command write a State, those under core/query read it.
//
// All times are cluster time: the total time that leaders have led since the cluster was formed. The entries
// carry it, so that the state doesn't depend on any wall clock.
//
// A State isn't safe for concurrent use; it belongs to the control goroutine.
//
// # Usage
//
//	state := hsstate.New()
//	result := hscommit.Apply(state, entry)
//	job := state.Jobs["kejetia-42"]
package hsstate
