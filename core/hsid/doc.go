// Package hsid declares the named types for identifiers and units.
//
// Every identifier and every quantity that crosses a package boundary has a type of its own, so that
// a rack can't be passed where an availability zone is meant, or cores where accelerators are. The
// types hold plain values: they are comparable, ordered and safe for concurrent use.
//
// # Usage
//
//	job := hsid.JobID("kejetia-42")
//	grant := hsid.Grant{Job: job, Attempt: 1, Term: 3}
//	fmt.Println(grant) // kejetia-42/1/3
package hsid
