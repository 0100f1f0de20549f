// Package hsprogress answers the queries of callers about the progress of step jobs.
//
// The answers are pure functions of the replicated state and of the leader's knowledge of which jobs have started.
//
// # Usage
//
//	stage := hsprogress.StageOf(job, started)
//	waiting := hsprogress.CountWaiting(state, "fitting", started)
package hsprogress

import "hyssopseam/core/hswork"

// Stage is the state of a step job as its caller sees it.
type Stage string

// The stages. A job is pending until any of its tasks starts.
const (
	Pending   Stage = "pending"
	Running   Stage = "running"
	Completed Stage = "completed"
	Failed    Stage = "failed"
	Cancelled Stage = "cancelled"
)

// Started reports whether the leader has observed a running task of a job.
type Started func(id hswork.ID) bool

// StageOf returns the stage of a job.
func StageOf(j *hswork.Job, started Started) Stage {
	switch {
	case j.Phase == hswork.Completed:
		return Completed
	case j.Phase == hswork.Failed:
		return Failed
	case j.Phase == hswork.Cancelled:
		return Cancelled
	case j.Started || started(j.ID):
		return Running
	}
	return Pending
}

// CountWaiting returns the number of open jobs of a queue that haven't started.
func CountWaiting(s *hswork.State, queue hswork.QueueName, started Started) int {
	waiting := 0
	for _, j := range s.Jobs {
		if j.Queue == queue && StageOf(j, started) == Pending {
			waiting++
		}
	}
	return waiting
}
