// Package hsid declares the named types for identifiers and units.
//
// Every identifier and every quantity that crosses a package boundary has its own type, so that the compiler
// rejects a rack where an availability zone is expected, or cores where accelerators are. The values are
// immutable and comparable, and safe for concurrent use.
//
// # Usage
//
//	job := hsid.JobID("kejetia-42")
//	grant := hsid.Grant{Job: job, Attempt: 1, Term: 3}
//	fmt.Println(grant) // kejetia-42/1/3
package hsid
