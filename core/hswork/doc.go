// Package hswork declares the data types of step jobs and of the catalog that configures them.
//
// A step job is a directed acyclic graph of steps. Each step has a number of identical tasks, which run as a
// gang or independently, and starts once the steps that it depends on are done. A job may repeat: each
// repetition is an occurrence with a due time. The catalog is one versioned document that lists the queues to
// which jobs are submitted, the pools of endpoints that run them, and the workspaces with their API keys and
// guarantees.
//
// The package holds data and lookups only: hslifecycle changes a State, and hsdispatch decides what runs where.
// Times in a State are cluster time (see hsstate); due times are Unix times in milliseconds. A State isn't safe
// for concurrent use.
//
// # Usage
//
//	state := hswork.NewState()
//	queue, rest, ok := state.Catalog.Match("sizing.example", "/fit/0123456789abcdef")
//	job := state.Jobs[hswork.ID(rest)]
package hswork
