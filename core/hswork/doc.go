// Package hswork declares step jobs and the catalog that they are accepted under, as plain data.
//
// A step job is a list of steps; each step has a number of equal tasks that run as a gang or
// independently, and starts once the steps that it follows are done. A job may repeat: each repetition is
// an occurrence with a due time. The catalog is one versioned document that lists the queues that jobs are
// handed in to, the pools of endpoints that run them, and the workspaces with their keys and guarantees.
//
// The package decides nothing beyond reading: hsflow changes a State, hsdispatch decides what runs where.
// Times in a State are cluster time; due times are milliseconds since 1970. A State isn't safe for
// concurrent use.
//
// # Usage
//
//	state := hswork.NewState()
//	queue, rest, ok := state.Catalog.Match("sizing.example", "/fit/0123456789abcdef")
//	job := state.Jobs[hswork.ID(rest)]
package hswork
