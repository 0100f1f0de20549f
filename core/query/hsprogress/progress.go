// Package hsprogress answers the queries of callers about the progress of step jobs.
//
// The answers are pure functions of the replicated state and of the leader's knowledge of which jobs have begun.
//
// # Usage
//
//	stage := hsprogress.Of(job, begun)
//	waiting := hsprogress.Waiting(state, "fitting", begun)
package hsprogress

import "hyssopseam/core/hswork"

// Stage is the state of a step job as its caller sees it.
type Stage string

// The stages. A job is pending until any of its tasks begins.
const (
	Pending   Stage = "pending"
	Running   Stage = "running"
	Completed Stage = "completed"
	Failed    Stage = "failed"
	Cancelled Stage = "cancelled"
)

// Begun reports whether the leader has observed a running task of a job.
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
