// Package hsstate declares the replicated state and the commands that change it, as plain data.
//
// Every control replica holds one State. It changes only when a committed entry of the control log is
// applied, so equal logs give equal states. The package decides nothing: the packages under
// core/command write a State, the packages under core/query read one. Times are cluster time: the
// time that leaders have spent leading since the cluster was formed, carried by the entries, so no
// wall clock takes part.
//
// A State isn't safe for concurrent use; its owner is the control goroutine.
//
// # Usage
//
//	state := hsstate.New()
//	result := hscommit.Apply(state, entry)
//	job := state.Jobs["kejetia-42"]
package hsstate
