// Package hsprogress answers what callers ask about step jobs.
//
// The answers are pure functions of the replicated state and of what the leader knows to have begun.
//
// # Usage
//
//	view := hsprogress.Of(job, begun)
//	waiting := hsprogress.Waiting(state, "fitting", begun)
package hsprogress

import "hyssopseam/core/hswork"

// Stage is what a caller is shown of a job.
type Stage string

// The stages. A job is pending until one of its tasks has begun.
const (
	Pending   Stage = "pending"
	Running   Stage = "running"
	Completed Stage = "completed"
	Failed    Stage = "failed"
	Cancelled Stage = "cancelled"
)

// Begun tells whether a task of a job was seen at work.
type Begun func(id hswork.ID) bool

// Of returns the stage of a job.
func Of(j *hswork.Job, begun Begun) Stage {
	switch {
	case j.Phase == hswork.Completed:
		return Completed
	case j.Phase == hswork.Failed:
		return Failed
	case j.Phase == hswork.Cancelled:
		return Cancelled
	case j.Begun || begun(j.ID):
		return Running
	}
	return Pending
}

// Waiting returns the number of open jobs of a queue that haven't begun.
func Waiting(s *hswork.State, queue hswork.QueueName, begun Begun) int {
	waiting := 0
	for _, j := range s.Jobs {
		if j.Queue == queue && Of(j, begun) == Pending {
			waiting++
		}
	}
	return waiting
}
